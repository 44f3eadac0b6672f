/*
 * Holds of workers for large tasks.  The load: a queue of small tasks takes
 * each piece of room as it becomes free, and a task that needs the room of
 * several of them never finds enough on one worker, although the pool as a
 * whole has it.
 *
 * Such a task, or the members of a gang, get a hold on the workers where their
 * room is expected first.  A held worker goes on taking tasks that are expected
 * to be gone by then, or that fit beside the held room.  A hold binds only the
 * candidates behind its step in the order of the placement pass, so nothing
 * that is due earlier or more urgent waits for it.  Each pass renews the holds
 * that are still needed; nothing about them is stored, so a new owner makes its
 * own.
 */
#include "sched-state.h"

#include <string.h>

/*
 * A task is large if it needs more than this part of the largest machine: what
 * several smaller tasks leave on a machine is then rarely enough for it.
 */
#define LARGE_DIVISOR 3
/* At most this part of a pool's workers is held, but at least one. */
#define HOLDS_DIVISOR 16
/*
 * Pools with fewer workers have no holds: one would keep more than a quarter of
 * the pool from the other tasks.
 */
#define HOLDS_MIN_WORKERS 4
/* No holds are made while less than one part in this many is in use. */
#define BUSY_DIVISOR 2
/*
 * Ends of tasks that are considered on one worker.  If it has more, the others
 * count as staying.
 */
#define ENDS_MAX 64

/* A worker, and the hold that it would get. */
struct soonest {
	struct worker *worker;
	struct hold hold;
};

/* Returns true if a need is large for the machines of a pool. */
bool lookahead_is_large(struct resources need, struct resources capacity)
{
	return need.cpu * LARGE_DIVISOR > capacity.cpu ||
	       need.memory * LARGE_DIVISOR > capacity.memory ||
	       (need.gpus > 1 && need.gpus * LARGE_DIVISOR > capacity.gpus);
}

/* Returns the limit of held workers in a pool of this many. */
unsigned lookahead_holds_max(size_t workers)
{
	size_t n = workers / HOLDS_DIVISOR;

	if (workers < HOLDS_MIN_WORKERS)
		return 0;
	if (n < 1)
		return 1;
	return n < HOLDS_MAX ? (unsigned)n : HOLDS_MAX;
}

/*
 * Returns when a task is expected to end.  The expected run time already takes
 * into account how long the tasks of the step have run, so it alone counts
 * until the task overruns it.  From then on the task is expected to take half
 * as long again as it has taken so far: it will not end at once.
 */
int64_t lookahead_task_end(int64_t now, int64_t started_at, int64_t expected_ms)
{
	int64_t elapsed = now - started_at;

	if (elapsed < expected_ms)
		return started_at + expected_ms;
	return now + elapsed / 2;
}

/* Moves the earliest of count ends to the front. */
static void ends_first_to_front(struct lookahead_end *ends, size_t count)
{
	struct lookahead_end first;
	size_t i, k = 0;

	for (i = 1; i < count; i++)
		if (ends[i].at < ends[k].at)
			k = i;
	first = ends[k];
	ends[k] = ends[0];
	ends[0] = first;
}

/*
 * Returns when a need fits on a worker, given its free room and the expected
 * ends of its tasks, or LOOKAHEAD_NEVER.  Sets spare to what will be free then
 * besides the need.  The ends are reordered.
 */
int64_t lookahead_room_at(struct resources room, int64_t now,
			  struct lookahead_end *ends, size_t count,
			  struct resources need, struct resources *spare)
{
	int64_t at = now;
	size_t i;

	for (i = 0; i < count; i++) {
		ends_first_to_front(&ends[i], count - i);
		if (ends[i].at > at && resources_fit(need, room))
			break;
		if (ends[i].at > at)
			at = ends[i].at;
		room = resources_add(room, ends[i].need);
	}
	if (!resources_fit(need, room))
		return LOOKAHEAD_NEVER;
	*spare = resources_sub(room, need);
	return at;
}

/*
 * Returns true if a task that ends at the given time leaves the held room free
 * when it is expected.
 */
bool lookahead_leaves_room(const struct hold *h, struct resources need,
			   int64_t end)
{
	return end <= h->room_at || resources_fit(need, h->spare);
}

/* Returns true if a worker is held. */
static bool worker_is_held(const struct worker *w)
{
	return w->hold.tasks;
}

/* Returns true if a hold is for a step. */
static bool hold_is_for(const struct hold *h, const struct occurrence *o,
			unsigned step_index)
{
	return h->tasks && h->step == step_index &&
	       h->occurrence == o->number && !strcmp(h->job, o->job->id);
}

/* Returns when a task on a worker is expected to end. */
static int64_t task_expected_end(struct sched *s, const struct task *t)
{
	struct job *j = t->occ->job;

	if (t->stopping)
		return s->now;
	if (task_step(t)->long_running)
		return LOOKAHEAD_NEVER;
	job_estimate_update(s, j);
	return lookahead_task_end(s->now, t->started_at,
				  j->estimate.step_ms[t->step]);
}

/* Returns when a need is expected to fit on a worker, or LOOKAHEAD_NEVER. */
static int64_t worker_room_at(struct sched *s, const struct worker *w,
			      struct resources need, struct resources *spare)
{
	struct lookahead_end ends[ENDS_MAX];
	const struct task *t;
	size_t n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (n == ENDS_MAX)
			break;
		ends[n].at = task_expected_end(s, t);
		ends[n].need = step_need(task_step(t));
		if (ends[n].at != LOOKAHEAD_NEVER)
			n++;
	}
	return lookahead_room_at(worker_free_room(w), s->now, ends, n, need,
				 spare);
}

/* Ends a hold, and logs why. */
static void hold_end(struct sched *s, struct worker *w, bool used,
		     const char *why)
{
	struct hold *h = &w->hold;

	sched_count(s, used ? COUNT_HOLDS_USED : COUNT_HOLDS_GIVEN_UP, 1);
	sched_log(s, LOG_HOLD_ENDED,
		  "worker=%.*s step=%s.%u.%u why=%s held_ms=%lld "
		  "expected_ms=%lld",
		  BSTR_ARG(w->id), h->job, h->occurrence, h->step, why,
		  (long long)(s->now - h->made_at),
		  (long long)(h->first_room_at - h->made_at));
	if (!used)
		w->hold_not_before = s->now + (s->now - h->made_at);
	*h = (struct hold){0};
}

/*
 * Adds a worker's hold to those of its pool for a placement pass, or ends it if
 * its deadline has passed or no pass needs it any more.
 */
void lookahead_refresh(struct sched *s, struct worker *w, bool eligible)
{
	if (!worker_is_held(w))
		return;
	if (!eligible)
		hold_end(s, w, false, "worker");
	else if (s->now >= w->hold.until)
		hold_end(s, w, false, "deadline");
	else if (w->hold.pass < s->place_complete ||
		 w->pool->held_count == HOLDS_MAX)
		hold_end(s, w, false, "not-needed");
	else
		w->pool->held[w->pool->held_count++] = w;
}

/*
 * Returns true if the limit of a job's organisation is known to allow a task of
 * a step.  Above the ceiling it is not known, and limit_allows would have the
 * ceiling raised, which is only for steps with room.
 */
static bool limit_is_known_to_allow(struct sched *s, struct job *j,
				    const struct job_step *st)
{
	const struct usage *u;

	if (!job_tenant(s, j))
		return true;
	u = job_usage(s, j);
	return resources_fit(resources_add(u->used, st->need), u->ceiling) &&
	       limit_allows(s, j, st);
}

/*
 * Returns true if a ready step may get holds: its tasks are large for the
 * machines of the pool, they have waited since an earlier pass, and the limit
 * of their organisation allows them.
 */
bool lookahead_applies(struct sched *s, const struct pool *p,
		       const struct occurrence *o, unsigned step_index)
{
	const struct job_step *st = &o->job->body->steps[step_index];
	struct resources need = step_need(st), all = need;
	unsigned i;

	for (i = 1; st->gang && i < st->count; i++)
		all = resources_add(all, need);
	return policy_is_enabled(s, POLICY_LOOKAHEAD) &&
	       lookahead_is_large(all, p->max_capacity) &&
	       resources_fit(need, p->max_capacity) &&
	       o->pending_tasks[step_index].ready_at < s->now &&
	       limit_is_known_to_allow(s, o->job, st);
}

/*
 * Returns true if a step without room is to be considered in this pass.  Only
 * the first ones that may get holds are, so that a long queue of large tasks
 * costs the owner no more than one of small ones.
 */
bool lookahead_considers(struct sched *s, struct pool *p,
			 const struct occurrence *o, unsigned step_index)
{
	if (p->large_steps >= HOLDS_MAX ||
	    !lookahead_applies(s, p, o, step_index))
		return false;
	p->large_steps++;
	return true;
}

/* Returns true if a worker's hold binds the candidates left in this pass. */
bool lookahead_binds(const struct sched *s, const struct worker *w)
{
	return worker_is_held(w) && w->hold.pass == s->place_serial;
}

/* Returns how long a task of a step is expected to run. */
int64_t lookahead_run_ms(const struct job *j, unsigned step_index)
{
	if (j->body->steps[step_index].long_running)
		return LOOKAHEAD_NEVER;
	return j->estimate.step_ms[step_index];
}

/*
 * Returns true if a hold lets a task start now, which is if the task leaves the
 * held room free or is long-running: a service that is not there costs its
 * callers more than a large task that waits.
 */
static bool hold_allows(const struct sched *s, const struct hold *h,
			struct resources need, int64_t run_ms)
{
	return run_ms == LOOKAHEAD_NEVER ||
	       lookahead_leaves_room(h, need, s->now + run_ms);
}

/*
 * Returns true if a worker's hold lets a task start there: there is none, it is
 * the task's own, its step's turn in this pass has not come yet, or the task
 * leaves the held room free or is long-running.
 */
bool lookahead_allows(const struct sched *s, const struct worker *w,
		      const struct task *t)
{
	if (!lookahead_binds(s, w) || hold_is_for(&w->hold, t->occ, t->step))
		return true;
	return hold_allows(s, &w->hold, step_need(task_step(t)),
			   lookahead_run_ms(t->occ->job, t->step));
}

/*
 * Returns true if a held worker of a pool has room for a task that its hold
 * allows.  The free resources of the pool don't include those of held
 * workers.
 */
bool lookahead_has_room(const struct sched *s, const struct pool *p,
			struct resources need, int64_t run_ms)
{
	const struct worker *w;
	size_t i;

	for (i = 0; i < p->held_count; i++) {
		w = p->held[i];
		if (lookahead_binds(s, w) &&
		    resources_fit(need, worker_free_room(w)) &&
		    hold_allows(s, &w->hold, need, run_ms))
			return true;
	}
	return false;
}

/* Returns how many tasks of a step a hold on a worker is to serve. */
static unsigned hold_task_count(const struct worker *w,
				const struct job_step *st, unsigned left)
{
	struct resources need = step_need(st), all = need;
	unsigned n = 1, limit = st->gang ? left : 1;

	if (st->max_per_worker && limit > st->max_per_worker)
		limit = st->max_per_worker;
	while (n < limit) {
		all = resources_add(all, need);
		if (!resources_fit(all, w->row.capacity))
			break;
		n++;
	}
	return n;
}

/* Returns what a number of tasks of a step need together. */
static struct resources tasks_need(const struct job_step *st, unsigned tasks)
{
	struct resources all = {0, 0, 0};

	while (tasks--)
		all = resources_add(all, step_need(st));
	return all;
}

/*
 * Puts a hold of a step in effect for the rest of this pass.  Returns how many
 * tasks it serves, which is none if the room is not expected any more.
 */
static unsigned hold_renew(struct sched *s, struct worker *w,
			   const struct job_step *st)
{
	struct hold *h = &w->hold;

	h->room_at = worker_room_at(s, w, tasks_need(st, h->tasks), &h->spare);
	if (h->room_at == LOOKAHEAD_NEVER)
		return 0;
	h->pass = s->place_serial;
	w->pool->max_is_stale = true;
	return h->tasks;
}

/* Renews the holds of a step.  Returns how many of its tasks they serve. */
static unsigned step_renew_holds(struct sched *s, struct pool *p,
				 const struct task *t, unsigned left)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < p->held_count && n < left; i++)
		if (hold_is_for(&p->held[i]->hold, t->occ, t->step) &&
		    worker_suits(s, p->held[i], t))
			n += hold_renew(s, p->held[i], task_step(t));
	return n;
}

/*
 * Adds a worker to those where the room of a step comes first; they are sorted
 * by that time.  Returns their new number, at most limit.
 */
static unsigned soonest_add(struct soonest *list, unsigned count,
			    unsigned limit, const struct soonest *new)
{
	unsigned i;

	if (count == limit && list[count - 1].hold.room_at <= new->hold.room_at)
		return count;
	if (count < limit)
		count++;
	for (i = count - 1;
	     i > 0 && list[i - 1].hold.room_at > new->hold.room_at; i--)
		list[i] = list[i - 1];
	list[i] = *new;
	return count;
}

/*
 * Lists the workers where the room for tasks of a step is expected first.
 * Returns their number, at most limit, and 0 if only one worker suits:
 * others that need what only that worker has would find none.
 */
static unsigned soonest_list(struct sched *s, const struct pool *p,
			     const struct task *t, unsigned left,
			     struct soonest *list, unsigned limit)
{
	const struct job_step *st = task_step(t);
	struct soonest new;
	unsigned count = 0, suitable = 0;
	size_t i;

	for (i = 0; i < p->count; i++) {
		new.worker = p->workers[i];
		if (!resources_fit(step_need(st), new.worker->row.capacity) ||
		    !worker_suits(s, new.worker, t))
			continue;
		suitable++;
		if (worker_is_held(new.worker) ||
		    s->now < new.worker->hold_not_before)
			continue;
		new.hold.tasks = hold_task_count(new.worker, st, left);
		new.hold.room_at = worker_room_at(
			s, new.worker, tasks_need(st, new.hold.tasks),
			&new.hold.spare);
		if (new.hold.room_at != LOOKAHEAD_NEVER)
			count = soonest_add(list, count, limit, &new);
	}
	return suitable > 1 ? count : 0;
}

/*
 * Holds a worker for tasks of a step, in effect for the rest of this pass.  The
 * hold ends at the latest when it has lasted longer than expected by the run
 * time of the tasks, or for twice the expected time if they are long-running:
 * estimates are wrong, and more room would stand idle than the tasks use.
 */
static void hold_make(struct sched *s, struct pool *p, const struct task *t,
		      const struct soonest *at)
{
	struct hold *h = &at->worker->hold;
	int64_t ms = at->hold.room_at - s->now;
	int64_t run_ms = lookahead_run_ms(t->occ->job, t->step);

	*h = at->hold;
	memcpy(h->job, t->occ->job->id, sizeof(h->job));
	h->occurrence = t->occ->number;
	h->step = t->step;
	h->pass = s->place_serial;
	h->made_at = s->now;
	h->first_room_at = h->room_at;
	h->until = h->room_at + (run_ms == LOOKAHEAD_NEVER ? ms : run_ms);
	p->held[p->held_count++] = at->worker;
	p->max_is_stale = true;
	sched_count(s, COUNT_HOLDS_MADE, 1);
	sched_log(s, LOG_HOLD_MADE,
		  "worker=%.*s step=%s.%u.%u tasks=%u waited_ms=%lld "
		  "expected_ms=%lld",
		  BSTR_ARG(at->worker->id), h->job, h->occurrence, h->step,
		  h->tasks, (long long)(s->now - task_ready_at(t)),
		  (long long)ms);
}

/*
 * Returns true if enough of a pool's cores is in use for holds.  With fewer in
 * use a large task soon finds room by itself.
 */
static bool pool_allows_holds(const struct pool *p)
{
	int64_t used = 0, capacity = 0;
	size_t i;

	for (i = 0; i < p->count; i++) {
		used += p->workers[i]->used.cpu;
		capacity += p->workers[i]->row.capacity.cpu;
	}
	return used * BUSY_DIVISOR >= capacity;
}

/*
 * Holds workers for tasks of a step that has no room, t being the first of
 * them.  Workers are compared for one step of a pool in each pass, which bounds
 * what it costs the owner.  A gang that would need more workers than may be
 * held gets none: part of the room is of no use to it.
 */
void lookahead_hold(struct sched *s, struct pool *p, const struct task *t,
		    unsigned left)
{
	struct soonest list[HOLDS_MAX];
	unsigned i, n, covered, limit = lookahead_holds_max(p->count);

	covered = step_renew_holds(s, p, t, left);
	if (covered >= left || p->held_count >= limit || p->compared)
		return;
	p->compared = true;
	if (!pool_allows_holds(p))
		return;
	n = soonest_list(s, p, t, left - covered, list,
			 limit - (unsigned)p->held_count);
	for (i = 0; i < n && covered < left; i++)
		covered += list[i].hold.tasks;
	if (task_step(t)->gang && covered < left)
		return;
	for (n = i, i = 0; i < n; i++)
		hold_make(s, p, t, &list[i]);
}

/* Notes on a worker's hold that a task starts there. */
void lookahead_note_start(struct sched *s, struct worker *w,
			  const struct task *t)
{
	struct hold *h = &w->hold;
	struct resources need = step_need(task_step(t));
	int64_t run_ms = lookahead_run_ms(t->occ->job, t->step);

	if (hold_is_for(h, t->occ, t->step)) {
		if (!--h->tasks) {
			hold_end(s, w, true, "used");
			/* What is left of its room is free for others. */
			w->pool->max_is_stale = true;
		}
		return;
	}
	if (!lookahead_binds(s, w))
		return;
	sched_count(s, COUNT_HOLDS_BACKFILLED, 1);
	if (run_ms == LOOKAHEAD_NEVER || s->now + run_ms > h->room_at)
		h->spare = resources_sub(h->spare, need);
}
