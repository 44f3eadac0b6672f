/*
 * Placement tickets.  For jobs of some routes, only the platform's advice
 * service knows which workers may run a step.  It is asked once per step, and
 * its tickets are sent with the starts while they are valid.
 */
#include "sched-state.h"

#include <stdlib.h>

/*
 * The service takes time for each worker in a request.  Placing a step takes
 * fewer workers than this.
 */
#define ADVICE_WORKERS_MAX 30
/*
 * The service handles one call of a VM at a time, and refuses calls when 32 are
 * waiting, counting those of all VMs.  So each VM has at most this many in
 * flight.
 */
#define ADVICE_CALLS_MAX 4
#define ADVICE_TIMEOUT_MS 4000
#define ADVICE_RETRY_MS 200
/*
 * A ticket is not used this shortly before it expires, as the start takes time
 * to reach the worker.
 */
#define TICKET_MARGIN_MS 100

/* Frees the tickets of an occurrence. */
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

/* Returns true if the tasks of a job need tickets. */
bool advice_is_needed(const struct sched *s, struct job *j)
{
	const struct route *r = job_route(s, j);

	return r && r->needs_ticket;
}

/*
 * Returns the ticket for starting a step on a worker, or an empty string if
 * there is no valid one.
 */
bstr advice_ticket(const struct sched *s, const struct occurrence *o,
		   unsigned step_index, const struct worker *w)
{
	const struct advice *a = o->advice ? &o->advice[step_index] : NULL;
	size_t i;

	if (!a || s->now >= a->valid_until - TICKET_MARGIN_MS)
		return BSTR_NONE;
	for (i = 0; i < a->count; i++)
		if (bstr_eq(a->tickets[i].worker, w->id))
			return a->tickets[i].text;
	return BSTR_NONE;
}

/* Requests tickets for a step on the given workers. */
static void advice_request(struct sched *s, struct occurrence *o,
			   unsigned step_index, struct worker **workers,
			   size_t count)
{
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
	if (count > ADVICE_WORKERS_MAX)
		count = ADVICE_WORKERS_MAX;
	ask->order.workers = xcalloc(count, sizeof(bstr));
	for (i = 0; i < count; i++)
		ask->order.workers[ask->order.worker_count++] = bstr_copy(
			workers[i]->id);
	o->advice[step_index].in_flight = true;
	s->advice_calls_in_flight++;
}

/* Returns true if there are valid tickets for a step; requests them if not. */
bool advice_ready(struct sched *s, struct occurrence *o, unsigned step_index,
		  struct worker **workers, size_t count)
{
	struct advice *a;

	if (!o->advice)
		o->advice = xcalloc(o->job->body->step_count,
				    sizeof(*o->advice));
	a = &o->advice[step_index];
	if (a->count && s->now < a->valid_until - TICKET_MARGIN_MS)
		return true;
	if (!a->in_flight && s->now >= a->retry_at && count &&
	    s->advice_calls_in_flight < ADVICE_CALLS_MAX)
		advice_request(s, o, step_index, workers, count);
	return false;
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

/* Handles an answer of the advice service. */
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
		a->retry_at = s->now + ADVICE_RETRY_MS;
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
	/*
	 * The validity counts from the time at which the service answered, so
	 * this time is too late by the transit time of the answer.
	 */
	a->valid_until = s->now + ans->valid_ms;
	a->retry_at = s->now + ADVICE_RETRY_MS;
	sched_log(s, LOG_ADVICE, "step=%s.%u.%u good=%zu valid_ms=%lld",
		  rq->job, rq->occurrence, rq->task, a->count,
		  (long long)ans->valid_ms);
}
