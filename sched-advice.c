/*
 * Advice on placement: for some queues only a service of the platform knows
 * which workers may run a step.  It is asked once a step, and its tickets go
 * with the starts while they are valid.
 */
#include "sched-state.h"

#include <stdlib.h>

/* The service takes time for each worker named, so it is asked about these
 * many; a step finds room on fewer. */
#define ADVICE_WORKERS 30
/* It deals with one call of a VM at a time and turns further ones away when
 * 32 wait, from all VMs: so few of this one are under way. */
#define ADVICE_CALLS 4
#define ADVICE_TIMEOUT_MS 4000
#define ADVICE_AGAIN_MS 200
/* A ticket is not used in its last moments: the start takes its way. */
#define TICKET_MARGIN_MS 100

/* Free an occurrence's advice. */
void advice_free(struct occurrence *o)
{
	struct advice *a;
	size_t i, k;

	for (i = 0; o->advice && i < o->job->body->step_count; i++) {
		a = &o->advice[i];
		for (k = 0; k < a->count; k++) {
			bstr_free(&a->tickets[k].worker);
			bstr_free(&a->tickets[k].text);
		}
		free(a->tickets);
	}
	free(o->advice);
	o->advice = NULL;
}

/* Does a job's queue need advice? */
bool advice_is_needed(const struct sched *s, struct job *j)
{
	const struct route *r = job_route(s, j);

	return r && r->needs_ticket;
}

/* The ticket of a step for a worker; empty: there is none that holds. */
bstr advice_ticket(const struct sched *s, const struct occurrence *o,
		   unsigned at, const struct worker *w)
{
	const struct advice *a = o->advice ? &o->advice[at] : NULL;
	size_t i;

	if (!a || s->now >= a->valid_until - TICKET_MARGIN_MS)
		return BSTR_NONE;
	for (i = 0; i < a->count; i++)
		if (bstr_eq(a->tickets[i].worker, w->id))
			return a->tickets[i].text;
	return BSTR_NONE;
}

/* Ask about a step, naming the workers that it might go to. */
static void advice_send(struct sched *s, struct occurrence *o, unsigned at,
			struct worker **workers, size_t count)
{
	struct request *rq;
	struct ask *ask;
	size_t i;

	rq = sched_ask(s, FOR_ADVICE, ASK_ADVICE, s->now + ADVICE_TIMEOUT_MS,
		       &ask);
	snprintf(rq->job, sizeof(rq->job), "%s", o->job->id);
	rq->occurrence = o->number;
	rq->task = at;
	ask->order.step = bstr_printf("%s.%u.%u", o->job->id, o->number, at);
	if (count > ADVICE_WORKERS)
		count = ADVICE_WORKERS;
	ask->order.workers = xcalloc(count, sizeof(bstr));
	for (i = 0; i < count; i++)
		ask->order.workers[ask->order.worker_count++] = bstr_copy(
			workers[i]->id);
	o->advice[at].in_flight = true;
	s->advice_calls_in_flight++;
}

/* Are there tickets for a step that hold?  If not they are asked for. */
bool advice_ready(struct sched *s, struct occurrence *o, unsigned at,
		  struct worker **workers, size_t count)
{
	struct advice *a;

	if (!o->advice)
		o->advice = xcalloc(o->job->body->step_count,
				    sizeof(*o->advice));
	a = &o->advice[at];
	if (a->count && s->now < a->valid_until - TICKET_MARGIN_MS)
		return true;
	if (!a->in_flight && s->now >= a->retry_at && count &&
	    s->advice_calls_in_flight < ADVICE_CALLS)
		advice_send(s, o, at, workers, count);
	return false;
}

/* The step that an answer is about; NULL: it is not there any more. */
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

/* Advice has come. */
void advice_answer(struct sched *s, struct request *rq, struct answer *ans)
{
	struct advice *a = advice_find(s, rq);
	size_t i;

	if (s->advice_calls_in_flight)
		s->advice_calls_in_flight--;
	if (!a || rq->epoch != s->own.epoch)
		return;
	a->in_flight = false;
	s->place_due = true;
	if (ans->outcome != OUT_DONE) {
		a->retry_at = s->now + ADVICE_AGAIN_MS;
		sched_log(s, LOG_ADVICE, "step=%s.%u.%u outcome=%d", rq->job,
			  rq->occurrence, rq->task, ans->outcome);
		return;
	}
	for (i = 0; i < a->count; i++) {
		bstr_free(&a->tickets[i].worker);
		bstr_free(&a->tickets[i].text);
	}
	free(a->tickets);
	a->tickets = ans->tickets;
	a->count = ans->ticket_count;
	ans->tickets = NULL;
	ans->ticket_count = 0;
	/* Validity counts from the answer; what is on its way is older. */
	a->valid_until = s->now + ans->valid_ms;
	a->retry_at = s->now + ADVICE_AGAIN_MS;
	sched_log(s, LOG_ADVICE, "step=%s.%u.%u good=%zu valid_ms=%lld",
		  rq->job, rq->occurrence, rq->task, a->count,
		  (long long)ans->valid_ms);
}
