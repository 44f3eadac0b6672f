/*
 * The client's commands.  Each is a line of a table: its name, the fields it
 * takes from the command line and where they go, and what carries it out.
 */
#ifndef CMD_H
#define CMD_H

#include <popt.h>

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Exit codes; 0 to 7 are the op_status of operator.x. */
enum cmd_exit {
	CMD_OK = OP_OK,
	CMD_INVALID = OP_INVALID, /* usage as well */
	CMD_NOT_FOUND = OP_NOT_FOUND,
	CMD_CONFLICT = OP_CONFLICT,
	CMD_REFUSED = OP_REFUSED,
	CMD_UNAVAILABLE = OP_UNAVAILABLE,
	CMD_UNKNOWN = OP_UNKNOWN,
	CMD_DENIED = OP_DENIED,
	CMD_NO_CONNECTION = 8,
	CMD_JOB_FAILED = 9 /* the job ran and failed */
};

/* Options that every command takes. */
struct cmd_client {
	char **servers; /* operators' addresses, ends with NULL */
	char *operator; /* name */
	char *key_file; /* the operator's key */
	char *callers;	/* URL of the callers' interface */
	char *secret_file;
	char *ca_file;
	int json;
	int timeout_ms;
	FILE *out;
	FILE *err;
};

enum cmd_field_type {
	FIELD_NAME,  /* bstr */
	FIELD_NAMES, /* struct cmd_names; an option that may be repeated */
	FIELD_TEXT,  /* bstr */
	FIELD_FILE,  /* bstr, the JSON of a file; "-": standard input */
	FIELD_U32,
	FIELD_U64,
	FIELD_FLAG /* bool_t */
};

/* Laid out as rpcgen lays out a list of strings. */
struct cmd_names {
	u_int count;
	bstr *list;
};

/* One argument or, if it begins with "--", option. */
struct cmd_field {
	const char *name; /* "POOL" or "--budget"; NULL ends a list */
	enum cmd_field_type type;
	bool required;
	size_t offset; /* in what the command fills */
	const char *help;
};

/* What a command fills; which arm, its table says. */
union cmd_values {
	op_request request;
	struct cmd_submit {
		bstr pool;
		bstr payload;
		bstr payload_file;
		bstr key;
		bstr label;
		bool_t may_repeat;
		bool_t urgent;
		bool_t wait;
		uint32_t cpu_milli;
		uint32_t memory_mb;
		uint32_t accelerators;
		uint32_t run_ms;
		uint32_t within_ms;
	} submit;
	struct cmd_job {
		bstr job;
		bstr label;
		uint32_t wait_ms;
	} job;
};

struct command {
	const char *name; /* "pool create"; NULL ends a table */
	const struct cmd_field *fields;
	int (*exec)(const struct cmd_client *c, const struct command *cmd,
		    union cmd_values *v);
	op_kind kind; /* of operators' commands */
	bool changes; /* something; it is never sent twice then */
	const char *help;
};
extern const struct command pool_commands[];
extern const struct command team_commands[];
extern const struct command config_commands[];
extern const struct command submit_commands[];
extern const struct command trace_commands[];

/* cmd-parse.c */
const struct command *command_find(const char *const *words, size_t *used);
bool command_parse(const struct command *cmd, const struct poptOption *common,
		   int argc, const char **argv, union cmd_values *v,
		   struct error *e);
void command_free(const struct command *cmd, union cmd_values *v);
char *command_usage(const struct command *cmd);
void commands_print(FILE *f);

/* cmd-operator.c */
int operator_exec(const struct cmd_client *c, const struct command *cmd,
		  union cmd_values *v);
int findings_exit(const struct cmd_client *c, struct error *e, int code);
bool file_read(const char *path, bstr *text, struct error *e);
void bstr_trim(bstr *text); /* white space at the end */

/* table-print.c */
void table_print(FILE *f, const json_t *j);

#ifdef __cplusplus
}
#endif
#endif
