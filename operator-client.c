#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "operator-client.h"
#include "rpc-client.h"

struct operator_client {
	char *address;
	char *name;
	uint8_t key[SEAL_KEY_BYTES];
	struct rpc_client *rpc; /* NULL if not connected */
};

/* Connects, unless there is a usable connection.  Returns false on failure. */
static bool client_connect(struct operator_client *c, int64_t deadline)
{
	if (c->rpc && rpc_client_alive(c->rpc))
		return true;
	rpc_client_close(c->rpc);
	c->rpc = rpc_client_open(bstr_lit(c->address), BAMBOO_OPERATOR,
				 BAMBOO_OPERATOR_V1, deadline);
	return c->rpc;
}

/* Connects to an entry VM.  Returns NULL and adds a finding on failure. */
struct operator_client *operator_client_open(const char *address,
					     const char *name,
					     const uint8_t key[SEAL_KEY_BYTES],
					     int64_t deadline, struct error *e)
{
	struct operator_client *c = xcalloc(1, sizeof(*c));

	if (sodium_init() < 0)
		abort();
	c->address = xstrdup(address);
	c->name = xstrdup(name);
	memcpy(c->key, key, sizeof(c->key));
	if (client_connect(c, deadline))
		return c;
	error_add(e, address, "no connection to this entry VM");
	operator_client_close(c);
	return NULL;
}

/*
 * Fills a reply that the client creates itself because there is none from an
 * entry VM.  Returns false, for the result of operator_client_call.
 */
static bool reply_fill_local(op_reply *reply, op_status status,
			     const char *reason, const char *detail)
{
	memset(reply, 0, sizeof(*reply));
	reply->status = status;
	reply->reason = bstr_new(reason);
	reply->detail = bstr_new(detail);
	return false;
}

/*
 * Fills the reply for a failed call.  A request that was not sent completely is
 * never carried out.  One that was sent may have been carried out, so without
 * an answer its outcome is unknown.
 */
static bool reply_fill_failure(op_reply *reply, enum clnt_stat stat)
{
	switch (stat) {
	case RPC_AUTHERROR:
		return reply_fill_local(reply, OP_DENIED, "denied",
					"name, key or clock did not hold");
	case RPC_CANTENCODEARGS:
		return reply_fill_local(reply, OP_INVALID, "too-large",
					"the request is too large to be sent");
	case RPC_CANTSEND:
	case RPC_PROGUNAVAIL:
	case RPC_PROGVERSMISMATCH:
	case RPC_PROCUNAVAIL:
	case RPC_CANTDECODEARGS:
		return reply_fill_local(reply, OP_UNAVAILABLE, "not-sent",
					clnt_sperrno(stat));
	default:
		return reply_fill_local(reply, OP_UNKNOWN, "no-answer",
					clnt_sperrno(stat));
	}
}

/* Verifies and decodes an answer, and decrypts the secret in it. */
static bool reply_open(const struct operator_client *c, const sealed *request,
		       const sealed *answer, op_reply *reply)
{
	char *purpose = operator_reply_purpose(request->nonce);
	bool ok = seal_open(answer, purpose, clock_wall(), c->key, NULL) ==
		  SEAL_OK;
	bstr secret;

	free(purpose);
	if (!ok || !xdr_decode(XDR_PROC(xdr_op_reply), answer->body, reply,
			       sizeof(*reply)))
		return reply_fill_local(reply, OP_UNKNOWN, "bad-answer",
					"the answer's seal did not hold");
	if (!reply->secret.bstr_len)
		return true;
	if (!secret_unseal(reply->secret, c->key, request->nonce, &secret)) {
		xdr_free(XDR_PROC(xdr_op_reply), (char *)reply);
		return reply_fill_local(
			reply, OP_UNKNOWN, "bad-answer",
			"the secret in the answer did not hold");
	}
	bstr_free(&reply->secret);
	reply->secret = secret;
	return true;
}

/*
 * Sends a sealed request and opens the answer.  Closes the connection on
 * failure.
 */
static bool client_call(struct operator_client *c, const sealed *request,
			int64_t deadline, op_reply *reply)
{
	enum clnt_stat stat;
	sealed answer;
	bool ok;

	if (!client_connect(c, deadline))
		return reply_fill_local(reply, OP_UNAVAILABLE, "no-connection",
					"no connection to this entry VM");
	memset(&answer, 0, sizeof(answer));
	stat = rpc_client_call(c->rpc, OPERATE, request, XDR_PROC(xdr_sealed),
			       &answer, deadline);
	if (stat == RPC_SUCCESS) {
		ok = reply_open(c, request, &answer, reply);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&answer);
		return ok;
	}
	xdr_free(XDR_PROC(xdr_sealed), (char *)&answer);
	rpc_client_close(c->rpc);
	c->rpc = NULL;
	return reply_fill_failure(reply, stat);
}

/* Seals a request, sends it to the entry VM and fills reply. */
bool operator_client_call(struct operator_client *c, const op_request *req,
			  int64_t deadline, op_reply *reply)
{
	bstr body = xdr_encode(XDR_PROC(xdr_op_request), req);
	sealed request;
	bool ok;

	seal(&request, OPERATOR_CALL_PURPOSE, bstr_lit(c->name), body,
	     clock_wall() + SEAL_VALIDITY_MS, c->key);
	ok = client_call(c, &request, deadline, reply);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&request);
	bstr_free(&body);
	return ok;
}

/* Closes the connection and clears the key; NULL is allowed. */
void operator_client_close(struct operator_client *c)
{
	if (!c)
		return;
	rpc_client_close(c->rpc);
	sodium_memzero(c->key, sizeof(c->key));
	free(c->address);
	free(c->name);
	free(c);
}
