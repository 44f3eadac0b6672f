/* Replies of the callers' HTTP server. */
#include "edge-caller.h"

#include <ck_pr.h>
#include <stdlib.h>

#define CALLER_LOGGED_MAX 10 /* refusals logged per second */

/*
 * Counts a refusal and logs it, up to CALLER_LOGGED_MAX per second, which is as
 * many as somebody would read. Refusals that are not the client's fault (5xx)
 * are only counted.
 */
void caller_refusal_record(struct edge_caller *edge,
			   const struct caller_problem *p)
{
	uint64_t now = (uint64_t)clock_now() / 1000 << 8, window;

	counter_add(p->counter, 1);
	if (p->http >= 500)
		return;
	window = ck_pr_load_64(&edge->log_window);
	if ((window & ~(uint64_t)0xff) != now)
		window = now;
	if ((window & 0xff) >= CALLER_LOGGED_MAX)
		return;
	ck_pr_store_64(&edge->log_window, window + 1);
	log_event(LOG_BAD_INPUT, "caller: %u %s: %s", p->http, p->reason,
		  p->detail);
}

/* Sends a reply. Takes ownership of its body and location. */
enum MHD_Result caller_reply_send(struct MHD_Connection *mhd,
				  const struct request *rq,
				  struct caller_reply *r, const char *allow,
				  bool close)
{
	struct MHD_Response *res;
	enum MHD_Result ok;
	char text[16], *s;

	res = MHD_create_response_from_buffer(
		r->body.bstr_len, r->body.bstr_val, MHD_RESPMEM_MUST_FREE);
	if (!res)
		abort();
	MHD_add_response_header(res, "Content-Type", r->type);
	MHD_add_response_header(res, "Cache-Control", "no-store");
	if (r->retry_after_s) {
		snprintf(text, sizeof(text), "%u", r->retry_after_s);
		MHD_add_response_header(res, "Retry-After", text);
	}
	if (r->http == 401)
		MHD_add_response_header(res, "WWW-Authenticate", "Bearer");
	if (allow)
		MHD_add_response_header(res, "Allow", allow);
	if (close)
		MHD_add_response_header(res, "Connection", "close");
	if (rq && rq->call.key.bstr_len) {
		s = bstr_cstr(rq->call.key);
		MHD_add_response_header(res, "Idempotency-Key", s);
		free(s);
	}
	if (r->location.bstr_len) {
		s = bstr_cstr(r->location);
		MHD_add_response_header(res, "Location", s);
		free(s);
	}
	ok = MHD_queue_response(mhd, r->http, res);
	MHD_destroy_response(res);
	bstr_free(&r->location);
	return ok;
}

/* Answers a refused request with its problem. */
enum MHD_Result caller_reply_problem(struct edge_caller *edge,
				     struct MHD_Connection *mhd,
				     struct request *rq, bool close)
{
	struct caller_problem *p = &rq->call.problem;
	struct caller_reply r;

	caller_refusal_record(edge, p);
	caller_encode_problem(&rq->call, p, &r);
	return caller_reply_send(mhd, rq, &r, p->allow, close);
}

/* Refuses a request because of a timeout, a shutdown or an overload. */
enum MHD_Result caller_reply_unavailable(struct edge_caller *edge,
					 struct MHD_Connection *mhd,
					 struct request *rq,
					 enum conn_state state)
{
	struct caller_problem *p = &rq->call.problem;

	p->retry_after_ms = 1000;
	p->outcome_unknown = rq->submitted;
	if (state == CONN_TIMED_OUT)
		caller_refuse(p, 504, "no-answer", COUNT_REFUSED_NO_ANSWER,
			      "no answer in time; what was asked for may "
			      "have been done");
	else if (state == CONN_STOPPED)
		caller_refuse(p, 503, "stopping", COUNT_REFUSED_STOPPING,
			      "this entry VM stops; %s",
			      rq->submitted
				      ? "what was asked for may have been done"
				      : "nothing was done");
	else
		caller_refuse(p, 503, "overload", COUNT_REFUSED_OVERLOAD,
			      "too many requests wait here; nothing was done");
	return caller_reply_problem(edge, mhd, rq, state == CONN_STOPPED);
}

/* Answers a health, readiness or metrics request, without the reducer. */
enum MHD_Result caller_reply_local(struct edge_caller *edge,
				   struct MHD_Connection *mhd,
				   struct request *rq)
{
	bool ready = ck_pr_load_int(&edge->ready) &&
		     !ck_pr_load_int(&edge->stopping);
	struct caller_reply r;
	bstr text;

	switch (rq->call.route) {
	case ROUTE_METRICS:
		text = counter_text();
		caller_encode_text(200, text, &r);
		bstr_free(&text);
		break;
	case ROUTE_READY:
		caller_encode_text(ready ? 200 : 503,
				   bstr_lit(ready ? "ready\n" : "not ready\n"),
				   &r);
		break;
	default:
		caller_encode_text(200, bstr_lit("alive\n"), &r);
	}
	return caller_reply_send(mhd, rq, &r, NULL, false);
}
