#include "cmd.h"

/* Commands for teams and their keys. */

#define TEAM(field) offsetof(op_request, op_request_u.team.field)
#define KEY(field) offsetof(op_request, op_request_u.key.field)

static const struct cmd_field team_create[] = {
	{"TEAM", FIELD_NAME, true, TEAM(team), NULL},
	{"--share", FIELD_U32, true, TEAM(share),
	 "its weight when the fleet is full"},
	{"--limit", FIELD_U32, true, TEAM(limit),
	 "its upper limit of slots across the fleet"},
	{"--grace", FIELD_U32, false, TEAM(grace_ms),
	 "ms that its keys are accepted without proof of freshness; "
	 "0 by default"},
	{0}};
static const struct cmd_field team_name[] = {
	{"TEAM", FIELD_NAME, true, TEAM(team), NULL}, {0}};
static const struct cmd_field team_show[] = {
	{"TEAM", FIELD_NAME, false, TEAM(team), NULL}, {0}};
static const struct cmd_field team_share[] = {
	{"TEAM", FIELD_NAME, true, TEAM(team), NULL},
	{"SHARE", FIELD_U32, true, TEAM(share), NULL},
	{0}};
static const struct cmd_field team_limit[] = {
	{"TEAM", FIELD_NAME, true, TEAM(team), NULL},
	{"LIMIT", FIELD_U32, true, TEAM(limit), NULL},
	{0}};
static const struct cmd_field team_grace[] = {
	{"TEAM", FIELD_NAME, true, TEAM(team), NULL},
	{"MS", FIELD_U32, true, TEAM(grace_ms), NULL},
	{0}};

static const struct cmd_field key_create[] = {
	{"TEAM", FIELD_NAME, true, KEY(team), NULL},
	{"KEY", FIELD_NAME, false, KEY(key_id), NULL},
	{0}};
static const struct cmd_field key_withdraw[] = {
	{"TEAM", FIELD_NAME, true, KEY(team), NULL},
	{"KEY", FIELD_NAME, true, KEY(key_id), NULL},
	{0}};
static const struct cmd_field key_show[] = {
	{"TEAM", FIELD_NAME, true, KEY(team), NULL},
	{"KEY", FIELD_NAME, false, KEY(key_id), NULL},
	{0}};

const struct command team_commands[] = {
	{"team create", team_create, operator_exec, OP_TEAM_CREATE, true,
	 "create a team"},
	{"team remove", team_name, operator_exec, OP_TEAM_REMOVE, true,
	 "remove a team and its keys"},
	{"team show", team_show, operator_exec, OP_TEAM_SHOW, false,
	 "show one team or all"},
	{"team share", team_share, operator_exec, OP_TEAM_SHARE, true,
	 "set a team's weight when the fleet is full"},
	{"team limit", team_limit, operator_exec, OP_TEAM_LIMIT, true,
	 "set a team's upper limit across the fleet"},
	{"team grace", team_grace, operator_exec, OP_TEAM_GRACE, true,
	 "set how long keys are accepted without proof of freshness"},
	{"key create", key_create, operator_exec, OP_KEY_CREATE, true,
	 "create a key; its secret is shown only once"},
	{"key withdraw", key_withdraw, operator_exec, OP_KEY_WITHDRAW, true,
	 "withdraw a key"},
	{"key show", key_show, operator_exec, OP_KEY_SHOW, false,
	 "show a team's keys, without secrets"},
	{0}};
