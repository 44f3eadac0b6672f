/*
 * Maintenance waves.  Each machine of a wave is taken down once, with at most
 * max_unavailable machines down at a time, and only when the long-running tasks
 * on it can be spared.
 */
#include "sched-state.h"
#include "json-read.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * How long a machine gets no new tasks before it is taken down.  Most tasks of
 * queues with short tasks end within this time.
 */
#define WAVE_DRAIN_MS 1200
/*
 * Duration of a batch of as many machines as may be down at once: the drain,
 * the call, the maintenance, and the list that shows its end.  If more time is
 * left than this for each remaining batch, plus a reserve for problems,
 * machines of busy pools wait until the pools are not busy.
 */
#define WAVE_BATCH_MS 4500
#define WAVE_RESERVE_MS 4000
#define WAVE_KEY_MAX 40
/* Interval of the log line about each open wave. */
#define WAVE_LOG_INTERVAL_MS 1000

/* Returns the wave with a number, or NULL. */
struct wave *wave_find(struct sched *s, uint64_t number)
{
	struct wave *v;

	HASH_FIND(hh, s->waves, &number, sizeof(number), v);
	return v;
}

/* Returns the machine of a wave with an id, or NULL. */
struct wave_machine *wave_find_machine(struct wave *v, bstr id)
{
	size_t i;

	for (i = 0; i < v->count; i++)
		if (bstr_eq(v->machines[i].id, id))
			return &v->machines[i];
	return NULL;
}

/*
 * Returns the machine with an id, or NULL, and sets w to its worker, or NULL if
 * it has none.
 */
struct machine *wave_machine_lookup(struct sched *s, bstr id, struct worker **w)
{
	struct machine *m;

	*w = NULL;
	HASH_FIND_BSTR(s->machines, id, m);
	if (m && m->worker.bstr_len)
		*w = worker_find(s, m->worker);
	return m;
}

/* Returns the wave with a number, and adds it if it is new. */
static struct wave *wave_get(struct sched *s, uint64_t number)
{
	struct wave *v = wave_find(s, number);

	if (v)
		return v;
	v = xcalloc(1, sizeof(*v));
	v->number = number;
	HASH_ADD(hh, s->waves, number, sizeof(v->number), v);
	return v;
}

/*
 * Applies what an owner noted of a wave's machines.  The note may be read
 * before or after the operator's row.  If another owner wrote it, that owner
 * may have called for the maintenance of the machines in it.
 */
static void wave_apply_notes(struct wave *v, bool by_other_owner)
{
	const json_t *note;
	char *id;
	size_t i;

	for (i = 0; i < v->count; i++) {
		id = bstr_cstr(v->machines[i].id);
		note = json_object_get(v->notes, id);
		free(id);
		if (!note)
			continue;
		bstr_free(&v->machines[i].worker);
		v->machines[i].worker = bstr_from_json(
			json_object_get(note, "worker"));
		v->machines[i].noted = true;
		v->machines[i].call_outcome_unknown =
			by_other_owner || v->machines[i].call_outcome_unknown;
		if (json_is_true(json_object_get(note, "done")))
			v->machines[i].done = true;
	}
}

/* Applies the operator's request for a wave. */
void wave_row_apply(struct sched *s, struct row *r)
{
	struct wave_row *row = &r->wave;
	struct wave *v;
	size_t i;

	if (r->removed)
		return;
	v = wave_get(s, row->number);
	if (v->requested)
		return;
	v->requested = true;
	v->max_unavailable = row->max_unavailable;
	v->finish_at = s->now + row->finish_by_s * 1000;
	v->count = row->machine_count;
	v->machines = xcalloc(v->count + 1, sizeof(*v->machines));
	for (i = 0; i < v->count; i++)
		v->machines[i].id = bstr_copy(row->machines[i]);
	v->dirty = !v->completed;
	wave_apply_notes(v, true);
	sched_log(s, LOG_WAVE_SEEN,
		  "wave=%" PRIu64 " machines=%zu maximum=%u finish_by_s=%lld",
		  v->number, v->count, v->max_unavailable,
		  (long long)row->finish_by_s);
}

/*
 * Returns the deadline of a wave on this VM's clock.  A VM counts the
 * operator's time from when it first read the row, and a restarted process
 * reads it anew.  If all of them were killed, machines of busy pools would wait
 * until long after the operator's deadline.  So an owner notes the deadline on
 * the store's clock, and the earlier one applies.
 */
static int64_t wave_finish_at(const struct sched *s, const struct wave *v)
{
	int64_t noted = v->finish_at_store - s->store_clock_offset;

	if (v->finish_at_store && s->store_clock_known && noted < v->finish_at)
		return noted;
	return v->finish_at;
}

/* Applies the note that an owner wrote of a wave. */
void wave_status_apply(struct sched *s, struct row *r)
{
	json_t *row = json_read(r->value);
	const json_t *number = json_object_get(row, "wave");
	struct wave *v;

	if (json_is_integer(number) && s->own.state != OWN_OWNER) {
		v = wave_get(s, (uint64_t)json_integer_value(number));
		if (r->revision > v->revision)
			v->revision = r->revision;
		json_decref(v->notes);
		v->notes = json_incref(json_object_get(row, "machines"));
		wave_apply_notes(v, true);
		v->start_published = true;
		v->finish_at_store = json_integer_value(
			json_object_get(row, "finish"));
		if (json_is_true(json_object_get(row, "completed"))) {
			v->completed = true;
			v->dirty = false;
		}
	}
	json_decref(row);
}

/* Discards the state that only an owner has; the operator's requests stay. */
void waves_reset_owner_state(struct sched *s)
{
	struct wave *v, *next;
	size_t i;

	HASH_ITER(hh, s->waves, v, next) {
		v->writing = false;
		v->dirty = !v->completed;
		for (i = 0; i < v->count; i++) {
			v->machines[i].call_in_flight =
				v->machines[i].draining = false;
			v->machines[i].retry_at = 0;
			v->machines[i].refusals = 0;
			v->machines[i].gone = false;
		}
	}
	s->machine_list_in_flight = false;
	machines_free(s);
}

/* Frees all waves and machines. */
void sched_waves_free(struct sched *s)
{
	struct wave *v, *next;
	size_t i;

	HASH_ITER(hh, s->waves, v, next) {
		HASH_DEL(s->waves, v);
		for (i = 0; i < v->count; i++) {
			bstr_free(&v->machines[i].id);
			bstr_free(&v->machines[i].worker);
		}
		json_decref(v->notes);
		free(v->machines);
		free(v);
	}
	machines_free(s);
}

/* Returns true if a machine of a wave is down, or may be. */
static bool wave_machine_may_be_down(struct sched *s,
				     const struct wave_machine *wm)
{
	struct worker *w;
	struct machine *m = wave_machine_lookup(s, wm->id, &w);

	return wm->call_in_flight || s->now < wm->down_until ||
	       (m && m->state == MACHINE_MAINTENANCE);
}

/*
 * Returns the cost of taking a machine down now, by the tasks on it.  The
 * machine with the lowest cost is taken first.
 */
static double wave_machine_cost(struct sched *s, const struct wave_machine *wm)
{
	struct worker *w;
	const struct task *t;
	double cost = 0;

	wave_machine_lookup(s, wm->id, &w);
	if (!w)
		return 0;
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		cost += (double)task_step(t)->need.cpu;
		if (!task_may_be_stopped(s, t))
			cost += 1e9;
	}
	return cost;
}

/* Returns the number of machines of a wave that are not done. */
static unsigned wave_remaining(const struct wave *v)
{
	unsigned remaining = 0;
	size_t i;

	for (i = 0; i < v->count; i++)
		if (!v->machines[i].done && !v->machines[i].gone)
			remaining++;
	return remaining;
}

/* Returns true if there is time to wait until busy pools are not busy. */
static bool wave_can_wait(const struct sched *s, const struct wave *v)
{
	unsigned batches = (wave_remaining(v) + v->max_unavailable - 1) /
			   v->max_unavailable;

	if (!policy_is_enabled(s, POLICY_WAVE_CALM))
		return false;
	return s->now + (int64_t)batches * WAVE_BATCH_MS + WAVE_RESERVE_MS <
	       wave_finish_at(s, v);
}

/* Returns true if the pool of a machine has much work. */
static bool wave_machine_pool_is_busy(struct sched *s,
				      const struct wave_machine *wm)
{
	struct worker *w;
	const struct machine *m = wave_machine_lookup(s, wm->id, &w);

	return m && pool_is_busy(s, m->pool);
}

/*
 * Returns true if it is known which tasks run on a machine.  After a takeover
 * each worker reports them when it answers; on a silent one they may run until
 * the end of its lease.  Other machines need not wait for that, because the
 * tasks of a silent worker count as unavailable.
 */
static bool wave_machine_runs_are_known(struct sched *s,
					const struct wave_machine *wm)
{
	struct worker *w;

	wave_machine_lookup(s, wm->id, &w);
	return s->settled || (w && (w->fenced || w->gone));
}

/*
 * Returns true if a machine is down or moves according to the latest list, so
 * that a call for its maintenance has to wait.  The call could succeed only if
 * the machine has come back since that list.  Its worker is a new one then, and
 * the owner doesn't know on which machine it is: tasks would be started there
 * until the call ends them, and would start elsewhere only when the worker's
 * lease has expired, or when an unanswered start can't be carried out any more.
 * The next list shows the worker.  An earlier call whose outcome is unknown is
 * repeated at once, because it may have been carried out.
 */
static bool wave_machine_is_away(struct sched *s, const struct wave_machine *wm)
{
	struct worker *w;
	const struct machine *m = wave_machine_lookup(s, wm->id, &w);

	return !wm->call_outcome_unknown && m &&
	       (m->state == MACHINE_DOWN || m->state == MACHINE_MOVING);
}

/*
 * Chooses the next machine to take down and starts to drain it.  Returns false
 * if there is none.
 */
static bool wave_start_drain(struct sched *s, struct wave *v)
{
	bool wait = wave_can_wait(s, v);
	struct wave_machine *best = NULL, *wm;
	double least = 0, cost;
	struct worker *w;
	size_t i;

	for (i = 0; i < v->count; i++) {
		wm = &v->machines[i];
		if (wm->done || wm->gone || wm->draining ||
		    wm->call_in_flight || s->now < wm->retry_at ||
		    wave_machine_is_away(s, wm) ||
		    !wave_machine_runs_are_known(s, wm) ||
		    (wait && wave_machine_pool_is_busy(s, wm)))
			continue;
		cost = wave_machine_cost(s, wm);
		if (!best || cost < least) {
			best = wm;
			least = cost;
		}
	}
	if (!best)
		return false;
	best->draining = true;
	best->draining_since = s->now;
	wave_machine_lookup(s, best->id, &w);
	if (w)
		w->takedown_pending = true;
	return true;
}

/*
 * Returns true if the store records which process of a machine's worker is to
 * be taken down; otherwise has that recorded.  The call also succeeds if it was
 * carried out earlier.  A successor that doesn't know of the earlier call would
 * consider the new worker process gone, and start its tasks twice.
 */
static bool wave_machine_request_note(struct sched *s, struct wave *v,
				      struct wave_machine *wm)
{
	struct worker *w;
	struct machine *m = wave_machine_lookup(s, wm->id, &w);

	if (wm->noted)
		return true;
	if (!wm->worker.bstr_len) {
		bstr_set(&wm->worker, m && m->worker.bstr_len
					      ? m->worker
					      : bstr_lit("none"));
		v->dirty = true;
	}
	return false;
}

/*
 * Returns true if a machine of a wave is gone for good and needs no
 * maintenance: the platform refuses it and doesn't list it, no worker on it
 * answers, and no earlier call may still be carried out.  A machine that
 * is only down is listed; it may come back, and needs its maintenance then.
 */
static bool wave_machine_is_gone(struct sched *s, const struct wave_machine *wm)
{
	return !wm->done && !wm->call_in_flight && wm->refusals &&
	       s->now >= wm->late_call_until && machine_is_gone(s, wm->id);
}

/*
 * Compares the machines of a wave with a complete list: those that are gone are
 * left out, and come back if a later list has them.  The call for a machine
 * that was refused while it was not up is repeated at once when it is.
 */
static void wave_check_listed(struct sched *s, struct wave *v)
{
	struct wave_machine *wm;
	const struct machine *m;
	struct worker *w;
	bool up, gone;
	size_t i;

	for (i = 0; i < v->count; i++) {
		wm = &v->machines[i];
		m = wave_machine_lookup(s, wm->id, &w);
		up = m && m->state == MACHINE_UP;
		if (wm->refusals && up && !wm->refused_up && !wm->done) {
			wm->refusals = 0;
			wm->retry_at = s->now;
		}
		wm->refused_up = wm->refused_up && up;
		gone = wave_machine_is_gone(s, wm);
		if (gone && !wm->gone)
			sched_log(s, LOG_WAVE_MACHINE,
				  "wave=%" PRIu64 " machine=%.*s step=gone "
				  "refusals=%u",
				  v->number, BSTR_ARG(wm->id), wm->refusals);
		wm->gone = gone;
		wm->draining = wm->draining && !gone;
	}
}

/* Compares the machines of all open waves with a complete list. */
void waves_check_listed(struct sched *s)
{
	struct wave *v, *next;

	HASH_ITER(hh, s->waves, v, next)
		if (v->requested && !v->completed)
			wave_check_listed(s, v);
}

/* What a machine of a wave waits for. */
enum wave_machine_wait {
	WAVE_MACHINE_DONE,
	WAVE_MACHINE_GONE,
	WAVE_MACHINE_DOWN,   /* the call is in flight, or it is away */
	WAVE_MACHINE_QUEUED, /* other machines, or the end of its pool's load */
	WAVE_MACHINE_RETRY,  /* the call was refused; it is retried later */
	WAVE_MACHINE_SHORT_TASKS,  /* the end of its short tasks */
	WAVE_MACHINE_LONG_RUNNING, /* other tasks of its long-running steps */
	WAVE_MACHINE_NOTE_WRITE,   /* its note to be written */
	WAVE_MACHINE_DURABLE_ENDS, /* the ends on its worker to be durable */
	WAVE_MACHINE_WAIT_MAX
};

/*
 * Does the next action for a machine of a wave, and returns what it waits for
 * then.
 */
static enum wave_machine_wait wave_machine_tick(struct sched *s, struct wave *v,
						struct wave_machine *wm)
{
	struct worker *w;

	if (wm->done)
		return wave_machine_may_be_down(s, wm) ? WAVE_MACHINE_DOWN
						       : WAVE_MACHINE_DONE;
	if (wm->gone)
		return WAVE_MACHINE_GONE;
	if (wm->call_in_flight)
		return WAVE_MACHINE_DOWN;
	if (wave_machine_is_away(s, wm)) {
		/* It is chosen again, with its next worker. */
		wm->draining = false;
		wave_machine_discard_note(v, wm);
		return WAVE_MACHINE_DOWN;
	}
	if (s->now < wm->retry_at)
		return WAVE_MACHINE_RETRY;
	if (!wm->draining || !wave_machine_runs_are_known(s, wm))
		return WAVE_MACHINE_QUEUED;
	wave_machine_lookup(s, wm->id, &w);
	if (w)
		w->takedown_pending = true;
	if (w && worker_short_tasks(w) &&
	    s->now < wm->draining_since + WAVE_DRAIN_MS)
		return WAVE_MACHINE_SHORT_TASKS;
	if (w && !wave_may_take_worker(s, w)) {
		worker_stop_excess_task(s, w);
		return WAVE_MACHINE_LONG_RUNNING;
	}
	if (!wave_machine_request_note(s, v, wm))
		return WAVE_MACHINE_NOTE_WRITE;
	if (w && !worker_ends_durable(w))
		return WAVE_MACHINE_DURABLE_ENDS;
	/*
	 * From now on its tasks count as unavailable when other machines are
	 * chosen.
	 */
	if (w)
		w->takedown_in_flight = true;
	maintenance_send(s, v, wm);
	return WAVE_MACHINE_DOWN;
}

/* Logs at intervals how many machines of a wave wait for what. */
static void wave_log_waits(struct sched *s, struct wave *v,
			   const unsigned waits[WAVE_MACHINE_WAIT_MAX])
{
	if (s->now < v->log_at)
		return;
	v->log_at = s->now + WAVE_LOG_INTERVAL_MS;
	sched_log(s, LOG_WAVE,
		  "wave=%" PRIu64
		  " left_ms=%lld done=%u gone=%u away=%u turn=%u "
		  "again=%u short=%u lasting=%u note=%u ends=%u",
		  v->number, (long long)(wave_finish_at(s, v) - s->now),
		  waits[WAVE_MACHINE_DONE], waits[WAVE_MACHINE_GONE],
		  waits[WAVE_MACHINE_DOWN], waits[WAVE_MACHINE_QUEUED],
		  waits[WAVE_MACHINE_RETRY], waits[WAVE_MACHINE_SHORT_TASKS],
		  waits[WAVE_MACHINE_LONG_RUNNING],
		  waits[WAVE_MACHINE_NOTE_WRITE],
		  waits[WAVE_MACHINE_DURABLE_ENDS]);
}

/* Sets key to the key of a wave's rows. */
static void wave_key(const struct wave *v, char key[WAVE_KEY_MAX])
{
	snprintf(key, WAVE_KEY_MAX, "wave/%" PRIu64, v->number);
}

/* Returns the notes of a wave's machines as JSON. */
static json_t *wave_notes_build(const struct wave *v)
{
	json_t *notes = json_object();
	const struct wave_machine *wm;
	char *id;
	size_t i;

	for (i = 0; i < v->count; i++) {
		wm = &v->machines[i];
		if (!wm->worker.bstr_len && !wm->done)
			continue;
		id = bstr_cstr(wm->id);
		json_object_set_new(notes, id,
				    json_pack("{s:o, s:b}", "worker",
					      bstr_to_json(wm->worker), "done",
					      wm->done));
		free(id);
	}
	return notes;
}

/*
 * Writes the progress of a wave for the operator and for a later owner, on
 * condition that the note was not written since the latest one known.
 * Otherwise an unanswered write, carried out seconds later, would reopen a
 * completed wave, and machines done since then would be taken down again.
 */
static void wave_write(struct sched *s, struct wave *v)
{
	char key[WAVE_KEY_MAX];
	struct request *rq;
	struct tx *t;

	wave_key(v, key);
	t = sched_tx(s, FOR_WAVE_ROW, s->now + STORE_TIMEOUT_MS, &rq);
	rq->number = v->number;
	tx_expect_owner(s, t);
	tx_expect(t, TABLE_NOTES, bstr_lit(key), v->revision);
	if (!v->start_published || v->completed)
		tx_write(t, TABLE_STATUS, bstr_lit(key),
			 bstr_printf("{\"state\":\"%s\"}",
				     v->completed ? "completed" : "running"));
	json_decref(v->notes);
	v->notes = wave_notes_build(v);
	if (s->store_clock_known)
		v->finish_at_store = wave_finish_at(s, v) +
				     s->store_clock_offset;
	large_write(s, t, TABLE_NOTES, bstr_lit(key),
		    json_write(json_pack("{s:I, s:O, s:b, s:I}", "wave",
					 (json_int_t)v->number, "machines",
					 v->notes, "completed", v->completed,
					 "finish",
					 (json_int_t)v->finish_at_store)));
	v->writing = true;
	v->dirty = false;
}

/* Advances a wave: writes its rows, chooses machines, and acts on them. */
static void wave_advance(struct sched *s, struct wave *v)
{
	unsigned down = 0, waits[WAVE_MACHINE_WAIT_MAX] = {0};
	bool all_done = true;
	size_t i;

	if (v->requested && v->dirty && !v->writing && s->now >= v->write_at)
		wave_write(s, v);
	if (!v->requested || v->completed || !s->machine_list_complete)
		return;
	for (i = 0; i < v->count; i++) {
		if (wave_machine_may_be_down(s, &v->machines[i]) ||
		    (v->machines[i].draining && !v->machines[i].done))
			down++;
		all_done = all_done &&
			   (v->machines[i].done || v->machines[i].gone);
	}
	while (down < v->max_unavailable && wave_start_drain(s, v))
		down++;
	for (i = 0; i < v->count; i++)
		waits[wave_machine_tick(s, v, &v->machines[i])]++;
	wave_log_waits(s, v, waits);
	if (!all_done)
		return;
	v->completed = v->dirty = true;
	sched_log(s, LOG_WAVE_DONE, "wave=%" PRIu64 " left_ms=%lld", v->number,
		  (long long)(wave_finish_at(s, v) - s->now));
}

/* Reads the list of machines at intervals, and advances all waves. */
void wave_tick(struct sched *s)
{
	struct wave *v, *next;

	if (!own_may_order(s))
		return;
	if (!s->machine_list_in_flight && s->now >= s->machine_list_at)
		machines_request(s, BSTR_NONE);
	if (!own_is_exclusive(s))
		return;
	HASH_ITER(hh, s->waves, v, next)
		wave_advance(s, v);
}

/* Handles the outcome of writing a wave's rows. */
void wave_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct wave *v = wave_find(s, rq->number);
	char key[WAVE_KEY_MAX];

	if (!v || rq->epoch != s->own.epoch)
		return;
	v->writing = false;
	if (a->outcome == OUT_DONE) {
		v->start_published = true;
		if (a->revision > v->revision)
			v->revision = a->revision;
		wave_apply_notes(v, false);
		return;
	}
	wave_key(v, key);
	if (a->outcome == OUT_CONFLICT &&
	    !tx_row_was_rewritten(s, a, TABLE_NOTES, bstr_lit(key),
				  &v->revision)) {
		own_lose(s, "replaced");
		return;
	}
	v->dirty = true;
	v->write_at = s->now;
	if (a->outcome != OUT_CONFLICT)
		v->write_at += STORE_RETRY_MS;
}
