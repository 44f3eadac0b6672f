#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* Declared or learnt run time from which work counts as long. */
#define LONG_MS 5000
/*
 * Long work that has waited so long goes before short work of its team, but
 * one at a time: behind a backlog of long work all of it is old, and short
 * work would wait for the whole backlog.
 */
#define AGE_MS 20000
/* One in so many slots is kept for short work while such work comes. */
#define QUICK_PART 8
/* Without any for so long, long work has those slots too. */
#define LEND_MS 10000
/* Short work that has waited so long gets them back. */
#define RECLAIM_MS 500
/* One in so many slots may be in the course of being freed. */
#define FREEING_PART 4
/* A task is asked for a checkpoint at most so often. */
#define YIELDS_MAX 3
/*
 * Teams whose use of their shares differs so much are levelled, one slot at
 * a time, when the lower one has waited.
 */
#define LEVEL_FAR 1.25
#define LEVEL_MS 250
#define LEVEL_WAIT_MS 2000

/* The name under which run times are learnt. */
static bstr run_time_name(const struct task *t)
{
	return bstr_printf("%.*s/%.*s/%.*s", BSTR_ARG(t->spec.team),
			   BSTR_ARG(t->spec.pool), BSTR_ARG(t->spec.label));
}

/*
 * Learn how long work under a label runs.  Declared run times are far off;
 * a moving mean of what was seen is closer after a few tasks.
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

/* Urgent as asked; short or long as learnt, or else as declared. */
static enum task_class task_classify(struct state *st, const struct task *t)
{
	struct run_time *r;
	uint32_t ms = t->spec.run_ms;
	bstr name;

	if (t->spec.urgent)
		return CLASS_URGENT;
	if (t->preemptions) /* only long work is asked to */
		return CLASS_LONG;
	name = run_time_name(t);
	HASH_FIND_BSTR(st->run_times, name, r);
	bstr_free(&name);
	if (r)
		ms = r->mean_ms;
	return ms >= LONG_MS ? CLASS_LONG : CLASS_SHORT;
}

/* Put a task at the end of its queue; one that ran before, at the head. */
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

/* Take a task out of its queue. */
void queue_remove(struct cell *c, struct task *t)
{
	TAILQ_REMOVE(&t->team->queue[t->class], t, entry);
	t->team->queued--;
	c->queued--;
}

/* Of two tasks the one that came first; either may be NULL. */
static struct task *task_earlier(struct task *a, struct task *b)
{
	return !a || (b && b->queued_at < a->queued_at) ? b : a;
}

/*
 * May long work take another slot?  Some are kept for short work, which
 * would else wait until long work ends; they are lent out while none comes.
 */
static bool long_may_start(const struct state *st, const struct cell *c)
{
	unsigned kept = (c->slots + QUICK_PART - 1) / QUICK_PART;

	return st->now - c->last_quick_at > LEND_MS ||
	       c->long_running + kept < c->slots;
}

/*
 * The first of a team's tasks of a class.  What has been learnt since it was
 * queued may have put it into another class: it goes there first.
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

/* A team's next task: urgent, then aged long, then short, then long. */
static struct task *team_next(struct state *st, struct cell *c,
			      struct cell_team *team)
{
	struct task *u = TAILQ_FIRST(&team->queue[CLASS_URGENT]);
	struct task *s, *l;

	team_head(st, c, team, CLASS_LONG);
	s = team_head(st, c, team, CLASS_SHORT);
	l = TAILQ_FIRST(&team->queue[CLASS_LONG]); /* it may be new there */

	if (st->queue_policy != QUEUE_SHARES)
		return task_earlier(u, task_earlier(s, l));
	if (u)
		return u;
	if (l && !long_may_start(st, c))
		l = NULL;
	if (l && (!s || (st->now - l->queued_at >= AGE_MS &&
			 st->now - team->last_long_at >= AGE_MS)))
		return l;
	return s;
}

/*
 * How far a team is above its share here: what it runs over its weight.
 * The team that is lowest goes next, so that in a full cell each comes to
 * its share, and what one does not use goes to the others.
 */
static double team_level(struct state *st, const struct cell_team *team)
{
	const struct team *t = config_find_team(st->config, team->team);
	double share = t && t->share ? t->share : 0.01;

	if (st->queue_policy == QUEUE_ROUND_ROBIN)
		return ((double)team->started_count + 1) / share;
	return (team->running + 1) / share;
}

/* Is there room for a task on a worker, once another has left it? */
static bool worker_fits(struct state *st, const struct worker *w,
			const struct task *t, const struct task *left)
{
	static const struct task nothing;
	const job_spec *free_of = left ? &left->spec : &nothing.spec;
	const struct vm *v = vm_find(st, w->vm);
	const vm_row *r;

	if (!v)
		return false;
	if (!boot_recorded(w))
		return false;
	r = &v->row;
	if (w->task_count + w->unconfirmed_count >= r->slots + !!left)
		return false;
	if (r->cpu_milli &&
	    w->cpu_used + t->spec.cpu_milli > r->cpu_milli + free_of->cpu_milli)
		return false;
	if (r->memory_mb && w->memory_used + t->spec.memory_mb >
				    r->memory_mb + free_of->memory_mb)
		return false;
	return w->accelerators_used + t->spec.accelerators <=
	       r->accelerators + free_of->accelerators;
}

/*
 * Is there a usable worker beside one?  A task that failed on a suspect
 * worker avoids it while there is; if there is none, waiting would have no
 * end.
 */
static bool worker_beside(struct state *st, struct cell *c, bstr vm)
{
	struct worker *w, *next;

	HASH_ITER(hh, c->workers, w, next) {
		if (worker_usable(st, w) && !bstr_eq(w->vm, vm))
			return true;
	}
	return false;
}

/* The usable worker with the fewest tasks that has room. */
static struct worker *worker_choose(struct state *st, struct cell *c,
				    const struct task *t)
{
	struct worker *w, *next, *best = NULL;
	bool other = worker_beside(st, c, t->avoid_vm);

	HASH_ITER(hh, c->workers, w, next) {
		if (other && bstr_eq(w->vm, t->avoid_vm))
			continue;
		if (worker_usable(st, w) && worker_fits(st, w, t, NULL) &&
		    (!best || w->task_count < best->task_count))
			best = w;
	}
	return best;
}

/* Put a task on a worker; its start goes with the next command. */
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
 * The team that goes next: one with urgent work first, then the lowest
 * level.  Teams that were found blocked in this pass are left out.
 */
static struct cell_team *team_choose(struct state *st, struct cell *c)
{
	struct cell_team *t, *next, *best = NULL;
	bool urgent, best_urgent = false;
	double level, least = 0;

	HASH_ITER(hh, c->teams, t, next) {
		if (!t->queued || t->blocked)
			continue;
		urgent = !TAILQ_EMPTY(&t->queue[CLASS_URGENT]) &&
			 st->queue_policy == QUEUE_SHARES;
		level = st->queue_policy == QUEUE_FIFO
				? (double)team_next(st, c, t)->queued_at
				: team_level(st, t);
		if (best && (urgent < best_urgent ||
			     (urgent == best_urgent && level >= least)))
			continue;
		best = t;
		best_urgent = urgent;
		least = level;
	}
	return best;
}

/*
 * A task taken for short has run for too long for that: it is long work from
 * now on, and what is declared like it will be taken for long too.
 */
static void task_find_long(struct state *st, struct cell *c, struct task *t)
{
	int64_t ran = st->now - t->started_at;

	if (t->class != CLASS_SHORT || t->adopted || ran < LONG_MS)
		return;
	t->class = CLASS_LONG;
	c->long_running++;
	run_time_observe(st, t, (uint32_t)ran);
}

/*
 * The task that gives up its slot for one that waits: long, not asked too
 * often, repeatable in case its progress is lost, of the team that is
 * furthest above its share; of these the one that has run least.
 */
static struct task *victim_choose(struct state *st, struct cell *c,
				  const struct task *wait)
{
	struct task *t, *best = NULL;
	struct worker *w, *next;
	double level, most = 0;

	HASH_ITER(hh, c->workers, w, next) {
		if (!worker_usable(st, w))
			continue;
		TAILQ_FOREACH(t, &w->tasks, worker_entry) {
			if (t->phase != TASK_ON_WORKER ||
			    t->checkpoint_requested || t->stopping ||
			    t->adopted || !t->spec.may_repeat ||
			    t->preemptions >= YIELDS_MAX ||
			    t->class != CLASS_LONG ||
			    !worker_fits(st, w, wait, t))
				continue;
			level = team_level(st, t->team);
			if (best && (level < most ||
				     (level == most &&
				      t->started_at <= best->started_at)))
				continue;
			best = t;
			most = level;
		}
	}
	return best;
}

/* Ask a task for a checkpoint, and its slot. */
static void task_yield(struct state *st, struct task *t)
{
	t->checkpoint_requested = true;
	t->preemptions++;
	worker_order(st, t->worker, t->id, TASK_CHECKPOINT);
	effect_count(st, COUNT_RETRY_TASK_YIELDED, 1);
}

/* Tasks that have been asked to give up their slots, and long ones in all. */
static unsigned cell_freeing(struct state *st, struct cell *c, unsigned *held)
{
	struct worker *w, *next;
	unsigned n = 0;
	struct task *t;

	*held = 0;
	HASH_ITER(hh, c->workers, w, next) {
		TAILQ_FOREACH(t, &w->tasks, worker_entry) {
			if (t->phase != TASK_ON_WORKER)
				continue;
			task_find_long(st, c, t);
			n += t->checkpoint_requested;
			*held += !t->checkpoint_requested &&
				 t->class == CLASS_LONG;
		}
	}
	return n;
}

/*
 * Free slots for the urgent work, and for the short work that has waited,
 * of a team: as many as wait, less what is being freed.  Short work gets
 * back only the slots that were kept for it and lent out.
 */
static void team_reclaim(struct state *st, struct cell *c,
			 struct cell_team *team, unsigned *waits,
			 unsigned *freeing, unsigned *held)
{
	unsigned kept = (c->slots + QUICK_PART - 1) / QUICK_PART;
	unsigned most = c->slots / FREEING_PART + 1, n = 0;
	uint32_t may = allowance_available(st, c, team);
	enum task_class k;
	struct task *t, *v;

	for (k = CLASS_URGENT; k <= CLASS_SHORT; k++) {
		TAILQ_FOREACH(t, &team->queue[k], entry) {
			if (task_classify(st, t) != k)
				continue;
			if (++n > may || *freeing >= most)
				return;
			if (k == CLASS_SHORT &&
			    (st->now - t->queued_at < RECLAIM_MS ||
			     *held + kept <= c->slots))
				return;
			if (++*waits <= *freeing)
				continue; /* a slot for it is on its way */
			v = victim_choose(st, c, t);
			if (!v)
				return;
			++*freeing;
			--*held;
			task_yield(st, v);
		}
	}
}

/*
 * Let the team furthest above its share give a slot to the one furthest
 * below, if they are far apart: long work holds its slots for so long that
 * a team which came later would have to wait for its share until it ends.
 * Not between teams that are near each other, or the same slot would go
 * back and forth.
 */
static void cell_level(struct state *st, struct cell *c)
{
	struct cell_team *t, *next, *low = NULL;
	struct task *wait, *v;

	if (st->now < c->rebalance_at)
		return;
	HASH_ITER(hh, c->teams, t, next) {
		if (t->queued && allowance_available(st, c, t) &&
		    (!low || team_level(st, t) < team_level(st, low)))
			low = t;
	}
	wait = low ? team_next(st, c, low) : NULL;
	if (!wait || st->now - wait->queued_at < LEVEL_WAIT_MS)
		return;
	v = victim_choose(st, c, wait);
	if (!v || team_level(st, v->team) < LEVEL_FAR * team_level(st, low))
		return;
	c->rebalance_at = st->now + LEVEL_MS;
	task_yield(st, v);
}

/* Free slots for what should not wait, if there is any. */
static void cell_reclaim(struct state *st, struct cell *c)
{
	unsigned waits = 0, freeing = 0, held = 0;
	struct cell_team *team, *next;
	bool counted = false;

	if (st->queue_policy != QUEUE_SHARES)
		return;
	HASH_ITER(hh, c->teams, team, next) {
		if (TAILQ_EMPTY(&team->queue[CLASS_URGENT]) &&
		    TAILQ_EMPTY(&team->queue[CLASS_SHORT]))
			continue;
		if (!counted)
			freeing = cell_freeing(st, c, &held);
		counted = true;
		team_reclaim(st, c, team, &waits, &freeing, &held);
	}
	if (c->queued && !freeing)
		cell_level(st, c);
}

/* Slots of the workers that take work. */
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

/* Start what can be started. */
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
	cell_reclaim(st, c);
	HASH_ITER(hh, c->workers, w, wn)
		worker_flush(st, w);
}

/* Workers that could take work, and slots free on them. */
static unsigned cell_room(struct state *st, struct cell *c, unsigned *usable)
{
	struct worker *w, *next;
	unsigned room = 0;
	struct vm *v;

	*usable = 0;
	HASH_ITER(hh, c->workers, w, next) {
		v = vm_find(st, w->vm);
		if (!v || !worker_usable(st, w))
			continue;
		++*usable;
		if (w->task_count + w->unconfirmed_count < v->row.slots)
			room += v->row.slots - w->task_count -
				w->unconfirmed_count;
	}
	return room;
}

/*
 * Why is a queued task not started?  Names the gate that holds it, with the
 * figures behind it and what would free it.
 */
const char *task_hold_reason(struct state *st, struct cell *c, struct task *t,
			     bstr *detail)
{
	const struct team *team = config_find_team(st->config, t->team->team);
	unsigned usable, room = cell_room(st, c, &usable);
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
	if (!room) {
		*detail = bstr_printf(
			"all slots of %u workers are taken; %u tasks run, %u "
			"wait; freed when one ends",
			usable, c->running, c->queued);
		return "no-free-slot";
	}
	*detail = bstr_printf(
		"%u slots are free, but none on a VM with %u mCPU, %u MB and "
		"%u accelerators left",
		room, t->spec.cpu_milli, t->spec.memory_mb,
		t->spec.accelerators);
	return "no-fit";
}
