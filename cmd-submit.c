#include "cmd.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Submitters' commands, over HTTP. */

#define ANSWER_MAX_BYTES (64u << 20)
#define SUBMIT_WITHIN_MS 60000 /* what the service takes if none is given */

#define SUBMIT(field) offsetof(struct cmd_submit, field)
#define JOB(field) offsetof(struct cmd_job, field)

static int submit_exec(const struct cmd_client *c, const struct command *cmd,
		       union cmd_values *v);
static int status_exec(const struct cmd_client *c, const struct command *cmd,
		       union cmd_values *v);
static int cancel_exec(const struct cmd_client *c, const struct command *cmd,
		       union cmd_values *v);

static const struct cmd_field submit_fields[] = {
	{"POOL", FIELD_NAME, true, SUBMIT(pool), NULL},
	{"--payload", FIELD_TEXT, false, SUBMIT(payload),
	 "what the worker gets: JSON"},
	{"--payload-file", FIELD_FILE, false, SUBMIT(payload_file),
	 "the same from a file"},
	{"--idempotency-key", FIELD_TEXT, false, SUBMIT(key),
	 "one for each piece of work; made up by default"},
	{"--label", FIELD_TEXT, false, SUBMIT(label), "to cancel many by"},
	{"--may-repeat", FIELD_FLAG, false, SUBMIT(may_repeat),
	 "it may run more than once"},
	{"--urgent", FIELD_FLAG, false, SUBMIT(urgent), "ahead of its team's"},
	{"--wait", FIELD_FLAG, false, SUBMIT(wait), "wait for the result"},
	{"--cpu-milli", FIELD_U32, false, SUBMIT(cpu_milli),
	 "declared size, thousandths of a processor"},
	{"--memory-mb", FIELD_U32, false, SUBMIT(memory_mb), "declared size"},
	{"--accelerators", FIELD_U32, false, SUBMIT(accelerators),
	 "declared size"},
	{"--run-ms", FIELD_U32, false, SUBMIT(run_ms), "declared run time"},
	{"--within-ms", FIELD_U32, false, SUBMIT(within_ms),
	 "an answer is wanted within"},
	{0}};
static const struct cmd_field status_fields[] = {
	{"JOB", FIELD_NAME, true, JOB(job), NULL},
	{"--wait-ms", FIELD_U32, false, JOB(wait_ms),
	 "wait this long for the final answer"},
	{0}};
static const struct cmd_field cancel_fields[] = {
	{"JOB", FIELD_NAME, false, JOB(job), NULL},
	{"--label", FIELD_TEXT, false, JOB(label), "all jobs of this label"},
	{0}};

const struct command submit_commands[] = {
	{"submit", submit_fields, submit_exec, 0, true, "submit a job"},
	{"status", status_fields, status_exec, 0, false, "show a job"},
	{"cancel", cancel_fields, cancel_exec, 0, true,
	 "cancel a job, or all of a label"},
	{0}};

/* One HTTP exchange. */
struct exchange {
	const char *method;
	char *path;
	json_t *body; /* or NULL */
	bstr key;     /* idempotency key, or empty */
	uint32_t wait_ms;
	bstr answer;
	long http;
};

/* Collect the answer, up to a bound. */
static size_t answer_take(char *p, size_t size, size_t n, void *arg)
{
	bstr *answer = arg;

	n *= size;
	if (n > ANSWER_MAX_BYTES - answer->bstr_len)
		return 0;
	answer->bstr_val = xrealloc(answer->bstr_val, answer->bstr_len + n, 1);
	memcpy(answer->bstr_val + answer->bstr_len, p, n);
	answer->bstr_len += (u_int)n;
	return n;
}

/* Add a header line, and forget its text. */
static struct curl_slist *header_add(struct curl_slist *list, char *line)
{
	list = curl_slist_append(list, line);
	if (!list)
		abort();
	sodium_memzero(line, strlen(line));
	free(line);
	return list;
}

/* Do an exchange; the HTTP status is 0 if there was no answer. */
static CURLcode exchange_run(const struct cmd_client *c, bstr secret,
			     struct exchange *x)
{
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	char *url = xasprintf("%s%s", c->callers, x->path), *body = NULL;
	CURLcode rc;

	if (!curl)
		abort();
	headers = header_add(headers, xasprintf("Authorization: Bearer %.*s",
						BSTR_ARG(secret)));
	if (x->key.bstr_len)
		headers = header_add(headers, xasprintf("Idempotency-Key: %.*s",
							BSTR_ARG(x->key)));
	if (x->body) {
		body = json_dumps(x->body, JSON_COMPACT);
		headers = header_add(headers,
				     xstrdup("Content-Type: application/json"));
		headers = header_add(headers, xstrdup("Expect:"));
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	}
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, x->method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)c->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 (long)c->timeout_ms + (long)x->wait_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, answer_take);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &x->answer);
	if (c->ca_file)
		curl_easy_setopt(curl, CURLOPT_CAINFO, c->ca_file);
	rc = curl_easy_perform(curl);
	if (rc == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &x->http);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	free(body);
	free(url);
	return rc;
}

/*
 * The exit code of an answer.  The job's state counts too: a job that did
 * not run, or of which nobody knows, must not look like a success; unless it
 * was to be cancelled, when "not run" is just that.
 */
static int answer_code(const struct command *cmd, long http,
		       const json_t *answer)
{
	static const struct {
		long http;
		int code;
	} codes[] = {
		{401, CMD_DENIED},	{403, CMD_DENIED},
		{404, CMD_NOT_FOUND},	{409, CMD_CONFLICT},
		{429, CMD_REFUSED},	{502, CMD_UNKNOWN},
		{503, CMD_UNAVAILABLE}, {504, CMD_UNKNOWN},
	};
	const char *state = json_string_value(json_object_get(answer, "state"));
	size_t i;

	if (state && strcmp(state, "unknown") == 0)
		return CMD_UNKNOWN;
	for (i = 0; i < NELEMS(codes); i++)
		if (codes[i].http == http)
			return codes[i].code;
	if (state && cmd->exec != cancel_exec && strcmp(state, "not-run") == 0)
		return CMD_REFUSED;
	if (state && cmd->exec != cancel_exec && strcmp(state, "failed") == 0)
		return CMD_JOB_FAILED;
	if (http >= 200 && http < 300)
		return CMD_OK;
	return http >= 400 && http < 500 ? CMD_INVALID : CMD_UNKNOWN;
}

/* Print an answer. */
static void answer_print(const struct cmd_client *c, const json_t *answer)
{
	char *text;

	if (!c->json) {
		table_print(c->out, answer);
		return;
	}
	text = json_dumps(answer, JSON_INDENT(2) | JSON_ENCODE_ANY);
	fprintf(c->out, "%s\n", text);
	free(text);
}

/* Say that no whole answer came, and what that means. */
static int exchange_failed(const struct cmd_client *c,
			   const struct command *cmd, const struct exchange *x,
			   const char *why, bool sent)
{
	fprintf(c->err, "bamboofront: %s: %s\n", c->callers, why);
	if (!sent || !cmd->changes)
		return CMD_NO_CONNECTION;
	if (x->key.bstr_len)
		fprintf(c->err,
			"It may have been accepted.  To find out, submit the "
			"same again with --idempotency-key %.*s\n",
			BSTR_ARG(x->key));
	else
		fprintf(c->err, "It may have been done.\n");
	return CMD_UNKNOWN;
}

/* Do an exchange and print its answer. */
static int exchange_print(const struct cmd_client *c, const struct command *cmd,
			  bstr secret, struct exchange *x)
{
	CURLcode rc = exchange_run(c, secret, x);
	json_t *answer;
	int code;

	if (rc != CURLE_OK)
		return exchange_failed(
			c, cmd, x, curl_easy_strerror(rc),
			rc != CURLE_COULDNT_CONNECT &&
				rc != CURLE_COULDNT_RESOLVE_HOST &&
				rc != CURLE_URL_MALFORMAT &&
				rc != CURLE_UNSUPPORTED_PROTOCOL);
	answer = json_loadb(x->answer.bstr_val ? x->answer.bstr_val : "",
			    x->answer.bstr_len, JSON_DECODE_ANY, NULL);
	if (!answer)
		return exchange_failed(c, cmd, x, "the answer is no JSON",
				       true);
	answer_print(c, answer);
	code = answer_code(cmd, x->http, answer);
	json_decref(answer);
	return code;
}

/* Check and read what says who submits, then do the exchange. */
static int caller_exec(const struct cmd_client *c, const struct command *cmd,
		       struct exchange *x)
{
	bstr secret = BSTR_NONE;
	struct error e;
	int code;

	error_init(&e);
	if (!c->callers)
		error_add(&e, "--callers", "is missing");
	if (!c->secret_file)
		error_add(&e, "--key", "is missing");
	else
		file_read(c->secret_file, &secret, &e);
	bstr_trim(&secret);
	if (e.count)
		code = findings_exit(c, &e, CMD_INVALID);
	else
		code = exchange_print(c, cmd, secret, x);
	if (secret.bstr_val)
		sodium_memzero(secret.bstr_val, secret.bstr_len);
	bstr_free(&secret);
	bstr_free(&x->answer);
	json_decref(x->body);
	free(x->path);
	return code;
}

/* Set a number that was given. */
static void number_set(json_t *j, const char *name, uint32_t n)
{
	if (n)
		json_object_set_new(j, name, json_integer(n));
}

/* A submission's body; NULL and a finding if the payload is no JSON. */
static json_t *submit_body(const struct cmd_submit *s, struct error *e)
{
	bstr text = s->payload_file.bstr_len ? s->payload_file : s->payload;
	json_t *j, *payload;
	json_error_t je;

	payload = json_loadb(text.bstr_val ? text.bstr_val : "", text.bstr_len,
			     JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, &je);
	if (!payload || (s->payload.bstr_len && s->payload_file.bstr_len)) {
		error_add(e, "--payload",
			  "expected JSON, here or by --payload-file");
		json_decref(payload);
		return NULL;
	}
	j = json_object();
	json_object_set_new(j, "pool", bstr_to_json(s->pool));
	json_object_set_new(j, "payload", payload);
	if (s->label.bstr_len)
		json_object_set_new(j, "label", bstr_to_json(s->label));
	json_object_set_new(j, "may_be_repeated", json_boolean(s->may_repeat));
	json_object_set_new(j, "urgent", json_boolean(s->urgent));
	json_object_set_new(j, "wait", json_boolean(s->wait));
	number_set(j, "cpu_milli", s->cpu_milli);
	number_set(j, "memory_mb", s->memory_mb);
	number_set(j, "accelerators", s->accelerators);
	number_set(j, "run_ms", s->run_ms);
	number_set(j, "timeout_ms", s->within_ms);
	return j;
}

/* Submit. */
static int submit_exec(const struct cmd_client *c, const struct command *cmd,
		       union cmd_values *v)
{
	struct cmd_submit *s = &v->submit;
	struct exchange x = {.method = "POST"};
	unsigned char bytes[16];
	struct error e;

	error_init(&e);
	x.body = submit_body(s, &e);
	if (!x.body)
		return findings_exit(c, &e, CMD_INVALID);
	if (!s->key.bstr_len) {
		randombytes_buf(bytes, sizeof(bytes));
		s->key = hex_encode(bytes, sizeof(bytes));
	}
	x.key = s->key;
	x.path = xstrdup("/v1/jobs");
	if (s->wait)
		x.wait_ms = s->within_ms ? s->within_ms : SUBMIT_WITHIN_MS;
	return caller_exec(c, cmd, &x);
}

/* Show a job. */
static int status_exec(const struct cmd_client *c, const struct command *cmd,
		       union cmd_values *v)
{
	struct exchange x = {.method = "GET", .wait_ms = v->job.wait_ms};

	x.path = xasprintf("/v1/jobs/%.*s?wait_ms=%u", BSTR_ARG(v->job.job),
			   v->job.wait_ms);
	return caller_exec(c, cmd, &x);
}

/* Cancel. */
static int cancel_exec(const struct cmd_client *c, const struct command *cmd,
		       union cmd_values *v)
{
	struct exchange x = {.method = "DELETE"};
	struct error e;

	if (!v->job.job.bstr_len == !v->job.label.bstr_len) {
		error_init(&e);
		error_add(&e, "cancel", "expected either JOB or --label TEXT");
		return findings_exit(c, &e, CMD_INVALID);
	}
	if (v->job.job.bstr_len) {
		x.path = xasprintf("/v1/jobs/%.*s", BSTR_ARG(v->job.job));
		return caller_exec(c, cmd, &x);
	}
	x.method = "POST";
	x.path = xstrdup("/v1/cancel");
	x.body = json_object();
	json_object_set_new(x.body, "label", bstr_to_json(v->job.label));
	return caller_exec(c, cmd, &x);
}
