/*
 * Maintenance waves: each machine of a wave is taken down once, at most so
 * many at a time, when what serves on it can be missed.
 */
#include "sched-state.h"
#include "json-read.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A machine that is about to go gets nothing new for so long before it; most
 * tasks of quick queues end within it. */
#define WAVE_DRAIN_MS 1200
/* The list of machines is read so often while a wave is open. */
#define LIST_EVERY_MS 900
#define CLOUD_TIMEOUT_MS 1500
#define CLOUD_AGAIN_MS 500
/* A machine counts as down this much longer than its maintenance takes. */
#define AWAY_SLACK_MS 400
/*
 * Taking as many machines as may be down at once takes about so long: the
 * drain, the call, the maintenance and the list that shows its end.  With
 * more time left than that for each such step, and a reserve for trouble,
 * machines of busy pools wait for a calmer moment.
 */
#define WAVE_STEP_MS 4500
#define WAVE_RESERVE_MS 4000
#define WAVE_NAME_MAX 40
/* A line for each open wave is logged so often. */
#define WAVE_TOLD_MS 1000

/* Find a wave. */
static struct wave *wave_find(struct sched *s, uint64_t number)
{
	struct wave *v;

	HASH_FIND(hh, s->waves, &number, sizeof(number), v);
	return v;
}

/* A machine of a wave, by its id. */
static struct wave_machine *wave_member(struct wave *v, bstr id)
{
	size_t i;

	for (i = 0; i < v->count; i++)
		if (bstr_eq(v->machines[i].id, id))
			return &v->machines[i];
	return NULL;
}

/* Find a wave, or make one of which nothing is known yet. */
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
 * Set what an owner noted of the machines.  Its row may be read before the
 * operator's, or after it.  Another owner may have called for what it noted.
 */
static void wave_merge(struct wave *v, bool theirs)
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
			theirs || v->machines[i].call_outcome_unknown;
		if (json_is_true(json_object_get(note, "done")))
			v->machines[i].done = true;
	}
}

/* The operator asks for a wave. */
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
	wave_merge(v, true);
	sched_log(s, LOG_WAVE_SEEN,
		  "wave=%" PRIu64 " machines=%zu maximum=%u finish_by_s=%lld",
		  v->number, v->count, v->max_unavailable,
		  (long long)row->finish_by_s);
}

/*
 * When a wave has to be finished.  A VM counts the operator's time from when
 * it first saw the row, and a process that begins anew sees it anew: with all
 * of them killed, machines of busy pools would wait until long after the
 * operator's time.  What an owner has noted by the store's clock goes on.
 */
static int64_t wave_finish_at(const struct sched *s, const struct wave *v)
{
	int64_t noted = v->finish_at_store - s->store_clock_offset;

	if (v->finish_at_store && s->store_clock_known && noted < v->finish_at)
		return noted;
	return v->finish_at;
}

/* What an owner noted of a wave. */
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
		wave_merge(v, true);
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

/* Forget the machines. */
static void machines_free(struct sched *s)
{
	struct machine *m, *next;

	HASH_ITER(hh, s->machines, m, next) {
		HASH_DEL(s->machines, m);
		bstr_free(&m->id);
		bstr_free(&m->pool);
		bstr_free(&m->worker);
		bstr_free(&m->moving_to);
		free(m);
	}
	s->list_complete = false;
}

/* Forget what only the owner knows; what the operator asks for stays. */
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
		}
	}
	s->list_in_flight = false;
	machines_free(s);
}

/* Free all waves. */
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

/*
 * Is a lasting task at work?  One whose worker has been silent may have
 * ended with it: taking away another of its step could leave too few.
 */
static bool task_serves(const struct sched *s, const struct task *t)
{
	return t->phase == PHASE_RUNNING && !t->stopping && t->percent == 100 &&
	       !t->worker->takedown_in_flight &&
	       s->now - t->worker->answered_at < WORKER_TIMEOUT_MS;
}

/*
 * Tasks of a lasting step that are not at work, but for one; those on its
 * own worker count if here is set.
 */
static unsigned others_away(const struct sched *s, const struct task *t,
			    bool here)
{
	const struct job_step *st = task_step(t);
	const struct task *o = &t->occ->tasks[t->occ->first_task[t->step]];
	unsigned i, away = 0;

	for (i = 0; i < st->count; i++, o++)
		if (o != t && (here || o->worker != t->worker) &&
		    !task_serves(s, o))
			away++;
	return away;
}

/* Do planned actions have to spare a task? */
static bool task_is_spared(const struct task *t)
{
	const struct job_step *st = task_step(t);

	return st->long_running && st->max_unavailable &&
	       t->phase == PHASE_RUNNING && !t->stopping;
}

/* May a task be taken away with all others of its step on its worker? */
static bool task_may_miss(const struct sched *s, const struct task *t)
{
	return !task_is_spared(t) ||
	       others_away(s, t, false) + step_tasks_on_worker(
						  t->worker, t->occ, t->step) <=
		       task_step(t)->max_unavailable;
}

/* May a worker be taken away now, by the lasting tasks on it? */
bool wave_may_take_worker(struct sched *s, const struct worker *w)
{
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (!task_may_miss(s, t))
			return false;
	return true;
}

/*
 * A worker that has more tasks of a step than may be missed at once could
 * never be taken: one of them is moved away first.
 */
static void worker_thin(struct sched *s, struct worker *w)
{
	struct task *t;
	unsigned on;

	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!task_is_spared(t) || t->stopping)
			continue;
		on = step_tasks_on_worker(w, t->occ, t->step);
		if (on <= task_step(t)->max_unavailable)
			continue;
		if (others_away(s, t, true) < task_step(t)->max_unavailable) {
			task_stop(s, t);
			return;
		}
	}
}

/* Tasks of a worker that end soon by themselves. */
static unsigned short_tasks(const struct worker *w)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (!task_step(t)->long_running)
			n++;
	return n;
}

/* The machine of a wave's member, and its worker if it has one. */
static struct machine *member_machine(struct sched *s, bstr id,
				      struct worker **w)
{
	struct machine *m;

	*w = NULL;
	HASH_FIND_BSTR(s->machines, id, m);
	if (m && m->worker.bstr_len)
		*w = worker_find(s, m->worker);
	return m;
}

/* Take a machine down for its maintenance. */
static void upkeep_send(struct sched *s, struct wave *v,
			struct wave_machine *wm)
{
	struct worker *w;
	struct machine *m = member_machine(s, wm->id, &w);
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MAINTENANCE, ASK_MAINTENANCE,
		       own_exclusive_until(s, s->now + CLOUD_TIMEOUT_MS), &ask);
	rq->number = v->number;
	rq->name = bstr_copy(wm->id);
	ask->order.machine = bstr_copy(wm->id);
	ask->order.wave = v->number;
	ask->order.holder = bstr_copy(s->options.vm);
	ask->order.epoch = s->own.epoch;
	wm->call_in_flight = true;
	wm->call_is_for_noted_life = m && bstr_eq(m->worker, wm->worker);
	wm->down_until = s->now + CLOUD_TIMEOUT_MS;
	sched_log(s, LOG_WAVE_MACHINE, "wave=%" PRIu64 " machine=%.*s step=ask",
		  v->number, BSTR_ARG(wm->id));
}

/* Is a machine of a wave down, or may it be? */
static bool member_is_away(struct sched *s, const struct wave_machine *wm)
{
	struct worker *w;
	struct machine *m = member_machine(s, wm->id, &w);

	return wm->call_in_flight || s->now < wm->down_until ||
	       (m && m->state == MACHINE_MAINTENANCE);
}

/* What taking a machine costs now: fewer of it first. */
static double member_cost(struct sched *s, const struct wave_machine *wm)
{
	struct worker *w;
	const struct task *t;
	double cost = 0;

	member_machine(s, wm->id, &w);
	if (!w)
		return 0;
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		cost += (double)task_step(t)->need.cpu;
		if (!task_may_miss(s, t))
			cost += 1e9;
	}
	return cost;
}

/* Machines of a wave that are left to do. */
static unsigned wave_left(const struct wave *v)
{
	unsigned left = 0;
	size_t i;

	for (i = 0; i < v->count; i++)
		if (!v->machines[i].done)
			left++;
	return left;
}

/* Is there time to wait for calmer moments? */
static bool wave_can_wait(const struct sched *s, const struct wave *v)
{
	unsigned steps = (wave_left(v) + v->max_unavailable - 1) /
			 v->max_unavailable;

	if (!policy_is_enabled(s, POLICY_WAVE_CALM))
		return false;
	return s->now + (int64_t)steps * WAVE_STEP_MS + WAVE_RESERVE_MS <
	       wave_finish_at(s, v);
}

/* Is a machine of a pool that has much to do? */
static bool member_is_busy(struct sched *s, const struct wave_machine *wm)
{
	struct worker *w;
	const struct machine *m = member_machine(s, wm->id, &w);

	return m && pool_is_busy(s, m->pool);
}

/*
 * Is it known what runs on a machine?  After a takeover each worker tells as
 * it answers, and one that is silent may hold up to the end of its leases:
 * the others' machines need not wait for that, since its tasks count as away.
 */
static bool member_is_known(struct sched *s, const struct wave_machine *wm)
{
	struct worker *w;

	member_machine(s, wm->id, &w);
	return s->settled || (w && (w->fenced || w->gone));
}

/* Choose the next machine to take down, and give it nothing new. */
static bool wave_mark(struct sched *s, struct wave *v)
{
	bool wait = wave_can_wait(s, v);
	struct wave_machine *best = NULL, *wm;
	double least = 0, cost;
	struct worker *w;
	size_t i;

	for (i = 0; i < v->count; i++) {
		wm = &v->machines[i];
		if (wm->done || wm->draining || wm->call_in_flight ||
		    s->now < wm->retry_at || !member_is_known(s, wm) ||
		    (wait && member_is_busy(s, wm)))
			continue;
		cost = member_cost(s, wm);
		if (!best || cost < least) {
			best = wm;
			least = cost;
		}
	}
	if (!best)
		return false;
	best->draining = true;
	best->draining_since = s->now;
	member_machine(s, best->id, &w);
	if (w)
		w->takedown_pending = true;
	return true;
}

/*
 * Is it noted in the store which life of a machine is to be taken?  The call
 * succeeds also when it was carried out before: a successor that does not
 * know of it would take the new worker for gone, and start its tasks twice.
 */
static bool member_note(struct sched *s, struct wave *v,
			struct wave_machine *wm)
{
	struct worker *w;
	struct machine *m = member_machine(s, wm->id, &w);

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

/* What a machine of a wave waits for. */
enum member_wait {
	MEMBER_DONE,
	MEMBER_AWAY,	/* the call is under way, or it is down */
	MEMBER_TURN,	/* others first, or a calmer moment */
	MEMBER_AGAIN,	/* the call was refused: a while */
	MEMBER_SHORT,	/* its short tasks */
	MEMBER_LASTING, /* others of its lasting tasks' steps */
	MEMBER_NOTE,	/* the note in the store */
	MEMBER_ENDS,	/* its ends to be durable */
	MEMBER_WAIT_MAX
};

/* Drive a machine on, and tell what it waits for. */
static enum member_wait member_tick(struct sched *s, struct wave *v,
				    struct wave_machine *wm)
{
	struct worker *w;

	if (wm->done)
		return member_is_away(s, wm) ? MEMBER_AWAY : MEMBER_DONE;
	if (wm->call_in_flight)
		return MEMBER_AWAY;
	if (s->now < wm->retry_at)
		return MEMBER_AGAIN;
	if (!wm->draining || !member_is_known(s, wm))
		return MEMBER_TURN;
	member_machine(s, wm->id, &w);
	if (w)
		w->takedown_pending = true;
	if (w && short_tasks(w) && s->now < wm->draining_since + WAVE_DRAIN_MS)
		return MEMBER_SHORT;
	if (w && !wave_may_take_worker(s, w)) {
		worker_thin(s, w);
		return MEMBER_LASTING;
	}
	if (!member_note(s, v, wm))
		return MEMBER_NOTE;
	if (w && !worker_ends_durable(w))
		return MEMBER_ENDS;
	/* Tasks of the same steps on other machines can't be missed now. */
	if (w)
		w->takedown_in_flight = true;
	upkeep_send(s, v, wm);
	return MEMBER_AWAY;
}

/* Tell once in a while how many machines wait for what. */
static void wave_tell(struct sched *s, struct wave *v,
		      const unsigned waits[MEMBER_WAIT_MAX])
{
	if (s->now < v->log_at)
		return;
	v->log_at = s->now + WAVE_TOLD_MS;
	sched_log(s, LOG_WAVE,
		  "wave=%" PRIu64 " left_ms=%lld done=%u away=%u turn=%u "
		  "again=%u short=%u lasting=%u note=%u ends=%u",
		  v->number, (long long)(wave_finish_at(s, v) - s->now),
		  waits[MEMBER_DONE], waits[MEMBER_AWAY], waits[MEMBER_TURN],
		  waits[MEMBER_AGAIN], waits[MEMBER_SHORT],
		  waits[MEMBER_LASTING], waits[MEMBER_NOTE],
		  waits[MEMBER_ENDS]);
}

/* The key of a wave's rows. */
static void wave_key(const struct wave *v, char key[WAVE_NAME_MAX])
{
	snprintf(key, WAVE_NAME_MAX, "wave/%" PRIu64, v->number);
}

/* What is to be noted of a wave's machines. */
static json_t *wave_notes(const struct wave *v)
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
 * Write how far a wave is, for the operator and for a later owner, if no other
 * note was written since the last one known: one without an answer, carried
 * out seconds later, would make a completed wave run on, and machines that
 * were done since be called for again.
 */
static void wave_write(struct sched *s, struct wave *v)
{
	char key[WAVE_NAME_MAX];
	struct request *rq;
	struct tx *t;

	wave_key(v, key);
	t = sched_tx(s, FOR_WAVE_ROW, s->now + STORE_TIMEOUT_MS, &rq);
	rq->number = v->number;
	tx_expect(t, TABLE_OWNER, bstr_lit("epoch"), s->own.revision);
	tx_expect(t, TABLE_NOTES, bstr_lit(key), v->revision);
	if (!v->start_published || v->completed)
		tx_write(t, TABLE_STATUS, bstr_lit(key),
			 bstr_printf("{\"state\":\"%s\"}",
				     v->completed ? "completed" : "running"));
	json_decref(v->notes);
	v->notes = wave_notes(v);
	if (s->store_clock_known)
		v->finish_at_store = wave_finish_at(s, v) +
				     s->store_clock_offset;
	tx_write(t, TABLE_NOTES, bstr_lit(key),
		 json_write(json_pack(
			 "{s:I, s:O, s:b, s:I}", "wave", (json_int_t)v->number,
			 "machines", v->notes, "completed", v->completed,
			 "finish", (json_int_t)v->finish_at_store)));
	v->writing = true;
	v->dirty = false;
}

/* Drive a wave on. */
static void wave_drive(struct sched *s, struct wave *v)
{
	unsigned away = 0, waits[MEMBER_WAIT_MAX] = {0};
	bool all = true;
	size_t i;

	if (v->requested && v->dirty && !v->writing && s->now >= v->write_at)
		wave_write(s, v);
	if (!v->requested || v->completed || !s->list_complete)
		return;
	for (i = 0; i < v->count; i++) {
		if (member_is_away(s, &v->machines[i]) ||
		    (v->machines[i].draining && !v->machines[i].done))
			away++;
		all = all && v->machines[i].done;
	}
	while (away < v->max_unavailable && wave_mark(s, v))
		away++;
	for (i = 0; i < v->count; i++)
		waits[member_tick(s, v, &v->machines[i])]++;
	wave_tell(s, v, waits);
	if (!all)
		return;
	v->completed = v->dirty = true;
	sched_log(s, LOG_WAVE_DONE, "wave=%" PRIu64 " left_ms=%lld", v->number,
		  (long long)(wave_finish_at(s, v) - s->now));
}

/* Ask for the list of machines, from a page on. */
static void machines_list(struct sched *s, bstr page)
{
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MACHINES, ASK_MACHINES, s->now + CLOUD_TIMEOUT_MS,
		       &ask);
	rq->number = s->own.epoch;
	ask->order.page = bstr_copy(page);
	s->list_in_flight = true;
	s->list_at = s->now + LIST_EVERY_MS;
}

/* Look at the clock. */
void wave_tick(struct sched *s)
{
	struct wave *v, *next;

	if (!own_may_order(s))
		return;
	if (!s->list_in_flight && s->now >= s->list_at)
		machines_list(s, BSTR_NONE);
	if (!own_is_exclusive(s))
		return;
	HASH_ITER(hh, s->waves, v, next)
		wave_drive(s, v);
}

/* Take a row of the list of machines. */
static void machine_take(struct sched *s, struct machine_row *r)
{
	struct machine *m;

	HASH_FIND_BSTR(s->machines, r->machine, m);
	if (!m) {
		m = xcalloc(1, sizeof(*m));
		m->id = bstr_copy(r->machine);
		HASH_ADD_BSTR(s->machines, id, m);
	}
	bstr_set(&m->pool, r->pool);
	bstr_set(&m->worker, r->worker);
	/* A list that was asked for before a move does not show it yet. */
	if (s->now >= m->moving_until || r->state != MACHINE_UP)
		m->state = r->state;
	if (r->state == MACHINE_UP && bstr_eq(r->pool, m->moving_to))
		m->moving_until = 0;
}

/*
 * The list has been read whole.  The sizes that the pools had before anything
 * was moved are what the operator gave them: the first owner notes them.
 */
static void list_is_whole(struct sched *s)
{
	struct machine *m, *next;
	char *pool;

	s->list_complete = true;
	if (s->home_sizes)
		return;
	s->home_sizes = json_object();
	s->home_sizes_dirty = true;
	HASH_ITER(hh, s->machines, m, next) {
		pool = bstr_cstr(m->pool);
		json_object_set_new(
			s->home_sizes, pool,
			json_integer(json_integer_value(json_object_get(
					     s->home_sizes, pool)) +
				     1));
		free(pool);
	}
}

/* The list of machines, a page of it; one asked for before is too old. */
static void list_answer(struct sched *s, struct request *rq, struct answer *a)
{
	size_t i;

	if (rq->number != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	s->list_in_flight = false;
	if (a->outcome != OUT_DONE) {
		s->list_at = s->now + CLOUD_AGAIN_MS;
		return;
	}
	for (i = 0; i < a->machine_count; i++)
		machine_take(s, &a->machines[i]);
	if (a->next_page.bstr_len)
		machines_list(s, a->next_page);
	else
		list_is_whole(s);
}

/*
 * A machine has gone down: what ran on it has ended.  If it had a new life
 * since it was noted, the call may have been carried out before, and this
 * life goes on: its lease tells.
 */
static void upkeep_done(struct sched *s, struct wave *v,
			struct wave_machine *wm)
{
	struct worker *w;

	wm->done = true;
	wm->down_until = s->now + s->options.maintenance_ms + AWAY_SLACK_MS;
	v->dirty = true;
	member_machine(s, wm->id, &w);
	if (w && !wm->call_is_for_noted_life) {
		/*
		 * Until it answers again its tasks count as away: with them
		 * taken for at work, others of their steps were taken too.
		 */
		w->takedown_pending = w->takedown_in_flight = false;
		worker_set_quiet(s, w);
	} else if (w) {
		worker_lost(s, w, "maintenance");
		worker_set_gone(s, w);
		w->listed = false;
	}
	sched_log(s, LOG_WAVE_MACHINE,
		  "wave=%" PRIu64 " machine=%.*s step=down", v->number,
		  BSTR_ARG(wm->id));
}

/*
 * Nothing was done to a machine.  Its worker may be another one by the next
 * call, after a move; a note of this one would make a success look like one
 * of before, and the tasks that it ended like tasks at work.
 */
static void member_unnote(struct wave *v, struct wave_machine *wm)
{
	if (!wm->noted)
		return;
	wm->noted = false;
	bstr_free(&wm->worker);
	v->dirty = true;
}

/* The outcome of taking a machine down. */
static void upkeep_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct wave *v = wave_find(s, rq->number);
	struct wave_machine *wm = v ? wave_member(v, rq->name) : NULL;
	struct worker *w;

	if (!wm || rq->epoch != s->own.epoch)
		return;
	wm->call_in_flight = false;
	if (a->outcome == OUT_DONE) {
		upkeep_done(s, v, wm);
		return;
	}
	member_machine(s, wm->id, &w);
	if (w && a->outcome != OUT_UNKNOWN)
		w->takedown_in_flight = false;
	sched_log(s, LOG_WAVE_MACHINE,
		  "wave=%" PRIu64 " machine=%.*s step=refused outcome=%d "
		  "reason=%d",
		  v->number, BSTR_ARG(wm->id), a->outcome, a->refusal);
	wm->retry_at = s->now + CLOUD_AGAIN_MS;
	if (a->outcome == OUT_UNKNOWN)
		wm->call_outcome_unknown = true;
	else if (!wm->call_outcome_unknown)
		member_unnote(v, wm);
	if (a->refusal == REFUSAL_INVALID || a->refusal == REFUSAL_WAVE) {
		/* There is no such machine any more, or it is not due. */
		wm->done = true;
		v->dirty = true;
	}
}

/* The outcome of a note. */
static void note_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct wave *v = wave_find(s, rq->number);
	char key[WAVE_NAME_MAX];

	if (!v || rq->epoch != s->own.epoch)
		return;
	v->writing = false;
	if (a->outcome == OUT_DONE) {
		v->start_published = true;
		if (a->revision > v->revision)
			v->revision = a->revision;
		wave_merge(v, false);
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

/* An answer about waves or machines. */
void wave_answer(struct sched *s, struct request *rq, struct answer *a)
{
	switch (rq->purpose) {
	case FOR_MACHINES:
		list_answer(s, rq, a);
		break;
	case FOR_MAINTENANCE:
		upkeep_answer(s, rq, a);
		break;
	default:
		note_answer(s, rq, a);
		break;
	}
}
