/*
 * Calls to the platform that take machines of a wave down for maintenance, and
 * what follows from their answers, or from missing ones.
 */
#include "sched-state.h"

#include <inttypes.h>

/*
 * A loss of a worker this long after its maintenance may still be due to it:
 * its lease has to expire first.
 */
#define LATE_LOSS_MS 8000
/* A machine counts as down this much longer than its maintenance takes. */
#define DOWN_MARGIN_MS 400
/*
 * The pause after a call that was refused because the machine is busy doubles
 * up to this many times: a machine is moved or maintained for 1 to 2 s, one
 * that leaves, or is down, may be busy for good.
 */
#define BUSY_DOUBLINGS_MAX 3

/*
 * Returns true if a worker's process may have been taken down for a wave: this
 * owner has called for it, or an earlier one may have.  The worker may be a
 * later one than the noted one; its machine is known once the list has shown
 * it, and until then any recent call counts.
 */
bool wave_takes_worker(const struct sched *s, const struct worker *w)
{
	const struct wave_machine *wm;
	const struct wave *v;
	size_t i;

	for (v = s->waves; v; v = v->hh.next) {
		for (i = 0; i < v->count; i++) {
			wm = &v->machines[i];
			if (!wm->call_in_flight && !wm->call_outcome_unknown &&
			    !wm->done)
				continue;
			if (wm->noted && bstr_eq(wm->worker, w->id))
				return true;
			/* It was alive after the maintenance. */
			if (wm->done &&
			    w->alive_at > wm->down_until - DOWN_MARGIN_MS -
						  s->options.maintenance_ms)
				continue;
			if (s->now < wm->down_until + LATE_LOSS_MS &&
			    (!w->machine.bstr_len ||
			     bstr_eq(w->machine, wm->id)))
				return true;
		}
	}
	return false;
}

/* Calls the platform to take a machine down for maintenance. */
void maintenance_send(struct sched *s, struct wave *v, struct wave_machine *wm)
{
	struct worker *w;
	struct machine *m = wave_machine_lookup(s, wm->id, &w);
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MAINTENANCE, ASK_MAINTENANCE,
		       own_exclusive_until(s, s->now + PLATFORM_TIMEOUT_MS),
		       &ask);
	rq->number = v->number;
	rq->name = bstr_copy(wm->id);
	ask->order.machine = bstr_copy(wm->id);
	ask->order.wave = v->number;
	ask->order.holder = bstr_copy(s->options.vm);
	ask->order.epoch = s->own.epoch;
	wm->call_in_flight = true;
	wm->call_is_for_noted_process = m && bstr_eq(m->worker, wm->worker);
	wm->down_until = s->now + PLATFORM_TIMEOUT_MS;
	sched_log(s, LOG_WAVE_MACHINE, "wave=%" PRIu64 " machine=%.*s step=ask",
		  v->number, BSTR_ARG(wm->id));
}

/*
 * Handles a successful call for maintenance.  The runs of the noted worker have
 * ended.  The list of machines may show the machine's next worker already,
 * which goes on.  But if the worker was restarted before the call was sent, the
 * call may have been carried out earlier, and the new process may still be
 * running; its lease decides.
 */
static void maintenance_done(struct sched *s, struct wave *v,
			     struct wave_machine *wm)
{
	struct worker *w;

	wm->done = true;
	wm->refusals = 0;
	wm->down_until = s->now + s->options.maintenance_ms + DOWN_MARGIN_MS;
	v->dirty = true;
	if (wm->call_is_for_noted_process)
		w = worker_find(s, wm->worker);
	else
		wave_machine_lookup(s, wm->id, &w);
	if (w && !wm->call_is_for_noted_process) {
		/*
		 * Its tasks count as unavailable until it answers again.  If
		 * they counted as in service, others of their steps could be
		 * taken down at the same time.
		 */
		w->takedown_pending = w->takedown_in_flight = false;
		worker_set_overdue(s, w);
	} else if (w) {
		crash_worker_taken(s, w);
		worker_taken(s, w, LOSS_MAINTENANCE);
	}
	sched_log(s, LOG_WAVE_MACHINE,
		  "wave=%" PRIu64 " machine=%.*s step=down", v->number,
		  BSTR_ARG(wm->id));
}

/*
 * Discards the note of a machine to which nothing was done.  After a move it
 * may have another worker by the next call.  With the old note, that call's
 * success would look like one of an earlier call, and the tasks that it ended
 * like tasks in service.
 */
void wave_machine_discard_note(struct wave *v, struct wave_machine *wm)
{
	if (!wm->noted)
		return;
	wm->noted = false;
	bstr_free(&wm->worker);
	v->dirty = true;
}

/* Sets when a call without success is repeated. */
static void maintenance_retry(struct sched *s, struct wave_machine *wm,
			      enum refusal why)
{
	struct worker *w;
	const struct machine *m = wave_machine_lookup(s, wm->id, &w);
	unsigned doublings = wm->refusals < BUSY_DOUBLINGS_MAX
				     ? wm->refusals
				     : BUSY_DOUBLINGS_MAX;

	wm->retry_at = s->now + PLATFORM_RETRY_MS;
	if (why != REFUSAL_BUSY)
		return;
	wm->retry_at = s->now + (PLATFORM_RETRY_MS << doublings);
	wm->refusals++;
	wm->refused_up = m && m->state == MACHINE_UP;
}

/*
 * Handles the outcome of a call for maintenance.  A refusal tells nothing about
 * an earlier call without an answer, which may still be carried out: until then
 * the tasks of the machine's worker count as unavailable.
 */
void maintenance_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct wave *v = wave_find(s, rq->number);
	struct wave_machine *wm = v ? wave_find_machine(v, rq->name) : NULL;
	struct worker *w;

	if (!wm || rq->epoch != s->own.epoch)
		return;
	wm->call_in_flight = false;
	if (a->outcome == OUT_DONE) {
		maintenance_done(s, v, wm);
		return;
	}
	wave_machine_lookup(s, wm->id, &w);
	if (a->outcome == OUT_UNKNOWN)
		wm->late_call_until = s->now + ORDER_LIFETIME_MAX_MS;
	if (w && s->now >= wm->late_call_until)
		w->takedown_in_flight = false;
	sched_log(s, LOG_WAVE_MACHINE,
		  "wave=%" PRIu64 " machine=%.*s step=refused outcome=%d "
		  "reason=%d",
		  v->number, BSTR_ARG(wm->id), a->outcome, a->refusal);
	maintenance_retry(s, wm, a->refusal);
	if (a->outcome == OUT_UNKNOWN)
		wm->call_outcome_unknown = true;
	else if (!wm->call_outcome_unknown)
		wave_machine_discard_note(v, wm);
	if (a->refusal == REFUSAL_INVALID || a->refusal == REFUSAL_WAVE) {
		/*
		 * No such machine any more, or not part of the wave.  Its
		 * worker, if it has one, stays and is used again; an earlier
		 * call without an answer was refused for the same reason.
		 */
		wm->done = true;
		v->dirty = true;
		if (w)
			w->takedown_pending = w->takedown_in_flight = false;
		s->place_due = true;
	}
}
