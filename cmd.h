/*
 * Commands of the command-line client. Each is an entry of a table with its
 * name, its arguments and options, and the function that executes it.
 */
#ifndef CMD_H
#define CMD_H

#include <popt.h>

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Exit codes. 0 to 7 equal the op_status values of operator.x. */
enum cmd_exit {
	CMD_OK = OP_OK,
	CMD_INVALID = OP_INVALID, /* also for usage errors */
	CMD_NOT_FOUND = OP_NOT_FOUND,
	CMD_CONFLICT = OP_CONFLICT,
	CMD_REFUSED = OP_REFUSED,
	CMD_UNAVAILABLE = OP_UNAVAILABLE,
	CMD_UNKNOWN = OP_UNKNOWN,
	CMD_DENIED = OP_DENIED,
	CMD_NO_CONNECTION = 8,
	CMD_JOB_FAILED = 9 /* the job ran and failed */
};

/* Options common to all commands, and the output streams. */
struct cmd_client {
	char **servers;	   /* addresses for operators, NULL-terminated */
	char *operator;	   /* name of the operator */
	char *key_file;	   /* key of the operator */
	char *callers;	   /* URL of the callers' API */
	char *secret_file; /* API key of the caller */
	char *ca_file;	   /* CA certificates for the callers' API */
	int json;
	int timeout_ms;
	FILE *out;
	FILE *err;
};

enum cmd_field_type {
	FIELD_NAME,  /* bstr */
	FIELD_NAMES, /* struct cmd_names, for a repeatable option */
	FIELD_TEXT,  /* bstr */
	FIELD_FILE, /* bstr with the JSON text of a file; "-": standard input */
	FIELD_U32,
	FIELD_U64,
	FIELD_FLAG /* bool_t */
};

/* Has the layout that rpcgen generates for a list of strings. */
struct cmd_names {
	u_int count;
	bstr *list;
};

/* An argument, or an option if its name begins with "--". */
struct cmd_field {
	const char *name; /* "POOL" or "--budget"; NULL ends the list */
	enum cmd_field_type type;
	bool required;
	size_t offset; /* of the value in union cmd_values */
	const char *help;
};

/*
 * Parsed values of a command. The offsets of its fields determine which member
 * is used.
 */
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
	struct cmd_trace {
		bstr id;
		bstr file;
	} trace;
};

/*
 * A command. changes is set if it modifies state. Such a command is sent again
 * only if it was certainly not carried out, so it never takes effect twice.
 */
struct command {
	const char *name; /* "pool create"; NULL ends a table */
	const struct cmd_field *fields;
	int (*exec)(const struct cmd_client *c, const struct command *cmd,
		    union cmd_values *v);
	op_kind kind; /* of the operator request, if any */
	bool changes;
	const char *help;
};
extern const struct command pool_commands[];
extern const struct command team_commands[];
extern const struct command config_commands[];
extern const struct command submit_commands[];
extern const struct command trace_commands[];

/*
 * cmd-parse.c
 *
 * command_parse adds every error to e; call command_free also if it fails.
 */
const struct command *command_find(const char *const *words, size_t *used);
bool command_parse(const struct command *cmd, const struct poptOption *common,
		   int argc, const char **argv, union cmd_values *v,
		   struct error *e);
void command_free(const struct command *cmd, union cmd_values *v);
char *command_usage(const struct command *cmd);
void commands_print(FILE *f);

/*
 * cmd-operator.c
 *
 * findings_exit prints and frees the errors in e and returns code.
 */
int operator_exec(const struct cmd_client *c, const struct command *cmd,
		  union cmd_values *v);
int findings_exit(const struct cmd_client *c, struct error *e, int code);
bool file_read(const char *path, bstr *text, struct error *e);
void bstr_trim(bstr *text); /* removes trailing white space */

/* table-print.c: prints JSON as text tables. */
void table_print(FILE *f, const json_t *j);

#ifdef __cplusplus
}
#endif
#endif
