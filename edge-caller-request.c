/*
 * Requests of the callers' HTTP server: reads and decodes a request, passes it
 * to the reducer and continues when the answer has arrived.
 */
#include "edge-caller.h"
#include "json-read.h"

#include <ck_pr.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define CALLER_DISCARD_MAX 8388608 /* body bytes discarded after a refusal */
#define CALLER_BODY_COPIES 2   /* of a pending call: decoded, and its event */
#define CALLER_CALL_BYTES 2048 /* of a pending call without its texts */

/*
 * Ensures that a submission has an idempotency key, random if the caller sent
 * none, and copies it for the reply.
 */
static void key_ensure(struct caller_call *c)
{
	bstr *key = &c->request.body.caller_body_u.spec.key;
	unsigned char random[16];

	if (c->route != ROUTE_SUBMIT)
		return;
	if (!key->bstr_len) {
		randombytes_buf(random, sizeof(random));
		*key = hex_encode(random, sizeof(random));
	}
	c->key = bstr_copy(*key);
}

/*
 * Posts a call to the reducer and suspends its connection. Both happen under
 * the conn's lock, so that even an immediate answer finds the connection
 * suspended.
 */
static enum MHD_Result call_submit(struct edge_caller *edge,
				   struct MHD_Connection *mhd, struct conn *cn,
				   struct request *rq)
{
	event *ev = event_new(EV_CALL);
	ev_call *call = &ev->body.event_body_u.call;
	enum conn_state state = CONN_PENDING;

	key_ensure(&rq->call);
	call->request = rq->call.request;
	/* The request was moved; xdr_free needs a valid kind in its place. */
	memset(&rq->call.request, 0, sizeof(rq->call.request));
	rq->call.request.body.kind = CALL_CANCEL_LABEL;
	pthread_mutex_lock(&cn->lock);
	cn->generation++;
	call->call = caller_conn_call(edge, cn);
	if (cn->client_closed)
		state = CONN_CLIENT_CLOSED;
	else if (ck_pr_load_int(&edge->stopping))
		state = CONN_STOPPED;
	else if (!mailbox_put(edge->inbox, ev))
		state = CONN_IDLE;
	if (state == CONN_PENDING) {
		cn->state = state;
		cn->deadline = clock_now() + rq->call.answer_ms +
			       edge->timing.answer_margin_ms;
		MHD_suspend_connection(mhd);
	}
	pthread_mutex_unlock(&cn->lock);
	if (state == CONN_PENDING) {
		rq->submitted = true;
		return MHD_YES;
	}
	event_free(ev);
	if (state == CONN_CLIENT_CLOSED)
		return MHD_NO; /* the client has disconnected */
	return caller_reply_unavailable(edge, mhd, rq, state);
}

/* Sends the reply to a call after its connection was resumed. */
static enum MHD_Result call_finish(struct edge_caller *edge,
				   struct MHD_Connection *mhd, struct conn *cn,
				   struct request *rq)
{
	enum conn_state state;
	struct caller_reply r;
	effect *fx;

	pthread_mutex_lock(&cn->lock);
	state = cn->state;
	fx = cn->answer;
	cn->answer = NULL;
	if (state != CONN_PENDING)
		cn->state = CONN_IDLE;
	pthread_mutex_unlock(&cn->lock);
	if (state == CONN_ANSWERED) {
		caller_encode_answer(&rq->call, &fx->effect_u.answer.answer,
				     &r);
		effect_free(fx);
		intake_reply(cn->held, r.body.bstr_len, clock_now());
		return caller_reply_send(mhd, rq, &r, NULL, false);
	}
	if (state == CONN_TIMED_OUT || state == CONN_STOPPED)
		return caller_reply_unavailable(edge, mhd, rq, state);
	return MHD_NO;
}

/*
 * Collects a header field or query argument. A field in excess of the maximum
 * is counted, but not stored, and ends the iteration.
 */
static enum MHD_Result field_collect(void *cls, enum MHD_ValueKind kind,
				     const char *name, size_t name_len,
				     const char *value, size_t value_len)
{
	struct caller_head *h = cls;
	bool header = kind == MHD_HEADER_KIND;
	size_t *n = header ? &h->header_count : &h->query_count;
	struct caller_field *f = header ? h->headers : h->queries;

	if (*n < CALLER_FIELDS_MAX)
		f[*n] = (struct caller_field){bstr_ref(name, name_len),
					      bstr_ref(value, value_len)};
	++*n;
	return *n > CALLER_FIELDS_MAX ? MHD_NO : MHD_YES;
}

/* Returns true if the client waits for a 100 response before the body. */
static bool client_expects_continue(struct MHD_Connection *mhd)
{
	const char *s = MHD_lookup_connection_value(mhd, MHD_HEADER_KIND,
						    "Expect");

	return s && !strcasecmp(s, "100-continue");
}

/*
 * Handles the head of a request. A refusal is normally sent only after the body
 * was read and discarded: if a socket is closed with unread data, the
 * connection is reset and the client may never see the refusal. It is sent at
 * once if the client waits before it sends the body, if the body is longer than
 * CALLER_DISCARD_MAX, or if the header leaves the end of the body unclear
 * (400).
 */
static enum MHD_Result request_handle_head(struct edge_caller *edge,
					   struct MHD_Connection *mhd,
					   struct conn *cn, const char *path,
					   const char *method, void **con_cls)
{
	struct request *rq = xcalloc(1, sizeof(*rq));
	struct caller_head h;
	const char *length;

	*con_cls = rq;
	pthread_mutex_lock(&edge->lock);
	edge->active_requests++;
	pthread_mutex_unlock(&edge->lock);
	h.method = bstr_lit(method);
	h.path = bstr_lit(path);
	h.header_count = h.query_count = 0;
	MHD_get_connection_values_n(mhd, MHD_HEADER_KIND, field_collect, &h);
	MHD_get_connection_values_n(mhd, MHD_GET_ARGUMENT_KIND, field_collect,
				    &h);
	if (!caller_decode_head(&h, &edge->limits, &rq->call)) {
		length = MHD_lookup_connection_value(mhd, MHD_HEADER_KIND,
						     "Content-Length");
		if (rq->call.problem.http == 400 ||
		    client_expects_continue(mhd) ||
		    (length && strtoull(length, NULL, 10) > CALLER_DISCARD_MAX))
			return caller_reply_problem(edge, mhd, rq, true);
	}
	if (!cn || cn->over_limit) {
		caller_refuse(&rq->call.problem, 503, "connections",
			      COUNT_REFUSED_CONNECTIONS,
			      "all connections are in use");
		rq->call.problem.retry_after_ms = 1000;
	}
	if (!cn)
		return caller_reply_problem(edge, mhd, rq, true);
	intake_begin(cn->held, clock_now());
	caller_conn_set_deadline(cn, edge->timing.io_timeout_ms);
	return MHD_YES;
}

/* Refuses a request for which the intake has no room. */
static void request_refuse_room(struct request *rq, enum intake_result result)
{
	struct caller_problem *p = &rq->call.problem;

	if (result == INTAKE_TOO_LARGE) {
		caller_refuse(p, 413, "body-too-large",
			      COUNT_REFUSED_BODY_TOO_LARGE,
			      "a body with so many values is not accepted");
		return;
	}
	caller_refuse(p, 503, "intake-full", COUNT_REFUSED_INTAKE,
		      "no memory for further requests; nothing was done");
	p->retry_after_ms = 1000;
}

/* Discards a part of a body, up to CALLER_DISCARD_MAX. */
static enum MHD_Result request_discard_body(struct edge_caller *edge,
					    struct request *rq, size_t len)
{
	rq->discarded += len;
	if (rq->discarded <= CALLER_DISCARD_MAX)
		return MHD_YES;
	caller_refusal_record(edge, &rq->call.problem);
	return MHD_NO;
}

/* Handles a part of the body. */
static enum MHD_Result request_append_body(struct edge_caller *edge,
					   struct conn *cn, struct request *rq,
					   const char *data, size_t len)
{
	enum intake_result result;

	if (!rq->call.problem.http &&
	    rq->body_len + len > edge->limits.max_body) {
		caller_refuse(&rq->call.problem, 413, "body-too-large",
			      COUNT_REFUSED_BODY_TOO_LARGE,
			      "a body has at most %u bytes",
			      edge->limits.max_body);
		intake_release(cn->held, rq->body_len);
	}
	if (rq->call.problem.http)
		return request_discard_body(edge, rq, len);
	result = intake_append(cn->held, data, len, clock_now());
	if (result == INTAKE_CUT)
		return MHD_NO;
	rq->body_len += len;
	if (result != INTAKE_OK)
		request_refuse_room(rq, result);
	return MHD_YES;
}

/*
 * Decodes the body of a request within the room that the intake has. The tree
 * of a body can be a hundred times its text, so what it takes is charged before
 * the body is parsed. Returns false if the request is refused.
 */
static bool request_decode_body(struct edge_caller *edge, struct conn *cn,
				struct request *rq, bstr body)
{
	size_t bytes = CALLER_CALL_BYTES + CALLER_BODY_COPIES * rq->body_len;
	enum intake_result result;
	bool ok;

	result = intake_charge(cn->held, bytes + json_tree_bytes(body),
			       clock_now());
	if (result != INTAKE_OK) {
		request_refuse_room(rq, result);
		return false;
	}
	ok = caller_decode_body(body, &edge->limits, &rq->call);
	intake_release(cn->held, body.bstr_len);
	intake_charge(cn->held, bytes, clock_now());
	return ok;
}

/* Handles a complete request. */
static enum MHD_Result request_handle_complete(struct edge_caller *edge,
					       struct MHD_Connection *mhd,
					       struct conn *cn,
					       struct request *rq)
{
	bool ok = false;
	bstr body;

	if (!intake_complete(cn->held, &body))
		return MHD_NO;
	if (!rq->call.problem.http)
		ok = request_decode_body(edge, cn, rq, body);
	pthread_mutex_lock(&cn->lock);
	cn->got_request = true;
	cn->deadline = clock_now() + edge->timing.io_timeout_ms;
	pthread_mutex_unlock(&cn->lock);
	if (!ok)
		return caller_reply_problem(edge, mhd, rq, cn->over_limit);
	if (rq->call.route >= ROUTE_HEALTH)
		return caller_reply_local(edge, mhd, rq);
	return call_submit(edge, mhd, cn, rq);
}

/*
 * Callback of MHD for a request: called for its head, for each part of its
 * body, for its end and again when its connection was resumed.
 */
enum MHD_Result edge_caller_handle(void *cls, struct MHD_Connection *mhd,
				   const char *path, const char *method,
				   const char *version, const char *data,
				   size_t *len, void **con_cls)
{
	struct edge_caller *edge = cls;
	struct request *rq = *con_cls;
	struct conn *cn = MHD_get_connection_info(
				  mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				  ->socket_context;
	enum MHD_Result ok;

	(void)version;
	if (!rq)
		return request_handle_head(edge, mhd, cn, path, method,
					   con_cls);
	if (*len) {
		ok = request_append_body(edge, cn, rq, data, *len);
		*len = 0;
		return ok;
	}
	return rq->submitted ? call_finish(edge, mhd, cn, rq)
			     : request_handle_complete(edge, mhd, cn, rq);
}

/*
 * Callback of MHD for the end of a request. If its call is still pending, MHD
 * has closed the connection by itself and nobody waits for the call any more.
 */
void edge_caller_completed(void *cls, struct MHD_Connection *mhd,
			   void **con_cls, enum MHD_RequestTerminationCode code)
{
	struct edge_caller *edge = cls;
	struct request *rq = *con_cls;
	struct conn *cn = MHD_get_connection_info(
				  mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				  ->socket_context;

	(void)code;
	if (!rq)
		return;
	if (cn) {
		pthread_mutex_lock(&cn->lock);
		if (cn->state == CONN_PENDING)
			caller_conn_notify_gone(edge, cn);
		cn->state = CONN_IDLE;
		effect_free(cn->answer);
		cn->answer = NULL;
		cn->deadline = clock_now() + edge->timing.io_timeout_ms;
		pthread_mutex_unlock(&cn->lock);
		intake_finish(cn->held, clock_now());
	}
	caller_call_free(&rq->call);
	free(rq);
	*con_cls = NULL;
	pthread_mutex_lock(&edge->lock);
	if (!--edge->active_requests)
		pthread_cond_signal(&edge->idle_cond);
	pthread_mutex_unlock(&edge->lock);
}
