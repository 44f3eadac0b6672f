/*
 * Requests of callers.  Every entry VM accepts jobs and answers requests from
 * the store alone, whichever VM owns the scheduling.
 */
#include "sched-state.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/*
 * In bytes; the platform's limit for the payload that a job passes to its
 * workers.
 */
#define PAYLOAD_MAX 4000

/*
 * Sends a reply to a caller and logs it.  Returns the effect, so that the
 * caller of this function can change details.
 */
static struct sched_effect *reply(struct sched *s, uint64_t id, int status,
				  const char *text, const char *job)
{
	struct sched_effect *fx = sched_effect_add(s, EFFECT_REPLY);

	fx->reply = (struct reply){.call = id,
				   .status = status,
				   .kind = status < 300 ? REPLY_EMPTY
							: REPLY_ERROR,
				   .text = text};
	if (status == 503 || status == 429)
		fx->reply.retry_after_s = RETRY_AFTER_S;
	sched_log(s, status < 300 ? LOG_CALL_DONE : LOG_CALL_REFUSED,
		  "job=%s status=%d reason=%s config=%llu store_age_ms=%lld",
		  job, status, text,
		  (unsigned long long)(s->config ? s->config->version : 0),
		  (long long)(s->now - s->store_ok_at));
	return fx;
}

/* Replies with an error and counts its reason. */
void call_refuse(struct sched *s, uint64_t id, int status,
		 enum counter_id reason, const char *text, const char *job)
{
	sched_count(s, reason, 1);
	reply(s, id, status, text, job);
}

/*
 * Copies a job id if text is one, 16 hexadecimal digits; returns false if not.
 */
static bool job_id_parse(bstr text, char id[JOB_ID_BYTES + 1])
{
	u_int i;

	if (text.bstr_len != JOB_ID_BYTES)
		return false;
	for (i = 0; i < JOB_ID_BYTES; i++)
		if (!isxdigit((unsigned char)text.bstr_val[i]))
			return false;
	memcpy(id, text.bstr_val, JOB_ID_BYTES);
	id[JOB_ID_BYTES] = '\0';
	return true;
}

/* Creates a call that waits for the store. */
static struct call *call_new(struct sched *s, const struct call_in *in,
			     const char *job, const struct tenant *t,
			     bool no_key)
{
	struct call *c = xcalloc(1, sizeof(*c));

	c->id = in->id;
	memcpy(c->job, job, sizeof(c->job));
	c->tenant = t ? bstr_copy(t->name) : BSTR_NONE;
	c->no_key = no_key;
	c->deadline = in->deadline - REPLY_MARGIN_MS;
	c->received_at = s->now;
	HASH_ADD(hh, s->calls, id, sizeof(c->id), c);
	return c;
}

/* Frees a call and removes it from the waiting ones. */
void call_free(struct sched *s, struct call *c)
{
	HASH_DEL(s->calls, c);
	bstr_free(&c->tenant);
	bstr_free(&c->row);
	free(c);
}

/* Returns the deadline of the next store request of a call. */
static int64_t call_attempt_deadline(const struct sched *s,
				     const struct call *c)
{
	int64_t at = s->now + STORE_TIMEOUT_MS;

	return at < c->deadline ? at : c->deadline;
}

/*
 * Writes the row of a job on condition that the id is new.  Retries are safe:
 * the first request to arrive writes the row, and the others fail with a
 * conflict, which is a success for the caller too.
 */
static void submit_send(struct sched *s, struct call *c)
{
	struct request *rq;
	struct tx *t = sched_tx(s, FOR_SUBMIT, call_attempt_deadline(s, c),
				&rq);
	bstr key = bstr_lit(c->job);

	rq->call = c->id;
	tx_expect(t, TABLE_JOBS, key, 0);
	tx_write(t, TABLE_JOBS, key, bstr_copy(c->row));
}

/* Encodes the row of a new job. */
static void submit_make_row(struct sched *s, struct call *c, struct call_in *in,
			    const struct route *r)
{
	struct job j = {.submitted = s->wall,
			.submitted_by_store = store_clock(s),
			.tenant = c->tenant,
			.route = r->name,
			.service = r->service,
			.has_terms = true,
			.terms = *r,
			.body = in->body,
			.status = JOB_STATUS_QUEUED};

	TAILQ_INIT(&j.occs);
	c->row = job_row_write(&j);
}

/*
 * Reads the progress row of a job, or the row of the job itself: there is no
 * progress row until the owner has seen the job.
 */
static void call_read_row(struct sched *s, struct call *c, enum purpose purpose)
{
	bool from_jobs = purpose == FOR_STATE_JOB ||
			 purpose == FOR_CANCEL_READ_JOB ||
			 purpose == FOR_SUBMIT_READ;
	bstr key = bstr_lit(c->job);
	struct ask *ask;
	struct request *rq = sched_ask(s, purpose, ASK_GET,
				       call_attempt_deadline(s, c), &ask);

	rq->call = c->id;
	ask->range.table = from_jobs ? TABLE_JOBS : TABLE_PROGRESS;
	ask->range.part = row_part(ask->range.table, key);
	ask->range.from = bstr_copy(key);
	ask->range.limit = 1;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/*
 * Returns true if a job is within the limits of the callers' interface.
 * Otherwise *why is the error text.
 */
static bool body_is_valid(const struct job_body *b, const char **why)
{
	*why = "spec-invalid";
	if (b->repeat_count && b->interval_ms < 0)
		return false;
	return b->payload.bstr_len <= PAYLOAD_MAX;
}

/* Handles the submission of a job. */
static void submit_receive(struct sched *s, struct call_in *in, const char *id,
			   const struct route *r, const struct tenant *t)
{
	struct call *c;
	const char *why;

	if (!in->body) {
		call_refuse(s, in->id, 400, COUNT_REFUSED_SPEC,
			    in->body_error ? "spec-unreadable" : "spec-missing",
			    id);
		sched_log(s, LOG_BAD_INPUT, "job=%s error=\"%s\"", id,
			  in->body_error ? in->body_error : "");
		return;
	}
	if (!body_is_valid(in->body, &why)) {
		call_refuse(s, in->id, 400, COUNT_REFUSED_SPEC, why, id);
		return;
	}
	c = call_new(s, in, id, t, r->no_key);
	submit_make_row(s, c, in, r);
	if (c->row.bstr_len > tx_row_bytes(s)) {
		call_refuse(s, in->id, 400, COUNT_REFUSED_SPEC,
			    "job-description-too-long", id);
		call_free(s, c);
		return;
	}
	if (admission_refuses(s, c, r, in->body))
		call_read_row(s, c, FOR_SUBMIT_READ);
	else
		submit_send(s, c);
}

/* Handles a request for a given job. */
static void job_call_receive(struct sched *s, struct call_in *in,
			     const char *id, const struct route *r,
			     const struct tenant *t)
{
	/*
	 * If the store is known to be down, refuse at once.  Nothing of this
	 * request has been sent to it, so a 503 is correct.
	 */
	if (!sched_store_is_up(s)) {
		call_refuse(s, in->id, 503, COUNT_REFUSED_PLATFORM,
			    "store-unavailable", id);
		return;
	}
	if (in->deadline - REPLY_MARGIN_MS <= s->now) {
		call_refuse(s, in->id, 503, COUNT_REFUSED_DEADLINE, "no-time",
			    id);
		return;
	}
	if (in->verb == VERB_SUBMIT)
		submit_receive(s, in, id, r, t);
	else
		call_read_row(s, call_new(s, in, id, t, r->no_key),
			      in->verb == VERB_STATE ? FOR_STATE
						     : FOR_CANCEL_READ);
}

/* Handles a request of a caller. */
void call_receive(struct sched *s, struct call_in *in)
{
	const struct route *r;
	const struct tenant *t;
	char id[JOB_ID_BYTES + 1] = "-";
	bstr rest;

	if (!s->config) {
		call_refuse(s, in->id, 503, COUNT_REFUSED_NO_CONFIG,
			    "no-config", id);
		return;
	}
	r = route_find(s, in->host, in->path);
	if (!r) {
		call_refuse(s, in->id, 404, COUNT_REFUSED_POOL, "no-such-queue",
			    id);
		return;
	}
	rest = bstr_ref(in->path.bstr_val + r->prefix.bstr_len,
			in->path.bstr_len - r->prefix.bstr_len);
	t = tenant_of_key(s, in->key);
	if (!t && !r->no_key) {
		if (job_id_parse(rest, id))
			id[JOB_ID_BYTES] = '\0';
		call_refuse(s, in->id, 401, COUNT_REFUSED_KEY, "key", id);
		return;
	}
	if (!rest.bstr_len && in->verb == VERB_STATE) {
		count_receive(s, in, r);
		return;
	}
	if (!job_id_parse(rest, id)) {
		call_refuse(s, in->id, 404, COUNT_REFUSED_JOB, "no-such-path",
			    "-");
		return;
	}
	if (in->verb == VERB_OTHER) {
		call_refuse(s, in->id, 405, COUNT_REFUSED_SPEC, "method", id);
		return;
	}
	job_call_receive(s, in, id, r, t);
}

/* Handles the store's answer to the write of a new job. */
static void submit_answer(struct sched *s, struct call *c, struct answer *a)
{
	switch (a->outcome) {
	case OUT_DONE:
		sched_count(s, COUNT_ACCEPTED, 1);
		sched_observe(s, HISTOGRAM_ACCEPT, s->now - c->received_at);
		reply(s, c->id, 200, "accepted", c->job);
		break;
	case OUT_CONFLICT:
		reply(s, c->id, 200, "accepted-before", c->job);
		break;
	case OUT_REFUSED:
	case OUT_COMPACTED:
		/* This attempt did nothing, but an earlier one may have. */
		if (c->uncertain)
			break;
		call_refuse(s, c->id, 503, COUNT_REFUSED_PLATFORM,
			    "store-refused", c->job);
		call_free(s, c);
		return;
	case OUT_UNKNOWN:
		c->uncertain = true;
		break;
	}
	if (a->outcome == OUT_DONE || a->outcome == OUT_CONFLICT) {
		call_free(s, c);
		return;
	}
	if (s->now + STORE_RETRY_MS < c->deadline && !s->stop_by) {
		sched_count(s, COUNT_RETRY_PLATFORM_UNKNOWN, 1);
		submit_send(s, c);
		return;
	}
	call_refuse(s, c->id, 504, COUNT_REFUSED_DEADLINE, "store-unknown",
		    c->job);
	call_free(s, c);
}

/* Returns the job's row in an answer, or NULL if it has none. */
static const struct row *state_row(const struct call *c, const struct answer *a)
{
	if (!a->row_count || !bstr_eq_str(a->rows[0].key, c->job))
		return NULL;
	return &a->rows[0];
}

/*
 * Handles the answer to the check whether a job exists that is about to be
 * refused because the queue is full.  An earlier attempt of its caller may have
 * been accepted without the reply getting through, and a refusal promises that
 * the job never runs.  If the store can't tell, the job is stored as usual.
 */
static void submit_check_answer(struct sched *s, struct call *c,
				const struct answer *a)
{
	struct sched_effect *fx;

	if (a->outcome != OUT_DONE) {
		submit_send(s, c);
		return;
	}
	if (state_row(c, a)) {
		reply(s, c->id, 200, "accepted-before", c->job);
		call_free(s, c);
		return;
	}
	sched_count(s,
		    c->refused_by_share ? COUNT_REFUSED_SHARE
					: COUNT_REFUSED_QUEUE_FULL,
		    1);
	fx = reply(s, c->id, 503, "queue-full", c->job);
	fx->reply.retry_after_s = c->retry_after_s;
	call_free(s, c);
}

/* Writes the row of a cancellation. */
static void cancel_send(struct sched *s, struct call *c)
{
	struct request *rq;
	struct tx *t = sched_tx(s, FOR_CANCEL, call_attempt_deadline(s, c),
				&rq);
	bstr key = cancellation_key(c->job);

	rq->call = c->id;
	tx_write(t, TABLE_JOBS, key, bstr_new("{}"));
	bstr_free(&key);
}

/*
 * Replies with a job's state; if cancel is set, cancels the job unless it is
 * final.
 */
static void state_reply(struct sched *s, struct call *c, enum job_status status,
			bool cancel)
{
	struct sched_effect *fx;

	if (cancel && status <= JOB_STATUS_RUNNING) {
		cancel_send(s, c);
		return;
	}
	if (cancel) {
		reply(s, c->id, 200, job_status_name(status), c->job);
	} else {
		fx = sched_effect_add(s, EFFECT_REPLY);
		fx->reply = (struct reply){.call = c->id,
					   .status = 200,
					   .kind = REPLY_STATE,
					   .text = job_status_name(status)};
	}
	call_free(s, c);
}

/* Handles the answer to a read for a state request or a cancellation. */
static void state_answer(struct sched *s, struct call *c, enum purpose purpose,
			 const struct answer *a)
{
	bool cancel = purpose == FOR_CANCEL_READ ||
		      purpose == FOR_CANCEL_READ_JOB;
	bool from_jobs = purpose == FOR_STATE_JOB ||
			 purpose == FOR_CANCEL_READ_JOB;
	const struct row *row = state_row(c, a);
	enum job_status status = JOB_STATUS_QUEUED;
	bstr tenant = BSTR_NONE;
	int64_t ended_by_store;
	bool ok = true;

	if (!row && !from_jobs) {
		call_read_row(s, c,
			      cancel ? FOR_CANCEL_READ_JOB : FOR_STATE_JOB);
		return;
	}
	if (row)
		ok = from_jobs ? job_row_tenant(row->value, &tenant)
			       : progress_peek(row->value, &tenant, &status,
					       &ended_by_store);
	if (!ok) {
		call_refuse(s, c->id, 500, COUNT_REFUSED_JOB, "row-unreadable",
			    c->job);
		call_free(s, c);
	} else if (!row || (!c->no_key && !bstr_eq(tenant, c->tenant))) {
		/* Other organisations' jobs are reported as missing. */
		reply(s, c->id, 410, "no-such-job", c->job);
		call_free(s, c);
	} else {
		state_reply(s, c, status, cancel);
	}
	bstr_free(&tenant);
}

/*
 * Retries a store request of a call, or replies with an error if there is no
 * time left or the store is down.
 */
static void call_retry(struct sched *s, struct call *c, enum purpose purpose)
{
	if (s->now + STORE_RETRY_MS >= c->deadline || !sched_store_is_up(s)) {
		call_refuse(s, c->id, purpose == FOR_CANCEL ? 504 : 503,
			    COUNT_REFUSED_PLATFORM, "store-unavailable",
			    c->job);
		call_free(s, c);
		return;
	}
	sched_count(s, COUNT_RETRY_PLATFORM_UNKNOWN, 1);
	if (purpose == FOR_CANCEL)
		cancel_send(s, c);
	else
		call_read_row(s, c, purpose);
}

/* Handles the store's answer to a request of a call. */
void call_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct call *c;

	HASH_FIND(hh, s->calls, &rq->call, sizeof(rq->call), c);
	if (!c)
		return;
	if (rq->purpose == FOR_SUBMIT) {
		submit_answer(s, c, a);
		return;
	}
	if (rq->purpose == FOR_SUBMIT_READ) {
		submit_check_answer(s, c, a);
		return;
	}
	if (a->outcome != OUT_DONE) {
		call_retry(s, c, rq->purpose);
		return;
	}
	if (rq->purpose == FOR_CANCEL) {
		reply(s, c->id, 200, "cancelled", c->job);
		call_free(s, c);
		return;
	}
	state_answer(s, c, rq->purpose, a);
}

/*
 * Ends calls whose deadline has passed.  Their store requests have timed out by
 * then.
 */
void call_tick(struct sched *s)
{
	struct call *c, *next;

	HASH_ITER(hh, s->calls, c, next) {
		if (s->now < c->deadline + REPLY_MARGIN_MS)
			continue;
		call_refuse(s, c->id, 504, COUNT_REFUSED_DEADLINE, "deadline",
			    c->job);
		call_free(s, c);
	}
}
