/*
 * Callers' requests: every entry VM admits jobs and answers for them by the
 * store alone, whoever owns the scheduling.
 */
#include "sched-state.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* The rows of a cancel end so. */
#define CANCEL_SUFFIX "/cancel"
/* Bytes; the platform's own bound of what a job hands to its workers. */
#define PAYLOAD_MAX 4000

/* Reply to a caller, and log the decision. */
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

/* Refuse, and count why. */
void call_refuse(struct sched *s, uint64_t id, int status,
		 enum counter_id reason, const char *text, const char *job)
{
	sched_count(s, reason, 1);
	reply(s, id, status, text, job);
}

/* Is it a job's id: 16 hexadecimal digits? */
static bool job_id_read(bstr text, char id[JOB_ID_BYTES + 1])
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

/* Remember a call that waits for the store. */
static struct call *call_new(struct sched *s, const struct call_in *in,
			     const char *job, const struct tenant *t, bool open)
{
	struct call *c = xcalloc(1, sizeof(*c));

	c->id = in->id;
	memcpy(c->job, job, sizeof(c->job));
	c->tenant = t ? bstr_copy(t->name) : BSTR_NONE;
	c->no_key = open;
	c->deadline = in->deadline - REPLY_MARGIN_MS;
	c->came_at = s->now;
	HASH_ADD(hh, s->calls, id, sizeof(c->id), c);
	return c;
}

/* Forget a call. */
void call_free(struct sched *s, struct call *c)
{
	HASH_DEL(s->calls, c);
	bstr_free(&c->tenant);
	bstr_free(&c->row);
	free(c);
}

/* When a try of a call's exchange with the store ends. */
static int64_t call_try_until(const struct sched *s, const struct call *c)
{
	int64_t at = s->now + STORE_TIMEOUT_MS;

	return at < c->deadline ? at : c->deadline;
}

/*
 * Store a job under the condition that there is none of its id.  Sending the
 * same again is safe: whichever copy comes first writes the rows, and all
 * others conflict with them, which is success too.
 */
static void submit_send(struct sched *s, struct call *c)
{
	struct request *rq;
	struct tx *t = sched_tx(s, FOR_SUBMIT, call_try_until(s, c), &rq);
	bstr key = bstr_lit(c->job);

	rq->call = c->id;
	tx_expect(t, TABLE_JOBS, key, 0);
	tx_write(t, TABLE_JOBS, key, bstr_copy(c->row));
}

/* Write the row of a new job. */
static void submit_row(struct sched *s, struct call *c, struct call_in *in,
		       const struct route *r)
{
	struct job j = {.submitted = s->wall,
			.tenant = c->tenant,
			.route = r->name,
			.service = r->service,
			.body = in->body,
			.status = JOB_STATUS_QUEUED};

	TAILQ_INIT(&j.occs);
	c->row = job_row_write(&j);
}

/*
 * Read a job's progress for a caller, or the job itself, which has no
 * progress before its owner has seen it.
 */
static void state_send(struct sched *s, struct call *c, enum purpose purpose)
{
	bool job = purpose == FOR_STATE_JOB || purpose == FOR_CANCEL_READ_JOB ||
		   purpose == FOR_SUBMIT_READ;
	bstr key = bstr_lit(c->job);
	struct ask *ask;
	struct request *rq = sched_ask(s, purpose, ASK_GET,
				       call_try_until(s, c), &ask);

	rq->call = c->id;
	ask->range.table = job ? TABLE_JOBS : TABLE_PROGRESS;
	ask->range.part = row_part(ask->range.table, key);
	ask->range.from = bstr_copy(key);
	ask->range.limit = 1;
	sched_count(s, COUNT_TABLE_READS, 1);
}

/* Is a job within the bounds of the callers' interface? */
static bool body_is_sane(const struct job_body *b, const char **why)
{
	*why = "spec-invalid";
	if (b->repeat_count && b->interval_ms < 0)
		return false;
	return b->payload.bstr_len <= PAYLOAD_MAX;
}

/* Take a job. */
static void submit_take(struct sched *s, struct call_in *in, const char *id,
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
	if (!body_is_sane(in->body, &why)) {
		call_refuse(s, in->id, 400, COUNT_REFUSED_SPEC, why, id);
		return;
	}
	c = call_new(s, in, id, t, r->no_key);
	submit_row(s, c, in, r);
	c->retry_after_s = admission_refuses(s, r, in->body, id);
	if (c->retry_after_s)
		state_send(s, c, FOR_SUBMIT_READ);
	else
		submit_send(s, c);
}

/* Take a request for one job. */
static void job_call_take(struct sched *s, struct call_in *in, const char *id,
			  const struct route *r, const struct tenant *t)
{
	/*
	 * What can't be served is refused at once: the store has failed
	 * before, so nothing of this request has been sent to it.
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
		submit_take(s, in, id, r, t);
	else
		state_send(s, call_new(s, in, id, t, r->no_key),
			   in->verb == VERB_STATE ? FOR_STATE
						  : FOR_CANCEL_READ);
}

/* Take a caller's request. */
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
		if (job_id_read(rest, id))
			id[JOB_ID_BYTES] = '\0';
		call_refuse(s, in->id, 401, COUNT_REFUSED_KEY, "key", id);
		return;
	}
	if (!rest.bstr_len && in->verb == VERB_STATE) {
		count_receive(s, in, r);
		return;
	}
	if (!job_id_read(rest, id)) {
		call_refuse(s, in->id, 404, COUNT_REFUSED_JOB, "no-such-path",
			    "-");
		return;
	}
	if (in->verb == VERB_OTHER) {
		call_refuse(s, in->id, 405, COUNT_REFUSED_SPEC, "method", id);
		return;
	}
	job_call_take(s, in, id, r, t);
}

/* The outcome of storing a job. */
static void submit_answer(struct sched *s, struct call *c, struct answer *a)
{
	switch (a->outcome) {
	case OUT_DONE:
		sched_count(s, COUNT_ACCEPTED, 1);
		sched_observe(s, HISTOGRAM_ACCEPT, s->now - c->came_at);
		reply(s, c->id, 200, "accepted", c->job);
		break;
	case OUT_CONFLICT:
		reply(s, c->id, 200, "accepted-before", c->job);
		break;
	case OUT_REFUSED:
	case OUT_COMPACTED:
		/* Nothing was done by this try, but by an earlier one? */
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

/* Find the job's row in an answer; NULL: there is none. */
static const struct row *state_row(const struct call *c, const struct answer *a)
{
	if (!a->row_count || !bstr_eq_str(a->rows[0].key, c->job))
		return NULL;
	return &a->rows[0];
}

/*
 * Its queue is full: was the job accepted before?  An earlier try of its caller
 * may have had no answer, and a refusal says that the job has not run and never
 * will.  When the store doesn't tell, the job is stored like any other.
 */
static void submit_read_answer(struct sched *s, struct call *c,
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
	sched_count(s, COUNT_REFUSED_QUEUE_FULL, 1);
	fx = reply(s, c->id, 503, "queue-full", c->job);
	fx->reply.retry_after_s = c->retry_after_s;
	call_free(s, c);
}

/* Write the row of a cancel. */
static void cancel_send(struct sched *s, struct call *c)
{
	struct request *rq;
	struct tx *t = sched_tx(s, FOR_CANCEL, call_try_until(s, c), &rq);
	bstr key = bstr_printf("%s" CANCEL_SUFFIX, c->job);

	rq->call = c->id;
	tx_write(t, TABLE_JOBS, key, bstr_new("{}"));
	bstr_free(&key);
}

/* Tell a caller a job's state, or cancel the job if it is not final. */
static void state_reply(struct sched *s, struct call *c, enum job_status fate,
			bool cancel)
{
	struct sched_effect *fx;

	if (cancel && fate <= JOB_STATUS_RUNNING) {
		cancel_send(s, c);
		return;
	}
	if (cancel) {
		reply(s, c->id, 200, job_status_name(fate), c->job);
	} else {
		fx = sched_effect_add(s, EFFECT_REPLY);
		fx->reply = (struct reply){.call = c->id,
					   .status = 200,
					   .kind = REPLY_STATE,
					   .text = job_status_name(fate)};
	}
	call_free(s, c);
}

/* What the store says of a job that a caller asks for or cancels. */
static void state_answer(struct sched *s, struct call *c, enum purpose purpose,
			 const struct answer *a)
{
	bool cancel = purpose == FOR_CANCEL_READ ||
		      purpose == FOR_CANCEL_READ_JOB;
	bool job = purpose == FOR_STATE_JOB || purpose == FOR_CANCEL_READ_JOB;
	const struct row *row = state_row(c, a);
	enum job_status fate = JOB_STATUS_QUEUED;
	bstr tenant = BSTR_NONE;
	int64_t ended;
	bool ok = true;

	if (!row && !job) {
		state_send(s, c, cancel ? FOR_CANCEL_READ_JOB : FOR_STATE_JOB);
		return;
	}
	if (row)
		ok = job ? job_row_tenant(row->value, &tenant)
			 : progress_peek(row->value, &tenant, &fate, &ended);
	if (!ok) {
		call_refuse(s, c->id, 500, COUNT_REFUSED_JOB, "row-unreadable",
			    c->job);
		call_free(s, c);
	} else if (!row || (!c->no_key && !bstr_eq(tenant, c->tenant))) {
		/* Other organisations' jobs are none of the caller's. */
		reply(s, c->id, 410, "no-such-job", c->job);
		call_free(s, c);
	} else {
		state_reply(s, c, fate, cancel);
	}
	bstr_free(&tenant);
}

/* Try an exchange of a call once more, or give up. */
static void call_again(struct sched *s, struct call *c, enum purpose purpose)
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
		state_send(s, c, purpose);
}

/* An answer of the store for a call. */
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
		submit_read_answer(s, c, a);
		return;
	}
	if (a->outcome != OUT_DONE) {
		call_again(s, c, rq->purpose);
		return;
	}
	if (rq->purpose == FOR_CANCEL) {
		reply(s, c->id, 200, "cancelled", c->job);
		call_free(s, c);
		return;
	}
	state_answer(s, c, rq->purpose, a);
}

/* Give up what has no time left; its exchange ends by then as well. */
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
