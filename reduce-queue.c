/*
 * The scheduler of a cell: which queued task starts next, on which worker,
 * and which running task is preempted for it.  Teams share the slots by
 * weighted fair sharing.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* A task with at least this estimated run time is long. */
#define LONG_TASK_MS 5000
/*
 * A long task that has been queued for this long goes before the short tasks
 * of its team, but only one per this interval: in a backlog every long task
 * is that old, and short tasks would wait for the whole backlog.
 */
#define LONG_AGING_MS 20000
/* 1/RESERVED_DIVISOR of the slots is reserved for short and urgent tasks. */
#define RESERVED_DIVISOR 8
/* Long tasks may use the reserved slots after this long without such tasks. */
#define RESERVED_IDLE_MS 10000
/* A short task that has been queued for this long reclaims such a slot. */
#define RECLAIM_WAIT_MS 500
/* About 1/PREEMPTING_DIVISOR of the slots may be under preemption at once. */
#define PREEMPTING_DIVISOR 4
/* A task is preempted at most this often. */
#define PREEMPTIONS_MAX 3
/*
 * If the weighted usage of two teams differs by at least this factor, and a
 * task of the lower one has been queued for REBALANCE_WAIT_MS, one slot per
 * REBALANCE_INTERVAL_MS is moved to the lower one.
 */
#define REBALANCE_RATIO 1.25
#define REBALANCE_INTERVAL_MS 250
#define REBALANCE_WAIT_MS 2000

/* Returns the key under which the run times of tasks like this are averaged. */
static bstr run_time_name(const struct task *t)
{
	return bstr_printf("%.*s/%.*s/%.*s", BSTR_ARG(t->spec.team),
			   BSTR_ARG(t->spec.pool), BSTR_ARG(t->spec.label));
}

/*
 * Updates the mean run time of tasks with the same team, pool and label.
 * Declared run times are far off; a moving average of observed ones is closer
 * after a few tasks.
 */
void run_time_observe(struct state *st, const struct task *t, uint32_t ran_ms)
{
	struct run_time *r;
	bstr name;

	if (t->adopted)
		return;
	name = run_time_name(t);
	HASH_FIND_BSTR(st->run_times, name, r);
	if (!r) {
		r = xcalloc(1, sizeof(*r));
		r->name = name;
		r->mean_ms = ran_ms;
		HASH_ADD_BSTR(st->run_times, name, r);
		return;
	}
	r->mean_ms = (uint32_t)(((uint64_t)r->mean_ms * 7 + ran_ms) / 8);
	bstr_free(&name);
}

/*
 * Returns the class of a task.  Urgent is requested; short or long is decided
 * by the observed mean run time, or the declared one if none was observed.
 */
static enum task_class task_classify(struct state *st, const struct task *t)
{
	struct run_time *r;
	uint32_t ms = t->spec.run_ms;
	bstr name;

	if (t->spec.urgent)
		return CLASS_URGENT;
	if (t->preemptions) /* only long tasks are preempted */
		return CLASS_LONG;
	name = run_time_name(t);
	HASH_FIND_BSTR(st->run_times, name, r);
	bstr_free(&name);
	if (r)
		ms = r->mean_ms;
	return ms >= LONG_TASK_MS ? CLASS_LONG : CLASS_SHORT;
}

/*
 * Appends a task to its queue; puts one that may have run before at the head.
 */
void queue_add(struct state *st, struct cell *c, struct task *t)
{
	struct task_list *q;

	t->class = task_classify(st, t);
	if (t->class != CLASS_LONG)
		c->last_quick_at = st->now;
	q = &t->team->queue[t->class];
	if (t->may_have_started)
		TAILQ_INSERT_HEAD(q, t, entry);
	else
		TAILQ_INSERT_TAIL(q, t, entry);
	t->team->queued++;
	c->queued++;
	c->dirty = true;
}

/* Removes a task from its queue. */
void queue_remove(struct cell *c, struct task *t)
{
	TAILQ_REMOVE(&t->team->queue[t->class], t, entry);
	t->team->queued--;
	c->queued--;
}

/* Returns the task that was queued first; either may be NULL. */
static struct task *task_earlier(struct task *a, struct task *b)
{
	return !a || (b && b->queued_at < a->queued_at) ? b : a;
}

/*
 * Returns true if another long task may start.  Some slots are reserved for
 * short and urgent tasks, which would otherwise wait for long ones to end.
 * While none of them arrive, long tasks may use the reserved slots.
 */
static bool long_can_start(const struct state *st, const struct cell *c)
{
	unsigned reserved = (c->slots + RESERVED_DIVISOR - 1) /
			    RESERVED_DIVISOR;

	return st->now - c->last_quick_at > RESERVED_IDLE_MS ||
	       c->long_running + reserved < c->slots;
}

/*
 * Returns a team's first queued task of a class, or NULL.  Tasks at the head
 * whose class has changed with the observed run times are requeued first.
 */
static struct task *team_head(struct state *st, struct cell *c,
			      struct cell_team *team, enum task_class k)
{
	struct task *t;

	while ((t = TAILQ_FIRST(&team->queue[k])) &&
	       task_classify(st, t) != k) {
		queue_remove(c, t);
		queue_add(st, c, t);
	}
	return t;
}

/*
 * Returns a team's next task, or NULL: urgent before aged long, before short,
 * before other long tasks.
 */
static struct task *team_next(struct state *st, struct cell *c,
			      struct cell_team *team)
{
	struct task *u = TAILQ_FIRST(&team->queue[CLASS_URGENT]);
	struct task *s, *l;

	team_head(st, c, team, CLASS_LONG);
	s = team_head(st, c, team, CLASS_SHORT);
	/* Looking for a short task may have requeued one as long. */
	l = TAILQ_FIRST(&team->queue[CLASS_LONG]);

	if (st->queue_policy != QUEUE_SHARES)
		return task_earlier(u, task_earlier(s, l));
	if (u)
		return u;
	if (l && !long_can_start(st, c))
		l = NULL;
	if (l && (!s || (st->now - l->queued_at >= LONG_AGING_MS &&
			 st->now - team->last_long_at >= LONG_AGING_MS)))
		return l;
	return s;
}

/*
 * Returns a team's usage of this cell, with one more task, divided by its
 * share.  The team with the lowest weighted usage goes next, so that in a full
 * cell each team gets its share, and the others use what one leaves unused.
 */
static double team_weighted_usage(struct state *st,
				  const struct cell_team *team)
{
	const struct team *t = config_find_team(st->config, team->team);
	double share = t && t->share ? t->share : 0.01;

	if (st->queue_policy == QUEUE_ROUND_ROBIN)
		return ((double)team->started_count + 1) / share;
	return (team->running + 1) / share;
}

/*
 * Returns true if a worker has a slot and the resources for a task, if freed
 * (NULL: none) were no longer on it.
 */
static bool worker_fits(struct state *st, const struct worker *w,
			const struct task *t, const struct task *freed)
{
	static const struct task no_task;
	const job_spec *freed_spec = freed ? &freed->spec : &no_task.spec;
	const struct vm *v = vm_find(st, w->vm);
	const vm_row *r;

	if (!v)
		return false;
	if (!boot_recorded(w))
		return false;
	r = &v->row;
	if (w->task_count + w->unconfirmed_count >= r->slots + !!freed)
		return false;
	if (r->cpu_milli && w->cpu_used + t->spec.cpu_milli >
				    r->cpu_milli + freed_spec->cpu_milli)
		return false;
	if (r->memory_mb && w->memory_used + t->spec.memory_mb >
				    r->memory_mb + freed_spec->memory_mb)
		return false;
	return w->accelerators_used + t->spec.accelerators <=
	       r->accelerators + freed_spec->accelerators;
}

/*
 * Returns true if there is a usable worker other than vm's.  A task that failed
 * on a suspect worker avoids it only if so; else it would wait for ever.
 */
static bool other_worker_usable(struct state *st, struct cell *c, bstr vm)
{
	struct worker *w, *next;

	HASH_ITER(hh, c->workers, w, next) {
		if (worker_usable(st, w) && !bstr_eq(w->vm, vm))
			return true;
	}
	return false;
}

/* Returns the usable worker with the fewest tasks that has room, or NULL. */
static struct worker *worker_choose(struct state *st, struct cell *c,
				    const struct task *t)
{
	struct worker *w, *next, *best = NULL;
	bool avoid = other_worker_usable(st, c, t->avoid_vm);

	HASH_ITER(hh, c->workers, w, next) {
		if (avoid && bstr_eq(w->vm, t->avoid_vm))
			continue;
		if (worker_usable(st, w) && worker_fits(st, w, t, NULL) &&
		    (!best || w->task_count < best->task_count))
			best = w;
	}
	return best;
}

/* Places a task on a worker.  Its start is sent with the next command. */
static void task_start_on(struct state *st, struct cell *c, struct task *t,
			  struct worker *w)
{
	queue_remove(c, t);
	t->team->started_count++;
	if (t->class == CLASS_LONG)
		t->team->last_long_at = st->now;
	t->phase = TASK_STARTING;
	t->start++;
	bstr_free(&t->id);
	t->id = bstr_printf("%.*s/%u/%u/%.*s", BSTR_ARG(t->job), t->attempt,
			    t->start, BSTR_ARG(t->team->team));
	t->unsent = true;
	t->may_have_started_before = t->may_have_started;
	t->started_at = st->now;
	t->view.queued_ms = (uint32_t)(st->now - t->queued_at);
	bstr_set(&t->view.worker, w->vm);
	task_place(c, t, w);
	effect_count(st, COUNT_STARTS, 1);
}

/*
 * Returns the team that goes next, or NULL: one with urgent tasks first, then
 * the one with the lowest weighted usage.  Teams that were found blocked in
 * this pass are skipped.
 */
static struct cell_team *team_choose(struct state *st, struct cell *c)
{
	struct cell_team *t, *next, *best = NULL;
	bool urgent, best_urgent = false;
	double rank, lowest = 0;

	HASH_ITER(hh, c->teams, t, next) {
		if (!t->queued || t->blocked)
			continue;
		urgent = !TAILQ_EMPTY(&t->queue[CLASS_URGENT]) &&
			 st->queue_policy == QUEUE_SHARES;
		rank = st->queue_policy == QUEUE_FIFO
			       ? (double)team_next(st, c, t)->queued_at
			       : team_weighted_usage(st, t);
		if (best && (urgent < best_urgent ||
			     (urgent == best_urgent && rank >= lowest)))
			continue;
		best = t;
		best_urgent = urgent;
		lowest = rank;
	}
	return best;
}

/*
 * Reclassifies a short task as long once it has run for that long, and records
 * the run time, so that its label's other tasks are classified as long too.
 */
static void task_reclassify_long(struct state *st, struct cell *c,
				 struct task *t)
{
	int64_t ran = st->now - t->started_at;

	if (t->class != CLASS_SHORT || t->adopted || ran < LONG_TASK_MS)
		return;
	t->class = CLASS_LONG;
	c->long_running++;
	run_time_observe(st, t, (uint32_t)ran);
}

/*
 * Returns the task to preempt for a waiting one, or NULL.  It must be long, not
 * preempted too often, and repeatable in case its progress is lost.  Of these,
 * it is the latest started of the team with the highest weighted usage.
 */
static struct task *victim_choose(struct state *st, struct cell *c,
				  const struct task *waiting)
{
	struct task *t, *best = NULL;
	struct worker *w, *next;
	double usage, highest = 0;

	HASH_ITER(hh, c->workers, w, next) {
		if (!worker_usable(st, w))
			continue;
		TAILQ_FOREACH(t, &w->tasks, worker_entry) {
			if (t->phase != TASK_ON_WORKER ||
			    t->checkpoint_requested || t->stopping ||
			    t->adopted || !t->spec.may_repeat ||
			    t->preemptions >= PREEMPTIONS_MAX ||
			    t->class != CLASS_LONG ||
			    !worker_fits(st, w, waiting, t))
				continue;
			usage = team_weighted_usage(st, t->team);
			if (best && (usage < highest ||
				     (usage == highest &&
				      t->started_at <= best->started_at)))
				continue;
			best = t;
			highest = usage;
		}
	}
	return best;
}

/* Preempts a task: requests a checkpoint, after which its slot is free. */
static void task_preempt(struct state *st, struct task *t)
{
	t->checkpoint_requested = true;
	t->preemptions++;
	worker_order(st, t->worker, t->id, TASK_CHECKPOINT);
	effect_count(st, COUNT_RETRY_TASK_YIELDED, 1);
}

/*
 * Returns the number of tasks under preemption, and sets long_running to the
 * number of running long tasks that are not.
 */
static unsigned cell_count_preempting(struct state *st, struct cell *c,
				      unsigned *long_running)
{
	struct worker *w, *next;
	unsigned n = 0;
	struct task *t;

	*long_running = 0;
	HASH_ITER(hh, c->workers, w, next) {
		TAILQ_FOREACH(t, &w->tasks, worker_entry) {
			if (t->phase != TASK_ON_WORKER)
				continue;
			task_reclassify_long(st, c, t);
			n += t->checkpoint_requested;
			*long_running += !t->checkpoint_requested &&
					 t->class == CLASS_LONG;
		}
	}
	return n;
}

/*
 * Preempts tasks for a team's urgent tasks, and for its short tasks that have
 * waited: as many as wait, less those under preemption already.  Short tasks
 * reclaim only reserved slots that long tasks use.  The counts are running
 * totals over all teams.
 */
static void team_reclaim(struct state *st, struct cell *c,
			 struct cell_team *team, unsigned *waiting,
			 unsigned *preempting, unsigned *long_running)
{
	unsigned reserved = (c->slots + RESERVED_DIVISOR - 1) /
			    RESERVED_DIVISOR;
	unsigned max = c->slots / PREEMPTING_DIVISOR + 1, n = 0;
	uint32_t available = allowance_available(st, c, team);
	enum task_class k;
	struct task *t, *victim;

	for (k = CLASS_URGENT; k <= CLASS_SHORT; k++) {
		TAILQ_FOREACH(t, &team->queue[k], entry) {
			if (task_classify(st, t) != k)
				continue;
			if (++n > available || *preempting >= max)
				return;
			if (k == CLASS_SHORT &&
			    (st->now - t->queued_at < RECLAIM_WAIT_MS ||
			     *long_running + reserved <= c->slots))
				return;
			if (++*waiting <= *preempting)
				continue; /* a slot is being freed for it */
			victim = victim_choose(st, c, t);
			if (!victim)
				return;
			++*preempting;
			--*long_running;
			task_preempt(st, victim);
		}
	}
}

/*
 * Preempts a task of the team with the highest weighted usage for the waiting
 * team with the lowest, if the two differ enough.  Long tasks hold their slots
 * for so long that a team which came later would otherwise wait for its share
 * until they end.  Teams that are close to each other are left alone, as the
 * same slot would go back and forth between them.
 */
static void cell_rebalance(struct state *st, struct cell *c)
{
	struct cell_team *t, *next, *lowest = NULL;
	struct task *waiting, *victim;

	if (st->now < c->rebalance_at)
		return;
	HASH_ITER(hh, c->teams, t, next) {
		if (t->queued && allowance_available(st, c, t) &&
		    (!lowest || team_weighted_usage(st, t) <
					team_weighted_usage(st, lowest)))
			lowest = t;
	}
	waiting = lowest ? team_next(st, c, lowest) : NULL;
	if (!waiting || st->now - waiting->queued_at < REBALANCE_WAIT_MS)
		return;
	victim = victim_choose(st, c, waiting);
	if (!victim ||
	    team_weighted_usage(st, victim->team) <
		    REBALANCE_RATIO * team_weighted_usage(st, lowest))
		return;
	c->rebalance_at = st->now + REBALANCE_INTERVAL_MS;
	task_preempt(st, victim);
}

/*
 * Preempts tasks for those that should not wait for a slot, if there are any.
 */
static void cell_preempt(struct state *st, struct cell *c)
{
	unsigned waiting = 0, preempting = 0, long_running = 0;
	struct cell_team *team, *next;
	bool counted = false;

	if (st->queue_policy != QUEUE_SHARES)
		return;
	HASH_ITER(hh, c->teams, team, next) {
		if (TAILQ_EMPTY(&team->queue[CLASS_URGENT]) &&
		    TAILQ_EMPTY(&team->queue[CLASS_SHORT]))
			continue;
		if (!counted)
			preempting = cell_count_preempting(st, c,
							   &long_running);
		counted = true;
		team_reclaim(st, c, team, &waiting, &preempting, &long_running);
	}
	if (c->queued && !preempting)
		cell_rebalance(st, c);
}

/* Returns the number of slots of all usable workers. */
static unsigned cell_slots_usable(struct state *st, struct cell *c)
{
	struct worker *w, *next;
	unsigned n = 0;

	HASH_ITER(hh, c->workers, w, next) {
		if (worker_usable(st, w))
			n += vm_find(st, w->vm)->row.slots;
	}
	return n;
}

/*
 * Runs a scheduling pass: starts all tasks that can start, preempts, and sends
 * commands.
 */
void cell_schedule(struct state *st, struct cell *c)
{
	struct cell_team *team, *tn;
	struct worker *w, *wn;
	struct task *t;

	c->slots = cell_slots_usable(st, c);
	HASH_ITER(hh, c->teams, team, tn)
		team->blocked = false;
	while ((team = team_choose(st, c))) {
		t = team_next(st, c, team);
		w = t && allowance_available(st, c, team)
			    ? worker_choose(st, c, t)
			    : NULL;
		if (w)
			task_start_on(st, c, t, w);
		else
			team->blocked = true;
	}
	cell_preempt(st, c);
	HASH_ITER(hh, c->workers, w, wn)
		worker_flush(st, w);
}

/*
 * Returns the number of free slots on usable workers, and sets usable to the
 * number of these workers.
 */
static unsigned cell_free_slots(struct state *st, struct cell *c,
				unsigned *usable)
{
	struct worker *w, *next;
	unsigned free_slots = 0;
	struct vm *v;

	*usable = 0;
	HASH_ITER(hh, c->workers, w, next) {
		v = vm_find(st, w->vm);
		if (!v || !worker_usable(st, w))
			continue;
		++*usable;
		if (w->task_count + w->unconfirmed_count < v->row.slots)
			free_slots += v->row.slots - w->task_count -
				      w->unconfirmed_count;
	}
	return free_slots;
}

/*
 * Returns the reason why a queued task is not started.  Sets detail to the
 * numbers behind it and what would let the task start.
 */
const char *task_wait_reason(struct state *st, struct cell *c, struct task *t,
			     bstr *detail)
{
	const struct team *team = config_find_team(st->config, t->team->team);
	unsigned usable, free_slots = cell_free_slots(st, c, &usable);
	uint32_t used = team_used(t->team);

	if (!HASH_COUNT(c->workers)) {
		*detail = bstr_printf("the pool has no VM in %.*s: add one",
				      BSTR_ARG(c->unit->id.dc));
		return "no-vm";
	}
	if (!usable) {
		*detail = bstr_printf(
			"none of the %u VMs takes work: silent, draining, "
			"leaving or set aside; see 'vm show'",
			HASH_COUNT(c->workers));
		return "no-usable-worker";
	}
	if (!team || !team->limit || used >= team->limit) {
		*detail = bstr_printf(
			"the team runs %u here, its upper limit is %u; "
			"freed when one ends or by 'team limit'",
			used, team ? team->limit : 0);
		return "upper-limit";
	}
	if (!allowance_available(st, c, t->team)) {
		*detail = bstr_printf(
			"the team runs %u of the %u that this cell holds of "
			"its upper limit %u; other cells hold the rest, or "
			"the platform has not answered",
			used, t->team->allowance, team->limit);
		return "allowance";
	}
	if (!free_slots) {
		*detail = bstr_printf(
			"all slots of %u workers are taken; %u tasks run, %u "
			"wait; freed when one ends",
			usable, c->running, c->queued);
		return "no-free-slot";
	}
	*detail = bstr_printf(
		"%u slots are free, but none on a VM with %u mCPU, %u MB and "
		"%u accelerators left",
		free_slots, t->spec.cpu_milli, t->spec.memory_mb,
		t->spec.accelerators);
	return "no-fit";
}
