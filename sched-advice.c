/*
 * Placement tickets.  For jobs of some routes, only the platform's advice
 * service knows which workers may run a step, which doesn't change.  It is
 * asked about more and more workers of the pool, first those that could run a
 * task now, until enough tasks of the step are placed; what it has said of each
 * is kept.  Its tickets are sent with the starts while they are valid.
 */
#include "sched-place.h"

#include <stdlib.h>
#include <string.h>

/* The service takes no more workers in a request. */
#define ADVICE_WORKERS_MAX 100
/* Requests get no shorter than this when the service answers late. */
#define ADVICE_WORKERS_MIN 5
/*
 * The service handles one call of a VM at a time, and refuses calls when 32 are
 * waiting, counting those of all VMs.  So each VM has at most this many in
 * flight.
 */
#define ADVICE_CALLS_MAX 4
#define ADVICE_TIMEOUT_MS 4000
#define ADVICE_RETRY_MS 200
/*
 * A step whose latest answer was of no use lets other steps ask first.  Without
 * this pause a few steps for which hardly any worker is good would have all
 * requests in flight.
 */
#define ADVICE_TURN_MS 20
/*
 * A ticket is not used this shortly before it expires, as the start takes time
 * to reach the worker.
 */
#define TICKET_MARGIN_MS 100

/* Frees the advice for the steps of an occurrence. */
void advice_free(struct occurrence *o)
{
	struct advice *a;
	size_t i, k;

	for (i = 0; o->advice && i < o->job->body->step_count; i++) {
		a = &o->advice[i];
		for (k = 0; k < a->ticket_count; k++)
			bstr_free(&a->tickets[k].text);
		free(a->tickets);
		free(a->verdicts);
		free(a->asked);
	}
	free(o->advice);
	o->advice = NULL;
}

/* Returns true if the tasks of a job need tickets. */
bool advice_is_needed(const struct sched *s, struct job *j)
{
	const struct route *r = job_terms(s, j);

	return r && r->needs_ticket;
}

/* Returns the index of the first verdict on this worker or a later one. */
static size_t verdict_index(const struct advice *a, uint32_t worker)
{
	size_t low = 0, high = a->verdict_count, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (a->verdicts[mid].worker < worker)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/*
 * Returns what the service has said of a worker's known process, or NULL if it
 * was not asked.
 */
static struct verdict *verdict_find(const struct advice *a,
				    const struct worker *w)
{
	size_t i = verdict_index(a, w->serial);

	if (i == a->verdict_count || a->verdicts[i].worker != w->serial ||
	    a->verdicts[i].process != w->started_at)
		return NULL;
	return &a->verdicts[i];
}

/* Records that a worker is not good for a step, until a ticket is set. */
static struct verdict *verdict_set(struct advice *a, uint32_t worker,
				   int64_t process)
{
	size_t i = verdict_index(a, worker);

	if (i == a->verdict_count || a->verdicts[i].worker != worker) {
		a->verdicts = xrealloc(a->verdicts, a->verdict_count + 1,
				       sizeof(*a->verdicts));
		memmove(&a->verdicts[i + 1], &a->verdicts[i],
			(a->verdict_count - i) * sizeof(*a->verdicts));
		a->verdict_count++;
		a->verdicts[i] = (struct verdict){.worker = worker};
	}
	if (a->verdicts[i].process != process)
		a->verdicts[i].ticket = 0;
	a->verdicts[i].process = process;
	return &a->verdicts[i];
}

/* Sets the ticket of a verdict; the text is moved. */
static void verdict_set_ticket(struct advice *a, struct verdict *v, bstr *text,
			       int64_t valid_until)
{
	struct held_ticket *t;

	if (!v->ticket) {
		a->tickets = xrealloc(a->tickets, a->ticket_count + 1,
				      sizeof(*a->tickets));
		a->tickets[a->ticket_count++] = (struct held_ticket){0};
		v->ticket = (uint32_t)a->ticket_count;
	}
	t = &a->tickets[v->ticket - 1];
	bstr_free(&t->text);
	t->text = *text;
	*text = BSTR_NONE;
	t->valid_until = valid_until;
}

/* Returns the ticket for a worker, or NULL if there is no valid one. */
static const struct held_ticket *ticket_find(const struct sched *s,
					     const struct advice *a,
					     const struct worker *w)
{
	const struct verdict *v = verdict_find(a, w);
	const struct held_ticket *t;

	if (!v || !v->ticket)
		return NULL;
	t = &a->tickets[v->ticket - 1];
	return s->now < t->valid_until - TICKET_MARGIN_MS ? t : NULL;
}

/*
 * Returns the ticket for starting a step on a worker, or an empty string if
 * there is no valid one.
 */
bstr advice_ticket(const struct sched *s, const struct occurrence *o,
		   unsigned step_index, const struct worker *w)
{
	const struct advice *a = o->advice ? &o->advice[step_index] : NULL;
	const struct held_ticket *t = a ? ticket_find(s, a, w) : NULL;

	return t ? t->text : BSTR_NONE;
}

/* Has the ticket requested again that a worker has refused. */
void advice_ticket_refused(const struct task *t, const struct worker *w)
{
	struct advice *a = t->occ->advice ? &t->occ->advice[t->step] : NULL;
	const struct verdict *v = a ? verdict_find(a, w) : NULL;

	if (v && v->ticket)
		a->tickets[v->ticket - 1].valid_until = 0;
}

/* Returns the first pending task of a step, or NULL. */
static const struct task *step_pending_task(const struct candidate *c)
{
	const struct task *t = &c->occ->tasks[c->occ->first_task[c->step]];
	unsigned i;

	for (i = 0; i < c->job->body->steps[c->step].count; i++)
		if (t[i].phase == PHASE_PENDING)
			return &t[i];
	return NULL;
}

/* Returns true if a worker could run a task now, but for a ticket. */
static bool worker_could_run(struct sched *s, const struct worker *w,
			     const struct task *t)
{
	return resources_fit(step_need(task_step(t)), worker_free_room(w)) &&
	       worker_suits_without_ticket(s, w, t);
}

/* Returns true if a worker that could run a task now has a valid ticket. */
bool advice_ready(struct sched *s, const struct candidate *c)
{
	const struct task *t = step_pending_task(c);
	const struct advice *a;
	size_t i;

	if (!t || !c->occ->advice)
		return false;
	a = &c->occ->advice[c->step];
	if (!a->ticket_count)
		return false;
	for (i = 0; i < c->pool->count; i++)
		if (ticket_find(s, a, c->pool->workers[i]) &&
		    worker_could_run(s, c->pool->workers[i], t))
			return true;
	return false;
}

/* The workers that a request names. */
struct advice_batch {
	struct worker *workers[ADVICE_WORKERS_MAX];
	size_t count;
	size_t most;
};

/*
 * Adds workers of a pool that could run a task now: those that are known to be
 * good and whose tickets have expired, or those that were not asked about.
 */
static void batch_add_able(struct sched *s, struct advice_batch *b,
			   const struct candidate *c, const struct task *t,
			   bool known)
{
	const struct advice *a = &c->occ->advice[c->step];
	const struct verdict *v;
	struct worker *w;
	size_t i;

	for (i = 0; i < c->pool->count && b->count < b->most; i++) {
		w = c->pool->workers[i];
		v = verdict_find(a, w);
		if (known ? !v || !v->ticket || ticket_find(s, a, w) : !!v)
			continue;
		if (worker_could_run(s, w, t))
			b->workers[b->count++] = w;
	}
}

/* Adds workers of a pool that were not asked about, whatever they run. */
static void batch_add_others(struct advice_batch *b, const struct candidate *c)
{
	const struct advice *a = &c->occ->advice[c->step];
	size_t i;

	for (i = 0; i < c->pool->count && b->count < b->most; i++)
		if (!verdict_find(a, c->pool->workers[i]))
			b->workers[b->count++] = c->pool->workers[i];
}

/* Requests tickets for a step on the workers of a batch. */
static void advice_request(struct sched *s, struct occurrence *o,
			   unsigned step_index, const struct advice_batch *b)
{
	struct advice *a = &o->advice[step_index];
	struct request *rq;
	struct ask *ask;
	size_t i;

	rq = sched_ask(s, FOR_ADVICE, ASK_ADVICE, s->now + ADVICE_TIMEOUT_MS,
		       &ask);
	snprintf(rq->job, sizeof(rq->job), "%s", o->job->id);
	rq->occurrence = o->number;
	rq->task = step_index;
	ask->order.step = bstr_printf("%s.%u.%u", o->job->id, o->number,
				      step_index);
	ask->order.workers = xcalloc(b->count, sizeof(bstr));
	free(a->asked);
	a->asked = xcalloc(b->count, sizeof(*a->asked));
	a->asked_count = b->count;
	for (i = 0; i < b->count; i++) {
		ask->order.workers[ask->order.worker_count++] = bstr_copy(
			b->workers[i]->id);
		a->asked[i] = (struct verdict){
			.worker = b->workers[i]->serial,
			.process = b->workers[i]->started_at};
	}
	a->in_flight = true;
	a->calls++;
	s->advice_calls_in_flight++;
}

/* Logs, once for each step, that no worker of its pool is good. */
static void advice_log_none(struct sched *s, const struct candidate *c)
{
	struct advice *a = &c->occ->advice[c->step];

	if (a->none_logged)
		return;
	a->none_logged = true;
	sched_log(s, LOG_ADVICE_NONE, "step=%s.%u.%u workers=%zu calls=%u",
		  c->job->id, c->occ->number, c->step, a->verdict_count,
		  a->calls);
}

/*
 * Requests tickets for a step that has pending tasks, on workers that the
 * service was not asked about yet.  Returns what the step waits for.
 */
enum pending_reason advice_seek(struct sched *s, const struct candidate *c)
{
	struct advice_batch b = {.most = s->advice_workers_max};
	const struct task *t = step_pending_task(c);
	struct advice *a;

	if (!t)
		return PENDING_NONE;
	if (!c->occ->advice)
		c->occ->advice = xcalloc(c->job->body->step_count,
					 sizeof(*c->occ->advice));
	a = &c->occ->advice[c->step];
	if (s->now < a->retry_at)
		return a->reason;
	a->reason = PENDING_TICKET;
	if (a->in_flight || s->advice_calls_in_flight >= ADVICE_CALLS_MAX)
		return a->reason;
	if (!a->calls && b.most > ADVICE_WORKERS_FIRST)
		b.most = ADVICE_WORKERS_FIRST;
	batch_add_able(s, &b, c, t, true);
	batch_add_able(s, &b, c, t, false);
	if (!b.count)
		batch_add_others(&b, c);
	if (b.count) {
		advice_request(s, c->occ, c->step, &b);
		return a->reason;
	}
	/* The whole pool was searched, which takes time. */
	a->retry_at = s->now + ADVICE_RETRY_MS;
	a->reason = PENDING_CONSTRAINTS;
	if (!a->ticket_count) {
		a->reason = PENDING_NOT_ADVISED;
		if (c->pool->count)
			advice_log_none(s, c);
	}
	return a->reason;
}

/*
 * Returns the advice of the step that an answer is for, or NULL if the step
 * does not exist any more.
 */
static struct advice *advice_find(struct sched *s, const struct request *rq)
{
	struct job *j = sched_job_find(s, rq->job);
	struct occurrence *o;

	if (!j)
		return NULL;
	TAILQ_FOREACH(o, &j->occs, entry)
		if (o->number == rq->occurrence && o->advice)
			return &o->advice[rq->task];
	return NULL;
}

/*
 * Adapts the size of requests to how the service answers: requests that take
 * too long are all in vain.
 */
static void advice_adapt(struct sched *s, bool answered)
{
	unsigned n = s->advice_workers_max;

	n = answered ? n * 2 : n / 2;
	if (n > ADVICE_WORKERS_MAX)
		n = ADVICE_WORKERS_MAX;
	s->advice_workers_max = n < ADVICE_WORKERS_MIN ? ADVICE_WORKERS_MIN : n;
}

/*
 * Records the verdicts in an answer on the workers that were asked about.  One
 * that had a ticket and gets none is not asked about again.
 */
static void verdicts_read(struct sched *s, struct advice *a, struct answer *ans)
{
	struct verdict *v;
	struct worker *w;
	size_t i;

	for (i = 0; i < a->asked_count; i++)
		verdict_set(a, a->asked[i].worker, a->asked[i].process);
	for (i = 0; i < ans->ticket_count; i++) {
		w = worker_find(s, ans->tickets[i].worker);
		v = w ? verdict_find(a, w) : NULL;
		if (!v || !ans->tickets[i].text.bstr_len)
			continue;
		/*
		 * The validity counts from the time at which the service
		 * answered, so this time is too late by the transit time of the
		 * answer.
		 */
		verdict_set_ticket(a, v, &ans->tickets[i].text,
				   s->now + ans->valid_ms);
		a->none_logged = false;
	}
	for (i = 0; i < a->asked_count; i++) {
		v = &a->verdicts[verdict_index(a, a->asked[i].worker)];
		if (v->ticket &&
		    a->tickets[v->ticket - 1].valid_until <= s->now)
			v->ticket = 0;
	}
}

/* Handles an answer of the advice service. */
void advice_answer(struct sched *s, struct request *rq, struct answer *ans)
{
	struct advice *a;

	if (rq->epoch != s->own.epoch)
		return;
	if (s->advice_calls_in_flight)
		s->advice_calls_in_flight--;
	a = advice_find(s, rq);
	s->place_due = true;
	if (!a)
		return;
	a->in_flight = false;
	if (ans->outcome != OUT_DONE) {
		a->retry_at = s->now + ADVICE_RETRY_MS;
		advice_adapt(s, ans->outcome != OUT_UNKNOWN);
		sched_log(s, LOG_ADVICE, "step=%s.%u.%u outcome=%d", rq->job,
			  rq->occurrence, rq->task, ans->outcome);
		return;
	}
	advice_adapt(s, true);
	verdicts_read(s, a, ans);
	a->retry_at = s->now + ADVICE_TURN_MS;
	sched_log(s, LOG_ADVICE,
		  "step=%s.%u.%u asked=%zu good=%zu known=%zu valid_ms=%lld",
		  rq->job, rq->occurrence, rq->task, a->asked_count,
		  ans->ticket_count, a->verdict_count,
		  (long long)ans->valid_ms);
}
