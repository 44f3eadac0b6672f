/* The command-line client of operators and callers. */
#include "cmd.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 10000

static struct cmd_client client = {.timeout_ms = DEFAULT_TIMEOUT_MS};
static int want_help, want_version;

static const struct poptOption common[] = {
	{"server", 's', POPT_ARG_ARGV, &client.servers, 0,
	 "an entry VM's address for operators; may be repeated", "IP:PORT"},
	{"operator", 'o', POPT_ARG_STRING, &client.operator, 0,
	 "the operator's name", "NAME"},
	{"key-file", 'k', POPT_ARG_STRING, &client.key_file, 0,
	 "file with the operator's key, 64 hexadecimal digits", "FILE"},
	{"callers", 'c', POPT_ARG_STRING, &client.callers, 0,
	 "URL of the callers' API", "URL"},
	{"key", 'K', POPT_ARG_STRING, &client.secret_file, 0,
	 "file with the secret of a team's key", "FILE"},
	{"ca", '\0', POPT_ARG_STRING, &client.ca_file, 0,
	 "CA certificates for verifying the callers' API", "FILE"},
	{"json", 'j', POPT_ARG_NONE, &client.json, 0,
	 "print the answer as JSON", NULL},
	{"timeout", 't', POPT_ARG_INT, &client.timeout_ms, 0,
	 "timeout of a call; 10000 by default", "MS"},
	POPT_TABLEEND};

/* Prints the options and all commands. */
static void help_print(FILE *f)
{
	fprintf(f, "Usage: bamboofront [OPTION...] COMMAND...\n\nOptions:\n"
		   "  -s, --server=IP:PORT   -o, --operator=NAME   "
		   "-k, --key-file=FILE\n"
		   "  -c, --callers=URL      -K, --key=FILE        --ca=FILE\n"
		   "  -j, --json             -t, --timeout=MS      "
		   "--version\n\n"
		   "Commands (COMMAND --help tells more):\n");
	commands_print(f);
}

/* Runs a command; argv starts with its first word.  Returns the exit code. */
static int command_run(int argc, const char **argv)
{
	const struct command *cmd;
	union cmd_values v;
	struct error e;
	size_t used;
	char *usage;
	int code;

	cmd = command_find(argv, &used);
	if (!cmd) {
		fprintf(stderr, "bamboofront: no such command; see "
				"bamboofront --help\n");
		return CMD_INVALID;
	}
	error_init(&e);
	if (!command_parse(cmd, common, argc - (int)used + 1, argv + used - 1,
			   &v, &e)) {
		usage = command_usage(cmd);
		code = findings_exit(&client, &e, CMD_INVALID);
		fprintf(stderr, "Usage: bamboofront %s\n", usage);
		free(usage);
	} else if (client.timeout_ms <= 0) {
		fprintf(stderr, "--timeout: expected more than 0\n");
		code = CMD_INVALID;
	} else
		code = cmd->exec(&client, cmd, &v);
	command_free(cmd, &v);
	return code;
}

/*
 * Parses the options before the command, then runs it.  Returns the exit code.
 */
static int client_main(poptContext c)
{
	const char **argv;
	int argc = 0, rc = poptGetNextOpt(c);

	if (rc < -1) {
		fprintf(stderr, "bamboofront: %s: %s\n", poptBadOption(c, 0),
			poptStrerror(rc));
		return CMD_INVALID;
	}
	if (want_version) {
		printf("bamboofront " BAMBOOFRONT_VERSION "\n");
		return CMD_OK;
	}
	argv = poptGetArgs(c);
	while (argv && argv[argc])
		argc++;
	if (want_help || !argc) {
		help_print(want_help ? stdout : stderr);
		return want_help ? CMD_OK : CMD_INVALID;
	}
	return command_run(argc, argv);
}

int main(int argc, char **argv)
{
	const struct poptOption table[] = {
		{NULL, '\0', POPT_ARG_INCLUDE_TABLE, (void *)common, 0, NULL,
		 NULL},
		{"version", 'V', POPT_ARG_NONE, &want_version, 0, NULL, NULL},
		{"help", 'h', POPT_ARG_NONE, &want_help, 0, NULL, NULL},
		POPT_TABLEEND};
	poptContext c;
	size_t i;
	int rc;

	client.out = stdout;
	client.err = stderr;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return CMD_INVALID;
	c = poptGetContext("bamboofront", argc, (const char **)argv, table,
			   POPT_CONTEXT_POSIXMEHARDER);
	rc = client_main(c);
	poptFreeContext(c);
	for (i = 0; client.servers && client.servers[i]; i++)
		free(client.servers[i]);
	free(client.servers);
	free(client.operator);
	free(client.key_file);
	free(client.callers);
	free(client.secret_file);
	free(client.ca_file);
	curl_global_cleanup();
	return rc;
}
