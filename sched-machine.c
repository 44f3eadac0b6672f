/*
 * Orders to the platform to move machines to other pools, and what follows from
 * their answers, or from missing ones.
 */
#include "sched-state.h"

#include <string.h>

#define MOVE_TIMEOUT_MS 1500
#define MOVE_RETRY_MS 1000
/* An unanswered move is repeated for this long. */
#define MOVE_REPEAT_MS 6000

/* Calls the platform to move a machine to the pool in its moving_to. */
static void move_send(struct sched *s, struct machine *m, struct worker *w)
{
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MOVE, ASK_MOVE,
		       own_exclusive_until(s, s->now + MOVE_TIMEOUT_MS), &ask);
	rq->name = bstr_copy(m->id);
	rq->worker = w;
	if (w)
		w->requests++;
	ask->order.machine = bstr_copy(m->id);
	ask->order.pool = bstr_copy(m->moving_to);
	ask->order.holder = bstr_copy(s->options.vm);
	ask->order.epoch = s->own.epoch;
	m->moving_until = s->now + MOVE_TIMEOUT_MS + s->options.move_ms;
	m->move_unanswered = false;
}

/* Orders the move of a machine. */
void machine_move(struct sched *s, struct machine *m, bstr pool,
		  const char *why)
{
	struct worker *w = m->worker.bstr_len ? worker_find(s, m->worker)
					      : NULL;

	bstr_set(&m->moving_to, pool);
	bstr_set(&m->moving_worker, m->worker);
	m->move_repeat_until = s->now + MOVE_REPEAT_MS;
	m->late_move_until = 0;
	if (w)
		w->takedown_pending = true;
	move_send(s, m, w);
	sched_log(s, LOG_MACHINE_MOVED,
		  "machine=%.*s worker=%.*s from=%.*s to=%.*s why=%s",
		  BSTR_ARG(m->id), BSTR_ARG(m->worker), BSTR_ARG(m->pool),
		  BSTR_ARG(pool), why);
}

/* Returns the worker that a machine had when its move was ordered, or NULL. */
static struct worker *move_worker(struct sched *s, const struct machine *m)
{
	return m->moving_worker.bstr_len ? worker_find(s, m->moving_worker)
					 : NULL;
}

/*
 * Ends an ordered move that was not carried out: the worker of its machine is
 * used again, unless maintenance takes it.
 */
static void move_abandon(struct sched *s, struct machine *m)
{
	struct worker *w = move_worker(s, m);

	m->move_unanswered = false;
	m->moving_until = 0;
	m->retry_at = s->now + MOVE_RETRY_MS;
	if (w && !w->takedown_in_flight)
		w->takedown_pending = false;
	s->place_due = true;
}

/*
 * Ends an unanswered move if the list of machines shows that the machine was
 * moved, or has another worker, whose tasks a repeated call would end.  An
 * unanswered call may still be carried out after the machine has been moved on,
 * and would end the tasks there, so the machine stays where it is until then.
 */
void move_check_listed(struct sched *s, struct machine *m)
{
	bool has_other_worker = m->worker.bstr_len &&
				!bstr_eq(m->worker, m->moving_worker);

	if (!m->move_unanswered ||
	    !(has_other_worker || bstr_eq(m->pool, m->moving_to)))
		return;
	m->move_unanswered = false;
	m->retry_at = m->late_move_until;
	s->place_due = true;
}

/*
 * Repeats the move of a machine, or ends it.  A worker whose tasks or ends
 * would be lost, as a late start was carried out on it, is not moved.
 */
static void move_repeat(struct sched *s, struct machine *m)
{
	struct worker *w = move_worker(s, m);

	if (s->now >= m->late_move_until) {
		move_abandon(s, m);
		return;
	}
	if (s->now < m->retry_at || s->now >= m->move_repeat_until)
		return;
	if (w && !w->gone &&
	    (!TAILQ_EMPTY(&w->tasks) || !worker_ends_durable(w)))
		return;
	move_send(s, m, w);
	sched_log(s, LOG_MACHINE_MOVED,
		  "machine=%.*s worker=%.*s from=%.*s to=%.*s why=repeat",
		  BSTR_ARG(m->id), BSTR_ARG(m->moving_worker),
		  BSTR_ARG(m->pool), BSTR_ARG(m->moving_to));
}

/*
 * Repeats unanswered moves.  Without an answer it is not known whether the
 * machine was moved, is moved seconds later, or stays: its worker would be out
 * of use until the owner changes if it stays, and a late move would end the
 * tasks of a worker used again at once, also of long-running steps beyond their
 * max_unavailable.  The answer to the repeated call decides, as the platform
 * reports success too if the machine was moved earlier.  If there is none
 * within MOVE_REPEAT_MS, or the call is refused, the worker is used again
 * ORDER_LIFETIME_MAX_MS after the latest unanswered call, when none can be
 * carried out any more.
 */
void moves_repeat(struct sched *s)
{
	struct machine *m, *next;

	if (offer_is_accepted(s))
		return;
	HASH_ITER(hh, s->machines, m, next)
		if (m->move_unanswered)
			move_repeat(s, m);
}

/*
 * Handles the platform's answer to a move.  It concerns the worker that the
 * machine had when the move was ordered: the list of machines may show the next
 * one already.  If that one were given up, its tasks would run twice.
 */
void move_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct worker *w = rq->worker;
	struct machine *m;

	HASH_FIND_BSTR(s->machines, rq->name, m);
	if (!m || rq->epoch != s->own.epoch)
		return;
	if (a->outcome == OUT_DONE) {
		m->moving_until = s->now + s->options.move_ms + MOVE_RETRY_MS;
		m->state = MACHINE_MOVING;
		m->retry_at = m->late_move_until;
		if (w)
			worker_taken(s, w, LOSS_MOVED);
		return;
	}
	sched_log(s, LOG_MACHINE_MOVE_FAILED,
		  "machine=%.*s to=%.*s outcome=%d reason=%d", BSTR_ARG(m->id),
		  BSTR_ARG(m->moving_to), a->outcome, a->refusal);
	m->retry_at = s->now + MOVE_RETRY_MS;
	if (a->outcome == OUT_UNKNOWN)
		m->late_move_until = s->now + ORDER_LIFETIME_MAX_MS;
	if (s->now < m->late_move_until)
		m->move_unanswered = true;
	else
		move_abandon(s, m);
}
