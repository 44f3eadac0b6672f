#include "cmd.h"

/*
 * Commands for the configuration, and for questions about jobs, teams and the
 * fleet.
 */

#define CONFIG(field) offsetof(op_request, op_request_u.config.field)
#define NAME offsetof(op_request, op_request_u.name)

static const struct cmd_field config_show[] = {
	{"REVISION", FIELD_U64, false, CONFIG(revision), NULL}, {0}};
static const struct cmd_field config_diff[] = {
	{"FILE", FIELD_FILE, true, CONFIG(body), NULL},
	{"--revision", FIELD_U64, false, CONFIG(revision),
	 "revision to compare with; the newest by default"},
	{0}};
static const struct cmd_field config_apply[] = {
	{"FILE", FIELD_FILE, true, CONFIG(body), NULL},
	{"--expect", FIELD_U64, true, CONFIG(revision),
	 "revision that the file is based on"},
	{0}};
static const struct cmd_field none[] = {{0}};
static const struct cmd_field job_name[] = {
	{"JOB", FIELD_NAME, true, NAME, NULL}, {0}};
static const struct cmd_field team_name[] = {
	{"TEAM", FIELD_NAME, true, NAME, NULL}, {0}};

const struct command config_commands[] = {
	{"config show", config_show, operator_exec, OP_CONFIG_SHOW, false,
	 "show the newest configuration or a revision of it"},
	{"config diff", config_diff, operator_exec, OP_CONFIG_DIFF, false,
	 "show what a file would change"},
	{"config apply", config_apply, operator_exec, OP_CONFIG_APPLY, true,
	 "apply a file, unless the newest revision is not --expect"},
	{"config history", none, operator_exec, OP_CONFIG_HISTORY, false,
	 "show who changed what"},
	{"why job", job_name, operator_exec, OP_WHY_JOB, false,
	 "explain why a job waits and what would unblock it"},
	{"why team", team_name, operator_exec, OP_WHY_TEAM, false,
	 "explain why the jobs of a team wait"},
	{"fleet", none, operator_exec, OP_FLEET, false,
	 "show the entry VMs, cells and VMs"},
	{"counters", none, operator_exec, OP_COUNTERS, false,
	 "show the counters of the entry VM that answers"},
	{0}};
