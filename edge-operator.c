/*
 * The edge to operators: an RPC server that authenticates requests, posts them
 * to the reducer and sends its replies. The counters of this process are
 * answered without the reducer.
 */
#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "operator-client.h"
#include "rpc-server.h"

#define NONCES_MAX 8192
#define PENDING_MAX 1024
#define REPLIES_MAX 2048
#define RETRY_AFTER_MS 1000

/* A call that the reducer has not answered yet. */
struct pending {
	uint64_t call;
	int64_t deadline;
	op_kind kind;
	const struct operator_key *signer;
	char nonce[24];
	bstr secret; /* OP_KEY_CREATE: sent to the operator on success */
};

struct edge_operator {
	const struct settings *settings;
	struct mailbox *inbox;
	struct mailbox *replies;
	struct replay_guard *guard;
	struct rpc_server *server;
	/*
	 * Sorted by deadline. The last element is for a call over the limit,
	 * which is added before it is refused.
	 */
	struct pending *pending[PENDING_MAX + 1];
	size_t pending_count;
};

/* Frees a call and erases its secret from memory. */
static void pending_free(struct pending *p)
{
	if (p->secret.bstr_len)
		sodium_memzero(p->secret.bstr_val, p->secret.bstr_len);
	bstr_free(&p->secret);
	free(p);
}

/* Removes and frees the i-th call. */
static void edge_remove_pending(struct edge_operator *edge, size_t i)
{
	pending_free(edge->pending[i]);
	edge->pending_count--;
	memmove(&edge->pending[i], &edge->pending[i + 1],
		(edge->pending_count - i) * sizeof(struct pending *));
}

/* Returns the index of a call, or pending_count if there is none. */
static size_t edge_find_pending(const struct edge_operator *edge, uint64_t call)
{
	size_t i;

	for (i = 0; i < edge->pending_count; i++)
		if (edge->pending[i]->call == call)
			break;
	return i;
}

/* Returns true if an operation changes any state. */
static bool op_is_change(op_kind kind)
{
	switch (kind) {
	case OP_POOL_SHOW:
	case OP_VM_SHOW:
	case OP_TEAM_SHOW:
	case OP_KEY_SHOW:
	case OP_WAVE_PLAN:
	case OP_WAVE_SHOW:
	case OP_CONFIG_SHOW:
	case OP_CONFIG_DIFF:
	case OP_CONFIG_HISTORY:
	case OP_WHY_JOB:
	case OP_WHY_TEAM:
	case OP_FLEET:
	case OP_COUNTERS:
		return false;
	default:
		return true;
	}
}

/* Seals an encoded reply and sends it. */
static void edge_send_sealed(struct edge_operator *edge,
			     const struct pending *p, bstr body)
{
	char *purpose = operator_reply_purpose(p->nonce);
	sealed envelope;

	seal(&envelope, purpose, edge->settings->vm, body,
	     clock_wall() + SEAL_VALIDITY_MS, p->signer->key);
	rpc_server_reply(edge->server, p->call, XDR_PROC(xdr_sealed),
			 &envelope);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&envelope);
	free(purpose);
}

/*
 * Sends a reply. If it is too large for an envelope, it would never arrive, and
 * the operator would regard the outcome of a change as unknown although it took
 * effect. A change is then answered with its status (and the secret of a new
 * key) but without its document; a query is refused.
 */
static void edge_reply(struct edge_operator *edge, const struct pending *p,
		       const op_reply *reply)
{
	bstr body = xdr_encode(XDR_PROC(xdr_op_reply), reply);
	op_reply short_reply = {
		.status = op_is_change(p->kind) ? reply->status : OP_REFUSED,
		.reason = bstr_lit("answer-too-large"),
		.detail = bstr_lit("the document is over the bound"),
		.secret = reply->secret,
	};

	if (!body.bstr_len || body.bstr_len > BSTR_MAX) {
		bstr_free(&body);
		body = xdr_encode(XDR_PROC(xdr_op_reply), &short_reply);
		counter_add(COUNT_REFUSED_BODY_TOO_LARGE, 1);
	}
	edge_send_sealed(edge, p, body);
	bstr_free(&body);
}

/* Replies to a call without the reducer and removes the call. */
static void edge_reply_local(struct edge_operator *edge,
			     const struct pending *p, op_status status,
			     const char *reason, const char *detail)
{
	op_reply reply = {
		.status = status,
		.reason = bstr_lit(reason),
		.detail = bstr_lit(detail),
		.retry_after_ms = status == OP_INVALID ? 0 : RETRY_AFTER_MS};

	edge_reply(edge, p, &reply);
	edge_remove_pending(edge, edge_find_pending(edge, p->call));
}

/* Replies to OP_COUNTERS and removes the call. */
static void edge_reply_counters(struct edge_operator *edge,
				const struct pending *p)
{
	json_t *json = counter_json();
	char *text = json_dumps(json, JSON_COMPACT);
	op_reply reply = {.status = OP_OK, .body = bstr_lit(text)};

	edge_reply(edge, p, &reply);
	edge_remove_pending(edge, edge_find_pending(edge, p->call));
	json_decref(json);
	free(text);
}

/*
 * Posts a request to the reducer. The secret of a new key is generated and kept
 * here. The event contains only its salted hash, so that neither a recording
 * nor the table ever contains the secret.
 */
static void edge_post_request(struct edge_operator *edge, struct pending *p,
			      event *ev)
{
	op_key *key = &ev->body.event_body_u.operate.request.op_request_u.key;

	ev->body.event_body_u.operate.call = p->call;
	if (p->kind == OP_KEY_CREATE) {
		bstr_free(&key->salt);
		bstr_free(&key->hash);
		secret_new(key->key_id, &p->secret, &key->salt, &key->hash);
	}
	if (mailbox_put(edge->inbox, ev))
		return;
	event_free(ev);
	counter_add(COUNT_REFUSED_OVERLOAD, 1);
	edge_reply_local(edge, p, OP_UNAVAILABLE, "overload",
			 "too much waits to be decided");
}

/* Handles a request from an authenticated operator. */
static void edge_handle_request(struct edge_operator *edge, uint64_t call,
				const struct operator_key *signer,
				const sealed *envelope)
{
	struct pending *p = xcalloc(1, sizeof(*p));
	event *ev = event_new(EV_OPERATE);
	op_request *req = &ev->body.event_body_u.operate.request;
	bool ok;

	p->call = call;
	p->signer = signer;
	p->deadline = clock_now() + rpc_timeouts.answer_ms;
	memcpy(p->nonce, envelope->nonce, sizeof(p->nonce));
	edge->pending[edge->pending_count++] = p;
	ok = xdr_decode(XDR_PROC(xdr_op_request), envelope->body, req,
			sizeof(*req));
	p->kind = req->kind;
	if (ok && p->kind != OP_COUNTERS &&
	    edge->pending_count <= PENDING_MAX) {
		edge_post_request(edge, p, ev);
		return;
	}
	event_free(ev);
	if (!ok) {
		counter_add(COUNT_REFUSED_MALFORMED, 1);
		edge_reply_local(edge, p, OP_INVALID, "malformed",
				 "the request does not decode");
	} else if (p->kind == OP_COUNTERS) {
		edge_reply_counters(edge, p);
	} else {
		counter_add(COUNT_REFUSED_OVERLOAD, 1);
		edge_reply_local(edge, p, OP_UNAVAILABLE, "overload",
				 "too many calls await their answer");
	}
}

/*
 * Verifies the seal of an envelope and returns the key of the operator that
 * signed it. Returns NULL and sets result if the seal is rejected.
 */
static const struct operator_key *edge_authenticate(struct edge_operator *edge,
						    const sealed *envelope,
						    enum seal_result *result)
{
	const struct operator_key *k = edge->settings->operators.keys;
	size_t i;

	*result = SEAL_BAD_MAC;
	for (i = 0; i < edge->settings->operators.key_count; i++, k++) {
		if (!bstr_eq_str(envelope->from, k->name))
			continue;
		*result = seal_open(envelope, OPERATOR_CALL_PURPOSE,
				    clock_wall(), k->key, edge->guard);
		return *result == SEAL_OK ? k : NULL;
	}
	return NULL;
}

/* Handles OPERATE. */
static void edge_handle_operate(void *arg, uint64_t call,
				const sealed *envelope)
{
	struct edge_operator *edge = arg;
	const struct operator_key *signer;
	enum seal_result result;

	signer = edge_authenticate(edge, envelope, &result);
	if (signer)
		edge_handle_request(edge, call, signer, envelope);
	else
		rpc_server_deny(edge->server, call, result);
}

/* Sends the reducer's reply. Includes the secret only with OP_OK. */
static void edge_handle_reply(struct edge_operator *edge, const fx_op_reply *fx)
{
	size_t i = edge_find_pending(edge, fx->call);
	const struct pending *p;
	op_reply reply = fx->reply;

	if (i == edge->pending_count) {
		counter_add(COUNT_DROPPED_LATE, 1);
		return;
	}
	p = edge->pending[i];
	reply.secret = BSTR_NONE;
	if (p->secret.bstr_len && reply.status == OP_OK)
		reply.secret = secret_seal(p->secret, p->signer->key, p->nonce);
	edge_reply(edge, p, &reply);
	bstr_free(&reply.secret);
	edge_remove_pending(edge, i);
}

/*
 * Sends the reducer's replies, then answers calls whose deadline has passed.
 * Returns the next deadline. If the reducer's reply never came, the operator's
 * command would hang and its connection would stay occupied. An answer at the
 * deadline ends both: "unknown" for a change, since it may have taken effect,
 * or "unavailable" for a query, which can be repeated.
 */
static int64_t edge_loop(void *arg, int64_t now)
{
	struct edge_operator *edge = arg;
	const struct pending *p;
	effect *fx;

	while ((fx = mailbox_take(edge->replies))) {
		if (fx->kind == FX_OP_REPLY)
			edge_handle_reply(edge, &fx->effect_u.op_reply);
		effect_free(fx);
	}
	while (edge->pending_count) {
		p = edge->pending[0];
		if (p->deadline > now)
			return p->deadline;
		counter_add(COUNT_REFUSED_DEADLINE, 1);
		if (op_is_change(p->kind))
			edge_reply_local(edge, p, OP_UNKNOWN, "no-answer",
					 "it may have taken effect");
		else
			edge_reply_local(edge, p, OP_UNAVAILABLE, "no-answer",
					 "no answer in time");
	}
	return INT64_MAX;
}

/* Starts the operators' listener. Returns NULL with errors on failure. */
struct edge_operator *edge_operator_start(const struct settings *s,
					  struct intake *intake,
					  struct mailbox *inbox,
					  struct error *e)
{
	struct edge_operator *edge = xcalloc(1, sizeof(*edge));
	struct rpc_service service = {
		.name = "operators",
		.program = BAMBOO_OPERATOR,
		.version = BAMBOO_OPERATOR_V1,
		.procedure = OPERATE,
		.max_connections = s->operators.max_connections,
		.on_call = edge_handle_operate,
		.on_loop = edge_loop,
		.intake = intake,
		.arg = edge,
	};

	edge->settings = s;
	edge->inbox = inbox;
	edge->replies = service.wake = mailbox_new(REPLIES_MAX);
	edge->guard = replay_guard_new(NONCES_MAX);
	edge->server = rpc_server_new(&service, &s->operators.listen, e);
	if (edge->server) {
		rpc_server_start(edge->server);
		return edge;
	}
	mailbox_free(edge->replies);
	replay_guard_free(edge->guard);
	free(edge);
	return NULL;
}

uint16_t edge_operator_port(const struct edge_operator *edge)
{
	return rpc_server_port(edge->server);
}

/* Queues the reducer's reply. Returns false if the queue is full. */
bool edge_operator_send(struct edge_operator *edge, effect *fx)
{
	return mailbox_put(edge->replies, fx);
}

/* Stops the edge. Replies queued before the call are still sent. */
void edge_operator_stop(struct edge_operator *edge)
{
	effect *fx;

	rpc_server_stop(edge->server);
	while (edge->pending_count)
		pending_free(edge->pending[--edge->pending_count]);
	while ((fx = mailbox_take(edge->replies)))
		effect_free(fx);
	mailbox_free(edge->replies);
	replay_guard_free(edge->guard);
	free(edge);
}
