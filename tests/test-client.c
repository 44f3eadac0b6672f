#include <criterion/criterion.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cmd.h"
#include "operator-client.h"
#include "record.h"

#define WORDS_MAX 24

static const struct poptOption common[] = {POPT_TABLEEND};

/* Splits a command line at blanks and parses it; e gets the findings. */
static const struct command *line_parse(const char *line, union cmd_values *v,
					struct error *e)
{
	static char text[512];
	const char *words[WORDS_MAX + 1] = {NULL};
	const struct command *cmd;
	int n = 0, argc;
	size_t used;
	char *p;

	snprintf(text, sizeof(text), "%s", line);
	for (p = strtok(text, " "); p; p = strtok(NULL, " "))
		words[n++] = p;
	cmd = command_find(words, &used);
	cr_assert(cmd, "%s", line);
	argc = n - (int)used + 1;
	error_init(e);
	command_parse(cmd, common, argc, words + used - 1, v, e);
	return cmd;
}

/*
 * The request that each command line is parsed to, printed in the order of the
 * schema.  NULL: the command line is refused.
 */
Test(client, requests)
{
	static const struct {
		const char *line, *request;
	} cases[] = {
		{"pool create p --dc a --dc b --budget 2 --spare",
		 " 1 1 \"p\" 2 1 \"a\" 1 \"b\" 2 1"},
		{"pool create --budget 2 --dc a p", " 1 1 \"p\" 1 1 \"a\" 2 0"},
		{"pool remove p", " 2 1 \"p\" 0 0 0"},
		{"pool show", " 3 0 0 0 0"},
		{"pool show p", " 3 1 \"p\" 0 0 0"},
		{"pool budget p 7", " 4 1 \"p\" 0 7 0"},
		{"vm add v p --dc a --address 10.0.0.1:8 --rack r --slots 8 "
		 "--cpu-milli 5 --memory-mb 6 --accelerators 7",
		 " 10 1 \"v\" 1 \"p\" 1 \"a\" 1 \"r\" 10 \"10.0.0.1:8\" 8 5 6 7 0"},
		{"vm remove v", " 11 1 \"v\" 0 0 0 0 0 0 0 0 0"},
		{"vm move v q --deadline 9",
		 " 12 1 \"v\" 1 \"q\" 0 0 0 0 0 0 0 9"},
		{"vm drain v", " 13 1 \"v\" 0 0 0 0 0 0 0 0 0"},
		{"vm return v", " 14 1 \"v\" 0 0 0 0 0 0 0 0 0"},
		{"vm show", " 15 0 0 0 0 0 0 0 0 0 0"},
		{"team create t --share 3 --limit 4 --grace 5",
		 " 20 1 \"t\" 3 4 5"},
		{"team remove t", " 21 1 \"t\" 0 0 0"},
		{"team show", " 22 0 0 0 0"},
		{"team share t 3", " 23 1 \"t\" 3 0 0"},
		{"team limit t 4294967295", " 24 1 \"t\" 0 4294967295 0"},
		{"team grace t 0", " 25 1 \"t\" 0 0 0"},
		{"key create t k", " 30 1 \"t\" 1 \"k\" 0 0"},
		{"key withdraw t k", " 31 1 \"t\" 1 \"k\" 0 0"},
		{"key show t", " 32 1 \"t\" 0 0 0"},
		{"wave plan w p --deadline 9", " 40 1 \"w\" 1 \"p\" 9"},
		{"wave start w", " 41 1 \"w\" 0 0"},
		{"wave pause w", " 42 1 \"w\" 0 0"},
		{"wave resume w", " 43 1 \"w\" 0 0"},
		{"wave cancel w", " 44 1 \"w\" 0 0"},
		{"wave show", " 45 0 0 0"},
		{"config show", " 50 0 0 0"},
		{"config show 4294967298", " 50 1 2 0"},
		{"config diff /dev/null --revision 3", NULL},
		{"config history", " 53 0 0 0"},
		{"why job j", " 60 1 \"j\""},
		{"why team t", " 61 1 \"t\""},
		{"fleet", " 62"},
		{"counters", " 63"},
	};
	const struct command *cmd;
	union cmd_values v;
	struct error e;
	size_t i, size;
	char *text;
	FILE *f;

	for (i = 0; i < NELEMS(cases); i++) {
		cmd = line_parse(cases[i].line, &v, &e);
		cr_expect_eq(!e.count, !!cases[i].request, "%s", cases[i].line);
		f = open_memstream(&text, &size);
		xdr_print(f, XDR_PROC(xdr_op_request), &v.request);
		fclose(f);
		if (cases[i].request)
			cr_expect_str_eq(text, cases[i].request, "%s: %s",
					 cases[i].line, text);
		free(text);
		command_free(cmd, &v);
		error_free(&e);
	}
}

/* A finding names the option or argument that is wrong. */
Test(client, usage)
{
	static const struct {
		const char *line, *finding;
	} cases[] = {
		{"pool create", "POOL: is missing; --dc: is missing; "
				"--budget: is missing"},
		{"pool create P --dc a --budget 1", "POOL: expected a name"},
		{"pool create p --dc A --budget 1", "--dc: expected a name"},
		{"pool create p --dc a --budget -1", "--budget: expected"},
		{"pool create p --dc a --budget 4294967296", "--budget: exp"},
		{"pool create p --dc a --budget 1x", "--budget: expected"},
		{"pool create p q --dc a --budget 1", "q: unexpected arg"},
		{"pool show --nonsense", "--nonsense: unknown option"},
		{"team share t", "SHARE: is missing"},
		{"config apply /dev/null --expect 1", "/dev/null:1:0: no JSON"},
		{"config apply /no/such --expect 1", "can't be opened"},
		{"config apply /dev/null", "--expect: is missing"},
		{"config show 18446744073709551616", "REVISION: expected"},
		{"why job", "JOB: is missing"},
		{"status a/b", "JOB: expected a name"},
		{"submit", "POOL: is missing"},
	};
	const struct command *cmd;
	union cmd_values v;
	struct error e;
	size_t i, used;
	char *text;

	for (i = 0; i < NELEMS(cases); i++) {
		cmd = line_parse(cases[i].line, &v, &e);
		text = error_text(&e);
		cr_expect(strstr(text, cases[i].finding), "%s: %s",
			  cases[i].line, text);
		free(text);
		command_free(cmd, &v);
		error_free(&e);
	}
	cr_expect_not(command_find((const char *[]){"pool", NULL}, &used));
	cr_expect_not(command_find((const char *[]){NULL}, &used));
}

/* The table that is printed for a JSON value. */
Test(client, tables)
{
	static const struct {
		const char *json, *table;
	} cases[] = {
		{"[]", ""},
		{"7", "7\n"},
		{"[1, \"two\"]", "1\ntwo\n"},
		{"{}", ""},
		{"{\"a\": 1, \"long\": \"x\"}", "a     1\nlong  x\n"},
		{"[{\"vm\": \"a\", \"n\": 10}, {\"vm\": \"long\"}]",
		 "VM    N\na     10\nlong  -\n"},
		{"[{\"a\": 1}, {\"b\": null}]", "A  B\n1  -\n-  -\n"},
		{"[{\"a\": 1}, {\"pool\": \"p\", \"vm\": \"v\"}]",
		 "VM  POOL  A\n-   -     1\nv   p     -\n"},
		{"[{}]", ""},
		{"{\"r\": 1, \"l\": [{\"v\": true}]}", "r  1\n\nl:\nV\ntrue\n"},
		{"{\"l\": [{\"v\": [1]}]}", "l:\nV\n[1]\n"},
		{"[{\"k\": \"\xc3\xa9\", \"v\": 1}, {\"k\": \"ab\"}]",
		 "K   V\n\xc3\xa9   1\nab  -\n"},
		{"\"a\\u001b[31mb\\nc\"", "a [31mb c\n"},
	};
	size_t i, size;
	char *text;
	json_t *j;
	FILE *f;

	for (i = 0; i < NELEMS(cases); i++) {
		j = json_loads(cases[i].json, JSON_DECODE_ANY, NULL);
		f = open_memstream(&text, &size);
		table_print(f, j);
		fclose(f);
		cr_expect_str_eq(text, cases[i].table, "%s prints\n%s",
				 cases[i].json, text);
		free(text);
		json_decref(j);
	}
}

/*
 * Fakes in place of operator-client.c.  A letter for each server says what it
 * does: x: no connection; n: the request isn't fully sent; l: the answer is
 * lost; u, r, o: the answer is unavailable, refused or ok.
 */
static const char *server_actions;
static char servers_called[8];

struct operator_client *operator_client_open(const char *address,
					     const char *name,
					     const uint8_t key[SEAL_KEY_BYTES],
					     int64_t deadline, struct error *e)
{
	(void)name;
	(void)key;
	(void)deadline;
	if (server_actions[*address - '0'] != 'x')
		return (struct operator_client *)(void *)address;
	error_add(e, address, "no connection");
	return NULL;
}

bool operator_client_call(struct operator_client *c, const op_request *req,
			  int64_t deadline, op_reply *reply)
{
	char server = *(char *)(void *)c, action = server_actions[server - '0'];

	(void)req;
	(void)deadline;
	memset(reply, 0, sizeof(*reply));
	strncat(servers_called, &server, 1);
	reply->status = action == 'o'	? OP_OK
			: action == 'r' ? OP_REFUSED
			: action == 'l' ? OP_UNKNOWN
					: OP_UNAVAILABLE;
	reply->reason = bstr_new("because");
	if (action == 'o')
		reply->body = bstr_new("{\"a\": 1}");
	return action != 'n' && action != 'l';
}

void operator_client_close(struct operator_client *c)
{
	(void)c;
}

/* Runs a command line; its output is stored in text, to be freed. */
static int command_run(struct cmd_client *c, const char *line, char **text)
{
	const struct command *cmd;
	union cmd_values v;
	struct error e;
	size_t size;
	int code;

	c->out = c->err = open_memstream(text, &size);
	c->timeout_ms = 2000;
	cmd = line_parse(line, &v, &e);
	cr_assert_not(e.count, "%s", line);
	code = cmd->exec(c, cmd, &v);
	fclose(c->out);
	command_free(cmd, &v);
	return code;
}

/* Creates a temporary file with a text. */
static void temp_file_write(char *path, const char *text)
{
	int fd = mkstemp(path);

	cr_assert(fd >= 0 && write(fd, text, strlen(text)) > 0);
	close(fd);
}

/*
 * Guards against a change that is made twice.  If the answer of the first
 * server is lost, the change may have been made; the client must not send it to
 * another server, but report that the outcome is unknown.  Requests that change
 * nothing are sent to further servers.
 */
Test(client, servers)
{
	static const struct {
		const char *line, *server_actions, *servers_called;
		int code;
	} cases[] = {
		{"pool remove p", "o", "0", CMD_OK},
		{"pool remove p", "xo", "1", CMD_OK},
		{"pool remove p", "no", "01", CMD_OK},
		{"pool remove p", "lo", "0", CMD_UNKNOWN},
		{"pool remove p", "xlo", "1", CMD_UNKNOWN},
		{"pool remove p", "uo", "0", CMD_UNAVAILABLE},
		{"pool remove p", "ro", "0", CMD_REFUSED},
		{"pool remove p", "xx", "", CMD_NO_CONNECTION},
		{"pool remove p", "nx", "0", CMD_UNAVAILABLE},
		{"pool show", "xo", "1", CMD_OK},
		{"pool show", "no", "01", CMD_OK},
		{"pool show", "lo", "01", CMD_OK},
		{"pool show", "uo", "01", CMD_OK},
		{"pool show", "ro", "0", CMD_REFUSED},
		{"pool show", "luxn", "013", CMD_UNAVAILABLE},
		{"pool show", "x", "", CMD_NO_CONNECTION},
	};
	static char *servers[] = {"0", "1", "2", "3"}, *list[5];
	char path[] = "/tmp/test-client-XXXXXX", hex[66];
	struct cmd_client c = {.operator= "ann", .servers = list};
	size_t i, n;
	char *text;

	snprintf(hex, sizeof(hex), "%064d\n", 0);
	temp_file_write(path, hex);
	for (i = 0; i < NELEMS(cases); i++) {
		server_actions = cases[i].server_actions;
		n = strlen(server_actions);
		memset(list, 0, sizeof(list));
		memcpy(list, servers, n * sizeof(*list));
		servers_called[0] = '\0';
		c.key_file = path;
		cr_expect_eq(command_run(&c, cases[i].line, &text),
			     cases[i].code, "%s %s", cases[i].line,
			     server_actions);
		cr_expect_str_eq(servers_called, cases[i].servers_called,
				 "%s %s", cases[i].line, server_actions);
		free(text);
	}
	c.operator= NULL;
	c.key_file = "/dev/null";
	cr_expect_eq(command_run(&c, "fleet", &text), CMD_INVALID);
	cr_expect_str_eq(text, "--operator: is missing\n"
			       "/dev/null: expected 64 hexadecimal digits\n");
	free(text);
	remove(path);
}

/* An HTTP server that records the request and sends a given answer. */
struct service {
	unsigned status; /* 0: closes the connection instead */
	const char *body;
	char request[1024];
};

static enum MHD_Result header_record(void *arg, enum MHD_ValueKind kind,
				     const char *name, const char *value)
{
	struct service *s = arg;
	size_t n = strlen(s->request);

	(void)kind;
	if (!strcmp(name, "Authorization") ||
	    !strcmp(name, "Idempotency-Key") || !strcmp(name, "wait_ms"))
		snprintf(s->request + n, sizeof(s->request) - n, " %s", value);
	return MHD_YES;
}

static enum MHD_Result service_answer(void *arg, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *size, void **seen)
{
	struct service *s = arg;
	struct MHD_Response *r;
	enum MHD_Result result;
	size_t n;

	(void)version;
	if (!*seen) {
		*seen = s;
		snprintf(s->request, sizeof(s->request), "%s %s", method, url);
		MHD_get_connection_values(
			conn, MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND,
			header_record, s);
		return MHD_YES;
	}
	if (*size) {
		n = strlen(s->request);
		snprintf(s->request + n, sizeof(s->request) - n, " %.*s",
			 (int)*size, data);
		*size = 0;
		return MHD_YES;
	}
	if (!s->status)
		return MHD_NO;
	r = MHD_create_response_from_buffer(strlen(s->body), (void *)s->body,
					    MHD_RESPMEM_PERSISTENT);
	result = MHD_queue_response(conn, s->status, r);
	MHD_destroy_response(r);
	return result;
}

#define SUBMIT "submit p --payload {} --idempotency-key k "

/* Command lines, the server's answer, and the exit code and output. */
static const struct {
	const char *line;
	unsigned status;
	const char *body;
	int code;
	const char *output, *request;
} calls[] = {
	{SUBMIT "--wait --may-repeat --within-ms 500 --cpu-milli 100", 200,
	 "{\"job\": \"j\", \"state\": \"done\"}", CMD_OK, "state  done",
	 "POST /v1/jobs Bearer bf_x k {\"pool\":\"p\",\"payload\":{},"
	 "\"may_be_repeated\":true,\"urgent\":false,\"wait\":true,"
	 "\"cpu_milli\":100,\"timeout_ms\":500}"},
	{SUBMIT, 202, "{\"state\": \"queued\"}", CMD_OK, "queued", NULL},
	{SUBMIT, 200, "{\"state\": \"failed\"}", CMD_JOB_FAILED, "", NULL},
	{SUBMIT, 200, "{\"state\": \"not-run\"}", CMD_REFUSED, "", NULL},
	{SUBMIT, 200, "{\"state\": \"unknown\"}", CMD_UNKNOWN, "", NULL},
	{SUBMIT, 400, "{}", CMD_INVALID, "", NULL},
	{SUBMIT, 401, "{}", CMD_DENIED, "", NULL},
	{SUBMIT, 403, "{}", CMD_DENIED, "", NULL},
	{SUBMIT, 404, "{}", CMD_NOT_FOUND, "", NULL},
	{SUBMIT, 409, "{}", CMD_CONFLICT, "", NULL},
	{SUBMIT, 422, "{}", CMD_INVALID, "", NULL},
	{SUBMIT, 429, "{\"state\": \"not-run\"}", CMD_REFUSED, "", NULL},
	{SUBMIT, 500, "{}", CMD_UNKNOWN, "", NULL},
	{SUBMIT, 503, "{\"state\": \"not-run\"}", CMD_UNAVAILABLE, "", NULL},
	{SUBMIT, 504, "{\"state\": \"unknown\"}", CMD_UNKNOWN, "", NULL},
	{SUBMIT, 200, "<html>", CMD_UNKNOWN, "no JSON", NULL},
	{SUBMIT, 0, "", CMD_UNKNOWN, "again with --idempotency-key k", NULL},
	{"status j --wait-ms 7", 200, "{\"state\": \"running\"}", CMD_OK,
	 "running", "GET /v1/jobs/j 7 Bearer bf_x"},
	{"status j", 0, "", CMD_NO_CONNECTION, "", NULL},
	{"cancel j", 200, "{\"state\": \"not-run\"}", CMD_OK, "not-run",
	 "DELETE /v1/jobs/j Bearer bf_x"},
	{"cancel --label l", 200, "{\"jobs\": []}", CMD_OK, "",
	 "POST /v1/cancel Bearer bf_x {\"label\":\"l\"}"},
	{"cancel j", 0, "", CMD_UNKNOWN, "It may have been done", NULL},
};

Test(client, calls)
{
	char path[] = "/tmp/test-client-XXXXXX", *text;
	struct service s = {0};
	struct MHD_Daemon *d = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD,
						0, NULL, NULL, service_answer,
						&s, MHD_OPTION_END);
	struct cmd_client c = {.secret_file = path};
	size_t i;

	cr_assert(d);
	temp_file_write(path, "bf_x\n");
	c.callers = xasprintf(
		"http://127.0.0.1:%u",
		MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port);
	for (i = 0; i < NELEMS(calls); i++) {
		s.status = calls[i].status;
		s.body = calls[i].body;
		cr_expect_eq(command_run(&c, calls[i].line, &text),
			     calls[i].code, "%s %u %s", calls[i].line,
			     calls[i].status, calls[i].body);
		cr_expect(strstr(text, calls[i].output), "%s: %s",
			  calls[i].line, text);
		cr_expect_not(strstr(text, "bf_x"));
		if (calls[i].request)
			cr_expect_str_eq(s.request, calls[i].request, "%s",
					 s.request);
		free(text);
	}
	MHD_stop_daemon(d);
	cr_expect_eq(command_run(&c, SUBMIT, &text), CMD_NO_CONNECTION);
	free(text);
	cr_expect_eq(command_run(&c, "cancel", &text), CMD_INVALID);
	free(text);
	cr_expect_eq(command_run(&c, "submit p --payload {", &text),
		     CMD_INVALID);
	free(text);
	free(c.callers);
	remove(path);
}

/*
 * The log lines of a job come from three VMs and are out of order.  The trace
 * has to print them ordered by time, with the events of the owner and worker in
 * between, and without those of other jobs and other workers.
 */
static const char trace_log[] =
	"ev=3006 name=JOB_SEEN level=info wall_ms=5010 vm=b job=aa queue=q\n"
	"ev=3004 name=CALL_DONE level=info wall_ms=5000 vm=a job=aa status=200\n"
	"ev=3004 name=CALL_DONE level=info wall_ms=5001 vm=a job=bb status=200\n"
	"ev=2015 name=OWNER_LOST level=warning wall_ms=6000 vm=b why=released\n"
	"ev=4008 name=WORKER_LOST level=notice wall_ms=6100 vm=c worker=w1\n"
	"ev=4008 name=WORKER_LOST level=notice wall_ms=6100 vm=c worker=w2\n"
	"ev=3009 name=TASK_START level=info wall_ms=5011 vm=b task=aa.0.0.0 "
	"worker=w1\n"
	"a line of something else\n"
	"ev=3007 name=JOB_FINAL level=info wall_ms=9000 vm=c job=aa\n"
	"ev=2011 name=OWNER_GAINED level=notice wall_ms=9500 vm=a epoch=3\n";

Test(client, trace)
{
	static const char *const order[] = {"CALL_DONE",  "JOB_SEEN",
					    "TASK_START", "OWNER_LOST",
					    "worker=w1",  "JOB_FINAL"};
	char path[] = "/tmp/test-client-XXXXXX", *text, *line, *p;
	struct cmd_client c = {0};
	size_t i;

	temp_file_write(path, trace_log);
	line = xasprintf("trace aa %s", path);
	cr_expect_eq(command_run(&c, line, &text), CMD_OK);
	for (i = 0, p = text; i < NELEMS(order); i++) {
		p = strstr(p, order[i]);
		cr_assert(p, "%s is missing or out of order: %s", order[i],
			  text);
	}
	cr_expect_not(strstr(text, "bb"), "line of another job");
	cr_expect_not(strstr(text, "worker=w2"), "line of another worker");
	cr_expect_not(strstr(text, "OWNER_GAINED"), "line after the job's end");
	free(text);
	free(line);
	line = xasprintf("trace cc %s", path);
	cr_expect_eq(command_run(&c, line, &text), CMD_NOT_FOUND);
	free(text);
	free(line);
	remove(path);
}
