#include "cmd.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "operator-client.h"

#define FILE_MAX_BYTES 1048576

static const char *const status_names[] = {
	[OP_OK] = "ok",
	[OP_INVALID] = "invalid",
	[OP_NOT_FOUND] = "not found",
	[OP_CONFLICT] = "conflict",
	[OP_REFUSED] = "refused",
	[OP_UNAVAILABLE] = "unavailable",
	[OP_UNKNOWN] = "unknown, it may have taken effect",
	[OP_DENIED] = "denied",
};

/* Prints and frees the findings in e and returns code. */
int findings_exit(const struct cmd_client *c, struct error *e, int code)
{
	error_print(e, c->err);
	error_free(e);
	return code;
}

/*
 * Reads a file, or standard input for "-".  Adds a finding on failure and
 * leaves text empty.  Returns false if the file cannot be opened or is too
 * large, but true after a read error.
 */
bool file_read(const char *path, bstr *text, struct error *e)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char *buffer;
	size_t n;

	*text = BSTR_NONE;
	if (!f) {
		error_add(e, path, "can't be opened: %s", strerror(errno));
		return false;
	}
	buffer = xmalloc(FILE_MAX_BYTES + 1);
	n = fread(buffer, 1, FILE_MAX_BYTES + 1, f);
	if (ferror(f) || n > FILE_MAX_BYTES)
		error_add(e, path, "expected a file of at most %d bytes",
			  FILE_MAX_BYTES);
	else
		*text = bstr_from_bytes(buffer, n);
	if (f != stdin)
		fclose(f);
	sodium_memzero(buffer, n);
	free(buffer);
	return n <= FILE_MAX_BYTES;
}

/* Removes trailing white space. */
void bstr_trim(bstr *text)
{
	while (text->bstr_len &&
	       strchr(" \t\r\n", text->bstr_val[text->bstr_len - 1]))
		text->bstr_len--;
}

/*
 * Checks the options that identify the operator and reads the key.  Returns
 * false and adds findings if one is missing or invalid.
 */
static bool credentials_read(const struct cmd_client *c,
			     uint8_t key[SEAL_KEY_BYTES], struct error *e)
{
	bstr text;

	if (!c->servers || !c->servers[0])
		error_add(e, "--server", "is missing");
	if (!c->operator)
		error_add(e, "--operator", "is missing");
	if (!c->key_file)
		error_add(e, "--key-file", "is missing");
	else if (file_read(c->key_file, &text, e)) {
		bstr_trim(&text);
		if (!hex_decode(text, key, SEAL_KEY_BYTES))
			error_add(e, c->key_file,
				  "expected 64 hexadecimal digits");
		if (text.bstr_val)
			sodium_memzero(text.bstr_val, text.bstr_len);
		bstr_free(&text);
	}
	return !e->count;
}

/*
 * Calls the servers in turn until one has answered.  A command that changes
 * state goes to the next server only if it was certainly not carried out: there
 * was no connection, or the call was not sent completely.  After any other
 * failure it may have taken effect, and a retry could carry it out twice.
 * Returns false if no server was reached; reply is not set then.
 */
static bool servers_call(const struct cmd_client *c, const struct command *cmd,
			 const uint8_t key[SEAL_KEY_BYTES],
			 const op_request *req, op_reply *reply,
			 struct error *e)
{
	struct operator_client *oc;
	bool called = false, answered, retry;
	int64_t deadline;
	size_t i;

	for (i = 0; c->servers[i]; i++) {
		deadline = clock_now() + c->timeout_ms;
		oc = operator_client_open(c->servers[i], c->operator, key,
					  deadline, e);
		if (!oc)
			continue;
		if (called)
			xdr_free(XDR_PROC(xdr_op_reply), (char *)reply);
		answered = operator_client_call(oc, req, deadline, reply);
		called = true;
		operator_client_close(oc);
		if (cmd->changes)
			retry = !answered && reply->status == OP_UNAVAILABLE;
		else
			retry = reply->status == OP_UNAVAILABLE ||
				reply->status == OP_UNKNOWN;
		if (!retry)
			break;
	}
	return called;
}

/*
 * Returns the document to print: the body, with the secret of a new key as a
 * member.
 */
static json_t *reply_document(const op_reply *reply)
{
	json_t *j = NULL;

	if (reply->body.bstr_len)
		j = json_loadb(reply->body.bstr_val, reply->body.bstr_len,
			       JSON_DECODE_ANY, NULL);
	if (!reply->secret.bstr_len)
		return j;
	if (!json_is_object(j)) {
		json_decref(j);
		j = json_object();
	}
	json_object_set_new(j, "secret", bstr_to_json(reply->secret));
	return j;
}

/* Prints a failure as a JSON document. */
static void failure_print_json(const struct cmd_client *c,
			       const op_reply *reply, const char *status)
{
	json_t *j = json_object();
	char *text;

	json_object_set_new(j, "status", json_string(status));
	json_object_set_new(j, "reason", bstr_to_json(reply->reason));
	json_object_set_new(j, "detail", bstr_to_json(reply->detail));
	json_object_set_new(j, "retry_after_ms",
			    json_integer(reply->retry_after_ms));
	text = json_dumps(j, JSON_INDENT(2));
	fprintf(c->out, "%s\n", text);
	free(text);
	json_decref(j);
}

/* Prints why a request failed. */
static void failure_print(const struct cmd_client *c, const op_reply *reply)
{
	const char *status = (unsigned)reply->status < NELEMS(status_names)
				     ? status_names[reply->status]
				     : "?";

	if (c->json)
		failure_print_json(c, reply, status);
	fprintf(c->err, "bamboofront: %s: %.*s", status,
		BSTR_ARG(reply->reason));
	if (reply->detail.bstr_len)
		fprintf(c->err, ": %.*s", BSTR_ARG(reply->detail));
	if (reply->retry_after_ms)
		fprintf(c->err, " (retry after %u ms)", reply->retry_after_ms);
	fputc('\n', c->err);
}

/* Prints a reply and returns the exit code. */
static int reply_print(const struct cmd_client *c, const op_reply *reply)
{
	json_t *j = reply_document(reply);
	char *text;

	if (reply->status != OP_OK)
		failure_print(c, reply);
	if (j && c->json && reply->status == OP_OK) {
		text = json_dumps(j, JSON_INDENT(2) | JSON_ENCODE_ANY);
		fprintf(c->out, "%s\n", text);
		free(text);
	} else if (j && !c->json)
		table_print(c->out, j);
	else if (reply->status == OP_OK)
		fputs(c->json ? "{}\n" : "done\n", c->out);
	json_decref(j);
	return (unsigned)reply->status <= OP_DENIED ? (int)reply->status
						    : CMD_UNKNOWN;
}

/* Generates an id for a key that has none: the team and a random suffix. */
static void key_set_default_id(op_key *key)
{
	unsigned char bytes[4];
	bstr hex;

	if (key->key_id.bstr_len)
		return;
	randombytes_buf(bytes, sizeof(bytes));
	hex = hex_encode(bytes, sizeof(bytes));
	key->key_id = bstr_printf("%.*s-%.*s", BSTR_ARG(key->team),
				  BSTR_ARG(hex));
	bstr_free(&hex);
}

/* Executes an operator's command and returns the exit code. */
int operator_exec(const struct cmd_client *c, const struct command *cmd,
		  union cmd_values *v)
{
	uint8_t key[SEAL_KEY_BYTES];
	op_reply reply;
	struct error e;
	int code;

	error_init(&e);
	if (!credentials_read(c, key, &e))
		return findings_exit(c, &e, CMD_INVALID);
	if (cmd->kind == OP_KEY_CREATE)
		key_set_default_id(&v->request.op_request_u.key);
	if (!servers_call(c, cmd, key, &v->request, &reply, &e)) {
		sodium_memzero(key, sizeof(key));
		return findings_exit(c, &e, CMD_NO_CONNECTION);
	}
	sodium_memzero(key, sizeof(key));
	error_free(&e);
	code = reply_print(c, &reply);
	if (reply.secret.bstr_val)
		sodium_memzero(reply.secret.bstr_val, reply.secret.bstr_len);
	xdr_free(XDR_PROC(xdr_op_reply), (char *)&reply);
	return code;
}
