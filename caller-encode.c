#include "caller.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {
	[JOB_QUEUED] = "queued",   [JOB_RUNNING] = "running",
	[JOB_DONE] = "done",	   [JOB_FAILED] = "failed",
	[JOB_NOT_RUN] = "not-run", [JOB_UNKNOWN] = "unknown",
};

/* Name a state; a number that is none is no better than unknown. */
static const char *state_name(job_state state)
{
	return (unsigned)state < NELEMS(state_names) ? state_names[state]
						     : "unknown";
}

/* Set a string member. */
static void member_set(json_t *j, const char *name, bstr text)
{
	json_object_set_new(j, name, bstr_to_json(text));
}

/* Embed a result: as JSON if it is JSON, else as a string. */
static json_t *result_json(bstr result)
{
	json_t *j;

	if (!result.bstr_len)
		return json_null();
	j = json_loadb(result.bstr_val, result.bstr_len,
		       JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	return j ? j : bstr_to_json(result);
}

/* Add to an object what a caller may know of a job. */
static void job_add(json_t *j, const job_view *v)
{
	member_set(j, "job", v->job);
	member_set(j, "team", v->team);
	member_set(j, "pool", v->pool);
	member_set(j, "label", v->label);
	json_object_set_new(j, "state", json_string(state_name(v->state)));
	member_set(j, "reason", v->reason);
	member_set(j, "detail", v->detail);
	json_object_set_new(j, "result", result_json(v->result));
	member_set(j, "worker", v->worker);
	json_object_set_new(j, "attempts", json_integer(v->attempts));
	json_object_set_new(j, "queued_ms", json_integer(v->queued_ms));
	json_object_set_new(j, "ran_ms", json_integer(v->ran_ms));
	if (v->retry_after_ms)
		json_object_set_new(j, "retry_after_ms",
				    json_integer(v->retry_after_ms));
}

/* Make a list of the jobs of an answer. */
static json_t *jobs_json(const caller_answer *a)
{
	json_t *list = json_array(), *j;
	u_int i;

	for (i = 0; i < a->jobs.jobs_len; i++) {
		j = json_object();
		job_add(j, &a->jobs.jobs_val[i]);
		json_array_append_new(list, j);
	}
	return list;
}

/* Write a document as the body; the document is used up. */
static void reply_json(struct caller_reply *r, json_t *j, const char *type)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (!text)
		abort(); /* every string came through bstr_to_json: a bug */
	r->body.bstr_val = text;
	r->body.bstr_len = (u_int)strlen(text);
	r->type = type;
}

/*
 * Set the members of a problem document over those of a job, if there are
 * any: reason and detail are the answer's then, and the job's only if the
 * answer has none.
 */
static void problem_set(json_t *j, uint32_t http, bstr reason, bstr detail,
			uint32_t retry_after_ms)
{
	const char *kept = json_string_value(json_object_get(j, "reason"));

	if (!reason.bstr_len)
		reason = bstr_lit(kept && *kept ? kept : "error");
	json_object_set_new(
		j, "type",
		json_sprintf("urn:bamboofront:problem:%.*s", BSTR_ARG(reason)));
	if (!json_object_get(j, "type"))
		json_object_set_new(j, "type", json_string("about:blank"));
	json_object_set_new(j, "title",
			    json_string(MHD_get_reason_phrase_for(http)));
	json_object_set_new(j, "status", json_integer(http));
	/* reason may be the text of the member that this replaces */
	json_object_set_new(j, "reason", bstr_to_json(reason));
	if (detail.bstr_len || !json_object_get(j, "detail"))
		member_set(j, "detail", detail);
	json_object_set_new(j, "retry_after_ms", json_integer(retry_after_ms));
}

/* Round up to the whole seconds that Retry-After takes. */
static uint32_t seconds_of(uint32_t ms)
{
	return ms / 1000 + (ms % 1000 != 0);
}

/* Encode the reducer's answer to a call. */
void caller_encode_answer(const struct caller_call *c, const caller_answer *a,
			  struct caller_reply *r)
{
	bool list = c->route == ROUTE_CANCEL_LABEL;
	uint32_t retry_after_ms = a->retry_after_ms;
	json_t *j = json_object();

	memset(r, 0, sizeof(*r));
	if (!retry_after_ms && !list && a->jobs.jobs_len)
		retry_after_ms = a->jobs.jobs_val[0].retry_after_ms;
	/* a status that HTTP has not is a fault of ours, and said so */
	r->http = a->http >= 200 && a->http <= 599 ? a->http : 500;
	r->retry_after_s = seconds_of(retry_after_ms);
	if (list)
		json_object_set_new(j, "jobs", jobs_json(a));
	else if (a->jobs.jobs_len)
		job_add(j, &a->jobs.jobs_val[0]);
	if (c->route == ROUTE_SUBMIT)
		member_set(j, "idempotency_key", c->key);
	if (r->http >= 400) {
		problem_set(j, r->http, a->reason, a->detail, retry_after_ms);
		reply_json(r, j, "application/problem+json");
		return;
	}
	if (c->route == ROUTE_SUBMIT && a->jobs.jobs_len)
		r->location = bstr_printf("/v1/jobs/%.*s",
					  BSTR_ARG(a->jobs.jobs_val[0].job));
	reply_json(r, j, "application/json");
}

/* Encode a refusal of the edge's own. */
void caller_encode_problem(const struct caller_call *c,
			   const struct caller_problem *p,
			   struct caller_reply *r)
{
	json_t *j = json_object(), *list, *e;
	const struct finding *f;
	bool pointer;

	memset(r, 0, sizeof(*r));
	r->http = p->http;
	r->retry_after_s = seconds_of(p->retry_after_ms);
	if (p->outcome_unknown)
		json_object_set_new(j, "state", json_string("unknown"));
	problem_set(j, p->http, bstr_lit(p->reason), bstr_lit(p->detail),
		    p->retry_after_ms);
	if (c && c->key.bstr_len)
		member_set(j, "idempotency_key", c->key);
	if (p->findings.count) {
		list = json_array();
		TAILQ_FOREACH(f, &p->findings.findings, entry) {
			pointer = !*f->location || *f->location == '/';
			e = json_object();
			member_set(e, pointer ? "pointer" : "field",
				   bstr_lit(f->location));
			member_set(e, "detail", bstr_lit(f->text));
			json_array_append_new(list, e);
		}
		json_object_set_new(j, "errors", list);
	}
	reply_json(r, j, "application/problem+json");
}

/* Encode plain text. */
void caller_encode_text(uint32_t http, bstr text, struct caller_reply *r)
{
	memset(r, 0, sizeof(*r));
	r->http = http;
	r->type = "text/plain; version=0.0.4; charset=utf-8";
	r->body = bstr_copy(text);
}
