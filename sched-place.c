/*
 * Which task goes where: the order among what is ready, and the choice of a
 * worker for each.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Weights of a worker's merits; only their order matters. */
#define MERIT_RACK 1e9	    /* it is near the step's data */
#define MERIT_NOT_AVOID 1e8 /* the task has not failed there */
#define MERIT_SIBLINGS 1e6  /* a tight step's other tasks are in its rack */
#define MERIT_SPREAD 1e7    /* one task less of a lasting step on it */
/*
 * One lasting task more on it.  With lasting tasks together, and short ones on
 * the fullest worker that has room, the other machines of a pool fall empty
 * and can be moved to the pool whose turn it is: together they were worth
 * 0.045 of a day's credit on one site and 0.014 on another.
 */
#define MERIT_LASTING 1e5
#define MERIT_FULL 1e4 /* all of its cores are in use */

/*
 * Looks at what waits are a millisecond apart for so many jobs, and for so many
 * workers.  At each round of events a long queue or a large fleet would take
 * all of the owner's processor, and what it writes and hears from workers would
 * wait behind them.
 */
#define JOBS_PER_MS 100
#define WORKERS_PER_MS 500
#define JOBS_MANY 500

/* A step with tasks that wait. */
struct candidate {
	struct job *job;
	struct occurrence *occ;
	struct pool *pool; /* whose workers may run it */
	unsigned step;
	struct resources need;	  /* of each of its tasks */
	enum pending_reason held; /* what held its job back before */
	bool advised;		  /* a start needs a ticket */
	unsigned rank;		  /* lasting work, then priorities */
	bool late;		  /* its objective can't be met any more */
	int64_t due; /* when its objective ends; if late: its length */
};

struct placing {
	unsigned open; /* jobs that are not final */
	struct candidate *list;
	struct candidate **order;
	size_t count;
	size_t room;
	struct pool **turns; /* pools with candidates that are left */
	size_t turn_count;
};

/* Does a step have a task that waits to be placed now? */
static bool step_waits(struct sched *s, const struct occurrence *o, unsigned at)
{
	const struct task *t = &o->tasks[o->first_task[at]];
	struct pending_tasks *r = &o->pending_tasks[at];
	bool waits = false;
	unsigned i;

	if (!r->count || !step_ready(o, at))
		return false;
	if (!r->ready_at)
		r->ready_at = s->now;
	if (s->now >= r->retry_at_max)
		return true;
	for (i = 0; i < o->job->body->steps[at].count; i++, t++) {
		if (t->phase != PHASE_PENDING)
			continue;
		if (s->now >= t->not_before)
			waits = true;
		else
			s->has_delayed_tasks = true;
	}
	return waits;
}

/* Add a step to those that can be placed. */
static void candidate_add(struct sched *s, struct placing *p,
			  const struct route *r, struct pool *pool,
			  struct occurrence *o, unsigned at)
{
	const struct job_step *st = &o->job->body->steps[at];
	const struct job_estimate *k = &o->job->estimate;
	struct candidate *c;

	job_estimate_update(s, o->job);
	if (p->count == p->room) {
		p->room = p->room ? p->room * 2 : 64;
		p->list = xrealloc(p->list, p->room, sizeof(*p->list));
	}
	c = &p->list[p->count++];
	*c = (struct candidate){.job = o->job,
				.occ = o,
				.pool = pool,
				.step = at,
				.need = step_need(st),
				.held = o->job->pending_reason};
	c->advised = r && r->needs_ticket;
	c->rank = st->long_running ? 0 : 1 + (r ? r->priority : 0);
	c->due = occurrence_due_at(s, o, k->longest_ms);
	if (!o->job->due)
		o->job->due = c->due;
	c->late = !st->long_running && s->now + k->remaining_ms[at] > c->due &&
		  policy_is_enabled(s, POLICY_LATE_LAST);
	if (c->late)
		c->due = k->longest_ms;
	else if (!policy_is_enabled(s, POLICY_DUE_ORDER))
		c->due = o->job->arrived;
}

/* May tasks of a job be somewhere that is not known yet? */
static bool job_is_hidden(struct sched *s, struct job *j)
{
	return j->inherited && j->start_was_durable && !s->settled &&
	       !job_is_settled(s, j);
}

/*
 * Collect the steps of a job that wait and may fit.  In an overload most wait
 * for room: they are left out before anything is reckoned for them, so that a
 * long queue costs the owner little.
 */
static void candidates_of(struct sched *s, struct placing *p, struct job *j)
{
	const struct route *r = job_route(s, j);
	struct pool *pool = job_pool(s, j);
	struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry) {
		for (i = 0; i < j->body->step_count; i++) {
			if (!step_waits(s, o, i))
				continue;
			s->has_pending_tasks = true;
			if (resources_fit(step_need(&j->body->steps[i]),
					  pool->max_room))
				candidate_add(s, p, r, pool, o, i);
			else
				j->pending_reason = PENDING_CAPACITY;
		}
	}
}

/* Collect what can be placed. */
static void candidates_make(struct sched *s, struct placing *p)
{
	struct job *j;

	TAILQ_FOREACH(j, &s->order, entry) {
		if (j->status > JOB_STATUS_RUNNING)
			continue;
		p->open++;
		if (job_is_hidden(s, j))
			j->pending_reason = PENDING_LEASES;
		else
			candidates_of(s, p, j);
	}
}

/* The order among what waits: pool by pool. */
static int candidate_cmp(const void *a, const void *b)
{
	const struct candidate *x = *(struct candidate *const *)a;
	const struct candidate *y = *(struct candidate *const *)b;

	if (x->pool != y->pool)
		return x->pool < y->pool ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->late != y->late)
		return x->late ? 1 : -1;
	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return strcmp(x->job->id, y->job->id);
}

/* Put what can be placed in its order. */
static void candidates_sort(struct placing *p)
{
	size_t i;

	p->order = xcalloc(p->count + 1, sizeof(struct candidate *));
	for (i = 0; i < p->count; i++)
		p->order[i] = &p->list[i];
	if (p->count)
		qsort(p->order, p->count, sizeof(struct candidate *),
		      candidate_cmp);
}

/* How many tasks of a step are on a worker? */
unsigned step_tasks_on_worker(const struct worker *w,
			      const struct occurrence *o, unsigned at)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (t->occ == o && t->step == at)
			n++;
	return n;
}

/* Has a worker the label that a step needs? */
static bool label_fits(const struct worker *w, bstr label)
{
	size_t i;

	for (i = 0; label.bstr_len && i < w->row.label_count; i++)
		if (bstr_eq(w->row.labels[i], label))
			return true;
	return !label.bstr_len;
}

/* Lasting tasks on a worker. */
static unsigned lasting_on(const struct worker *w)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (task_step(t)->long_running)
			n++;
	return n;
}

/* Tasks of a step in a rack. */
static unsigned rack_siblings(const struct pool *pool, bstr rack,
			      const struct task *t)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < pool->count; i++)
		if (bstr_eq(pool->workers[i]->rack, rack))
			n += step_tasks_on_worker(pool->workers[i], t->occ,
						  t->step);
	return n;
}

/* How well a worker suits a task; below 0: not at all. */
static double worker_merit(struct sched *s, const struct candidate *c,
			   const struct worker *w, const struct task *t)
{
	const struct job_step *st = task_step(t);
	struct resources room = worker_free_room(w);
	double merit, idle;
	bool apart;

	if (!resources_fit(step_need(st), room) ||
	    !label_fits(w, st->required_label))
		return -1;
	if (st->max_per_worker &&
	    step_tasks_on_worker(w, t->occ, t->step) >= st->max_per_worker)
		return -1;
	if (s->now < w->suspect_until && policy_is_enabled(s, POLICY_DOUBT))
		return -1;
	if (c->advised && !advice_ticket(s, t->occ, t->step, w).bstr_len)
		return -1;
	/*
	 * What fills idle cores wants many of them; what serves its own users
	 * is disturbed by the load of others beside it.
	 */
	apart = st->best_effort || st->target_latency_ms ||
		(st->long_running && !policy_is_enabled(s, POLICY_TOGETHER));
	idle = (double)room.cpu / (double)(w->row.capacity.cpu + 1);
	merit = MERIT_FULL * (apart ? idle : 1 - idle);
	if (!policy_is_enabled(s, POLICY_FULLEST))
		merit = MERIT_FULL * idle;
	if (merit < 0)
		merit = 0;
	if (st->preferred_rack.bstr_len && bstr_eq(st->preferred_rack, w->rack))
		merit += MERIT_RACK;
	if (t->avoided_worker != w->serial ||
	    !policy_is_enabled(s, POLICY_AVOID))
		merit += MERIT_NOT_AVOID;
	if (st->same_rack)
		merit += MERIT_SIBLINGS * rack_siblings(c->pool, w->rack, t);
	if (st->long_running)
		merit += MERIT_LASTING * (apart ? 16 - (double)lasting_on(w)
						: (double)lasting_on(w)) +
			 MERIT_SPREAD * (4 - (double)step_tasks_on_worker(
						     w, t->occ, t->step));
	return merit > 0 ? merit : 0;
}

/* The best worker for a task, or NULL. */
static struct worker *worker_choose(struct sched *s, const struct candidate *c,
				    const struct task *t)
{
	const struct pool *pool = c->pool;
	struct worker *best = NULL;
	double top = 0, merit;
	size_t i;

	for (i = 0; i < pool->count; i++) {
		merit = worker_merit(s, c, pool->workers[i], t);
		if (merit >= 0 && (!best || merit > top)) {
			best = pool->workers[i];
			top = merit;
		}
	}
	return best;
}

/* The number of a task's next run. */
static uint64_t run_next(const struct sched *s, const struct task *t)
{
	uint64_t base = (s->own.epoch - 1) * RUNS_PER_EPOCH;

	return (t->highest_run > base ? t->highest_run : base) + 1;
}

/* May each worker with room for a step's task have it? */
static bool step_is_plain(const struct candidate *c, const struct job_step *st)
{
	return !st->required_label.bstr_len && !st->max_per_worker &&
	       !c->advised;
}

/* Reckon how well some workers of a pool suit a task. */
static void merits_reckon(struct sched *s, const struct candidate *c,
			  const struct task *t, double *merits, size_t from,
			  size_t to)
{
	size_t i;

	for (i = from; i < to; i++)
		merits[i] = worker_merit(s, c, c->pool->workers[i], t);
}

/* The place of the best of them; as many as there are: none suits. */
static size_t merits_best(const double *merits, size_t count)
{
	size_t i, best = count;

	for (i = 0; i < count; i++)
		if (merits[i] >= 0 &&
		    (best == count || merits[i] > merits[best]))
			best = i;
	return best;
}

/*
 * Place the tasks of a step, one by one.  They are alike, so what a worker's
 * merits are changes only where one of them is placed; but for a task that is
 * to avoid a worker, and a step whose tasks draw each other into a rack.
 */
static void step_place(struct sched *s, const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	struct task *t = &c->occ->tasks[c->occ->first_task[c->step]];
	size_t chosen = 0, count = c->pool->count;
	double *merits = xcalloc(count + 1, sizeof(*merits));
	bool stale = true; /* all merits, not only those of the last choice */
	enum pending_reason limit;
	unsigned i;

	for (i = 0; i < st->count; i++, t++) {
		if (t->phase != PHASE_PENDING || s->now < t->not_before)
			continue;
		if (start_window_is_full(s))
			break;
		limit = limit_pending_reason(s, c->job, st);
		if (limit) {
			c->job->pending_reason = limit;
			break;
		}
		if (stale || st->same_rack || t->avoided_worker)
			merits_reckon(s, c, t, merits, 0, count);
		else
			merits_reckon(s, c, t, merits, chosen, chosen + 1);
		stale = t->avoided_worker;
		chosen = merits_best(merits, count);
		if (chosen == count) {
			c->job->pending_reason = PENDING_CONSTRAINTS;
			if (step_is_plain(c, st))
				pool_note_full(c->pool, step_need(st));
			break;
		}
		sched_task_start(s, t, c->pool->workers[chosen],
				 run_next(s, t));
	}
	free(merits);
}

/* Undo what was reserved for the first n tasks of a gang. */
static void gang_undo(struct sched *s, struct task *t, struct worker **chosen,
		      unsigned n)
{
	const struct job_step *st = task_step(t);
	struct usage *u = job_usage(s, t->occ->job);
	unsigned i;

	for (i = 0; i < n; i++) {
		chosen[i]->used = resources_sub(chosen[i]->used, st->need);
		u->used = resources_sub(u->used, st->need);
	}
}

/*
 * Place a gang: all of its tasks at once, or none.  Each choice is reserved
 * while the next is made, so that the whole fits.
 */
static void gang_place(struct sched *s, const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	struct task *first = &c->occ->tasks[c->occ->first_task[c->step]];
	struct usage *u = job_usage(s, c->job);
	struct worker **chosen = xcalloc(st->count, sizeof(struct worker *));
	bstr checkpoint = BSTR_NONE;
	uint64_t run = 0;
	unsigned i;

	for (i = 0; i < st->count; i++) {
		chosen[i] = NULL;
		if (first[i].phase == PHASE_PENDING &&
		    s->now >= first[i].not_before &&
		    limit_allows(s, c->job, st))
			chosen[i] = worker_choose(s, c, &first[i]);
		if (!chosen[i])
			break;
		chosen[i]->used = resources_add(chosen[i]->used, st->need);
		u->used = resources_add(u->used, st->need);
		if (run_next(s, &first[i]) > run)
			run = run_next(s, &first[i]);
		if (!checkpoint.bstr_len)
			checkpoint = first[i].checkpoint;
	}
	gang_undo(s, first, chosen, i);
	if (i == st->count) {
		checkpoint = bstr_copy(checkpoint);
		for (i = 0; i < st->count; i++) {
			bstr_set(&first[i].checkpoint, checkpoint);
			sched_task_start(s, &first[i], chosen[i], run);
		}
		bstr_free(&checkpoint);
	}
	free(chosen);
}

/*
 * Have the store know that a job begins, if there is room for it beside those
 * that wait for the same.  In an overload all that waits would begin: the
 * writes of thousands of jobs stand before those of the few that have room,
 * and a successor has to take them all for running somewhere.
 */
static enum pending_reason candidate_begin(struct sched *s,
					   const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	struct resources need = step_need(st);
	unsigned i;

	if (!resources_fit(resources_add(c->pool->promised, need),
			   c->pool->total_room))
		return PENDING_CAPACITY;
	for (i = 0; i < c->occ->unfinished_in_step[c->step]; i++)
		c->pool->promised = resources_add(c->pool->promised, need);
	return job_begin(s, c->job) ? PENDING_NONE : PENDING_STORE;
}

/* What holds a step that may have room back, all of its tasks. */
static enum pending_reason candidate_hold(struct sched *s,
					  const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	enum pending_reason limit;

	limit = limit_pending_reason(s, c->job, st);
	if (limit)
		return limit;
	if (!c->job->start_durable)
		return candidate_begin(s, c);
	if (c->advised &&
	    !advice_ready(s, c->occ, c->step, c->pool->workers, c->pool->count))
		return PENDING_TICKET;
	return PENDING_NONE;
}

/*
 * Place a step, as far as there is room for it.  Of one that has none nothing
 * but its need is looked at: in an overload these are nearly all.
 */
static void candidate_place(struct sched *s, const struct candidate *c)
{
	enum pending_reason hold;

	if (!resources_fit(c->need, c->pool->max_room) ||
	    pool_is_known_full(c->pool, c->need)) {
		if (c->held != PENDING_CAPACITY)
			c->job->pending_reason = PENDING_CAPACITY;
		return;
	}
	hold = candidate_hold(s, c);
	if (hold) {
		/* It has just found room: it waited for something else. */
		if (hold != PENDING_STORE || !c->job->pending_reason)
			c->job->pending_reason = hold;
		return;
	}
	if (c->job->body->steps[c->step].gang)
		gang_place(s, c);
	else
		step_place(s, c);
	pool_measure(c->pool);
}

/*
 * Give each pool its part of the sorted candidates, and find the pools that
 * have any.
 */
static void turns_make(struct sched *s, struct placing *p)
{
	struct pool *pool;
	size_t i;

	p->turns = xcalloc(HASH_COUNT(s->pools) + 1, sizeof(struct pool *));
	for (pool = s->pools; pool; pool = pool->hh.next)
		pool->waiting = pool->waiting_end = NULL;
	for (i = 0; i < p->count; i++) {
		pool = p->order[i]->pool;
		if (!pool->waiting)
			pool->waiting = &p->order[i];
		pool->waiting_end = &p->order[i + 1];
	}
	for (pool = s->pools; pool; pool = pool->hh.next)
		if (pool->waiting)
			p->turns[p->turn_count++] = pool;
}

/* The place of the first pool whose turn has not been in this round. */
static size_t turn_first(const struct sched *s, const struct placing *p)
{
	size_t i;

	for (i = 0; i < p->turn_count; i++)
		if (p->turns[i]->order_index > s->last_pool_index)
			return i;
	return 0;
}

/*
 * Place the candidates, one of each pool in turn, and go on there in the next
 * look.  The window of starts is one for all pools: in one order of all
 * candidates those of a pool with much to do would take it whole, look for
 * look, and other pools would stand empty beside their work.
 */
static void candidates_place(struct sched *s, struct placing *p)
{
	size_t i = turn_first(s, p);
	struct pool *pool;

	while (p->turn_count && !start_window_is_full(s)) {
		pool = p->turns[i];
		s->last_pool_index = pool->order_index;
		candidate_place(s, *pool->waiting++);
		if (pool->waiting < pool->waiting_end)
			i++;
		else
			memmove(&p->turns[i], &p->turns[i + 1],
				(--p->turn_count - i) * sizeof(struct pool *));
		if (i >= p->turn_count)
			i = 0;
	}
}

/* Place what can be placed. */
void place_all(struct sched *s)
{
	struct placing p = {0};

	/* What can't be placed now is looked at again when it can. */
	if (!own_may_start(s) || start_window_is_full(s))
		return;
	s->place_due = s->has_delayed_tasks = s->has_pending_tasks = false;
	s->load.place_passes++;
	pools_refresh(s);
	candidates_make(s, &p);
	s->place_at = s->now + HASH_COUNT(s->workers) / WORKERS_PER_MS;
	if (p.open > JOBS_MANY)
		s->place_at += p.open / JOBS_PER_MS;
	/*
	 * What waits may wait for a pause to end, or for a worker to be well
	 * again, which no event tells: it is looked at again with the clock.
	 */
	s->has_pending_tasks = s->has_pending_tasks || s->has_delayed_tasks;
	candidates_sort(&p);
	turns_make(s, &p);
	candidates_place(s, &p);
	/* The answers that make room for more come by themselves. */
	s->place_due = s->place_due || start_window_is_full(s);
	free(p.turns);
	free(p.order);
	free(p.list);
}
