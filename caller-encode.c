/* Encodes the responses to callers. */
#include "caller.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {
	[JOB_QUEUED] = "queued",   [JOB_RUNNING] = "running",
	[JOB_DONE] = "done",	   [JOB_FAILED] = "failed",
	[JOB_NOT_RUN] = "not-run", [JOB_UNKNOWN] = "unknown",
};

/* Returns the name of a state; an invalid number is "unknown". */
static const char *state_name(job_state state)
{
	return (unsigned)state < NELEMS(state_names) ? state_names[state]
						     : "unknown";
}

static void member_set(json_t *j, const char *name, bstr text)
{
	json_object_set_new(j, name, bstr_to_json(text));
}

/*
 * Returns a job's result as JSON: the value itself if it is valid JSON,
 * otherwise a string.
 */
static json_t *result_to_json(bstr result)
{
	json_t *j;

	if (!result.bstr_len)
		return json_null();
	j = json_loadb(result.bstr_val, result.bstr_len,
		       JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
	return j ? j : bstr_to_json(result);
}

/* Adds the members of a job that a caller may see to an object. */
static void job_add(json_t *j, const job_view *v)
{
	member_set(j, "job", v->job);
	member_set(j, "team", v->team);
	member_set(j, "pool", v->pool);
	member_set(j, "label", v->label);
	json_object_set_new(j, "state", json_string(state_name(v->state)));
	member_set(j, "reason", v->reason);
	member_set(j, "detail", v->detail);
	json_object_set_new(j, "result", result_to_json(v->result));
	member_set(j, "worker", v->worker);
	json_object_set_new(j, "attempts", json_integer(v->attempts));
	json_object_set_new(j, "queued_ms", json_integer(v->queued_ms));
	json_object_set_new(j, "ran_ms", json_integer(v->ran_ms));
	if (v->retry_after_ms)
		json_object_set_new(j, "retry_after_ms",
				    json_integer(v->retry_after_ms));
}

/* Returns the jobs of an answer as a JSON array. */
static json_t *jobs_to_json(const caller_answer *a)
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

/* Encodes a document as the body of a reply and frees the document. */
static void reply_set_json(struct caller_reply *r, json_t *j, const char *type)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (!text)
		abort(); /* a bug: bstr_to_json makes only valid strings */
	r->body.bstr_val = text;
	r->body.bstr_len = (u_int)strlen(text);
	r->type = type;
}

/*
 * Sets the members of a problem document in an object that may already contain
 * those of a job. reason and detail replace the job's; the job's are kept only
 * if the arguments are empty.
 */
static void problem_set(json_t *j, uint32_t http, bstr reason, bstr detail,
			uint32_t retry_after_ms)
{
	const char *job_reason = json_string_value(
		json_object_get(j, "reason"));

	if (!reason.bstr_len)
		reason = bstr_lit(job_reason && *job_reason ? job_reason
							    : "error");
	json_object_set_new(
		j, "type",
		json_sprintf("urn:bamboofront:problem:%.*s", BSTR_ARG(reason)));
	if (!json_object_get(j, "type"))
		json_object_set_new(j, "type", json_string("about:blank"));
	json_object_set_new(j, "title",
			    json_string(MHD_get_reason_phrase_for(http)));
	json_object_set_new(j, "status", json_integer(http));
	/* reason may point into the member that this call replaces. */
	json_object_set_new(j, "reason", bstr_to_json(reason));
	if (detail.bstr_len || !json_object_get(j, "detail"))
		member_set(j, "detail", detail);
	json_object_set_new(j, "retry_after_ms", json_integer(retry_after_ms));
}

/* Rounds up to the full seconds of a Retry-After header. */
static uint32_t retry_after_seconds(uint32_t ms)
{
	return ms / 1000 + (ms % 1000 != 0);
}

/* Encodes the reducer's answer to a call. */
void caller_encode_answer(const struct caller_call *c, const caller_answer *a,
			  struct caller_reply *r)
{
	bool list = c->route == ROUTE_CANCEL_LABEL;
	uint32_t retry_after_ms = a->retry_after_ms;
	json_t *j = json_object();

	memset(r, 0, sizeof(*r));
	if (!retry_after_ms && !list && a->jobs.jobs_len)
		retry_after_ms = a->jobs.jobs_val[0].retry_after_ms;
	/* An invalid HTTP status is a bug and is reported as 500. */
	r->http = a->http >= 200 && a->http <= 599 ? a->http : 500;
	r->retry_after_s = retry_after_seconds(retry_after_ms);
	if (list)
		json_object_set_new(j, "jobs", jobs_to_json(a));
	else if (a->jobs.jobs_len)
		job_add(j, &a->jobs.jobs_val[0]);
	if (c->route == ROUTE_SUBMIT)
		member_set(j, "idempotency_key", c->key);
	if (r->http >= 400) {
		problem_set(j, r->http, a->reason, a->detail, retry_after_ms);
		reply_set_json(r, j, "application/problem+json");
		return;
	}
	if (c->route == ROUTE_SUBMIT && a->jobs.jobs_len)
		r->location = bstr_printf("/v1/jobs/%.*s",
					  BSTR_ARG(a->jobs.jobs_val[0].job));
	reply_set_json(r, j, "application/json");
}

/* Encodes the problem of a request that the edge itself refused. */
void caller_encode_problem(const struct caller_call *c,
			   const struct caller_problem *p,
			   struct caller_reply *r)
{
	json_t *j = json_object(), *list, *e;
	const struct finding *f;
	bool pointer;

	memset(r, 0, sizeof(*r));
	r->http = p->http;
	r->retry_after_s = retry_after_seconds(p->retry_after_ms);
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
	reply_set_json(r, j, "application/problem+json");
}

/* Encodes a plain text. */
void caller_encode_text(uint32_t http, bstr text, struct caller_reply *r)
{
	memset(r, 0, sizeof(*r));
	r->http = http;
	r->type = "text/plain; version=0.0.4; charset=utf-8";
	r->body = bstr_copy(text);
}
