/*
 * Moves machines between pools: to a pool that will need more than it has (see
 * sched-forecast.c), first from the standby pool, then from pools that can
 * spare them; and back to the standby pool, where a machine costs nothing, once
 * it is idle.  A move ends everything that runs on the machine, so only
 * machines without tasks are moved.
 */
#include "sched-demand.h"

#include <math.h>
#include <stdlib.h>

/* Interval between passes; each pass iterates over all jobs. */
#define MOVE_INTERVAL_MS (1000 / MOVE_PASSES_PER_S)
/* A pool that needs longer than this for its work is busy. */
#define DRAIN_LOW_MS 250.0
/*
 * A machine is idle for this long before it leaves its pool.  Until then it can
 * go to the next pool that needs it directly, without moving through standby.
 */
#define IDLE_MIN_MS 2500
/*
 * The moves begun within a second are at most the platform's limit of calls per
 * second less a part of it, which is left to maintenance waves and to repeated
 * moves.  Those of one pass are at most a part as well, as the platform may
 * count calls over less than a second.  A change of load can require a third of
 * all machines to move at once.
 */
#define MOVES_RESERVED_DIVISOR 5
#define MOVES_PASS_DIVISOR 5

/*
 * An idle machine and its pool.  The machine is NULL once it has been chosen.
 */
struct idle_machine {
	struct machine *machine;
	struct pool_load *from;
};

/*
 * Returns true if a machine can be moved: it has been without tasks for the
 * given time, or it is in standby.  A standby machine is switched off and has
 * no worker.
 */
static bool machine_is_idle(struct sched *s, struct machine *m, int64_t since)
{
	struct worker *w = m->worker.bstr_len ? worker_find(s, m->worker)
					      : NULL;
	const struct service *pool = service_named(s, m->pool);

	if (m->state != MACHINE_UP || s->now < m->moving_until ||
	    s->now < m->retry_at || m->move_unanswered ||
	    dc_is_evacuated(s, m->dc))
		return false;
	if (pool && pool->standby)
		return true;
	return w && w->fenced && TAILQ_EMPTY(&w->tasks) &&
	       worker_ends_durable(w) && w->listed && !w->row.draining &&
	       !w->takedown_pending && s->now >= w->reserved_until &&
	       s->now - w->idle_since >= since;
}

/* Returns the cores up to which a pool gets machines. */
static double pool_target_cores(const struct sched *s,
				const struct pool_loads *l,
				const struct pool_load *p)
{
	double need = pool_need_cores(s, p);

	return l->divided && p->claim.granted_cores < need
		       ? p->claim.granted_cores
		       : need;
}

/*
 * Returns the cores below which a pool gives no machine to another: what it
 * needs, also if it was granted less, or what it was granted for its next peak.
 * A machine that is empty for a moment in a pool with a queue would be lost for
 * the time of a move.
 */
static double pool_kept_cores(const struct sched *s, const struct pool_loads *l,
			      const struct pool_load *p)
{
	double need = pool_need_cores(s, p);

	return l->divided && p->claim.granted_cores > need
		       ? p->claim.granted_cores
		       : need;
}

/*
 * Returns true if a pool can give away one of its machines without tasks, and
 * keeps least_cores.  Standby pools and pools that no route names always can.
 * Tasks that already run need no other machine.
 */
static bool pool_can_spare(const struct pool_load *p, double machine_cores,
			   double least_cores)
{
	double left = pool_room_cores(p, machine_cores) - machine_cores;

	return p->service->standby || !p->routed || left >= least_cores;
}

/* Returns how many moves may begin in this pass. */
static unsigned moves_limit(const struct sched *s)
{
	unsigned rate = s->options.machine_calls_per_s, begun = 0, i;
	unsigned most = rate - rate / MOVES_RESERVED_DIVISOR;
	unsigned most_in_pass = rate / MOVES_PASS_DIVISOR + 1;

	for (i = 0; i < MOVE_PASSES_PER_S; i++)
		begun += s->moves_begun[i];
	if (begun >= most)
		return 0;
	return most - begun < most_in_pass ? most - begun : most_in_pass;
}

/* Returns the machines that can be moved now.  The caller frees the array. */
static struct idle_machine *idle_machines_collect(struct sched *s,
						  struct pool_loads *l,
						  size_t *count)
{
	struct idle_machine *list = xcalloc(HASH_COUNT(s->machines) + 1,
					    sizeof(*list));
	struct machine *m, *next;
	struct pool_load *from;

	*count = 0;
	HASH_ITER(hh, s->machines, m, next) {
		from = pool_load_find(l, m->pool);
		if (from && machine_is_idle(s, m, 0))
			list[(*count)++] = (struct idle_machine){m, from};
	}
	return list;
}

/*
 * Returns the cores of the machines that no pool with a route has, and that can
 * be moved to one.
 */
static double idle_machines_free_cores(const struct idle_machine *list,
				       size_t count, double machine_cores)
{
	double cores = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (list[i].from->service->standby || !list[i].from->routed)
			cores += machine_cores;
	return cores;
}

/* Determines for each pool whether it can spare a machine for one in need. */
static void pools_mark_spare(const struct sched *s, struct pool_loads *l,
			     double machine_cores)
{
	struct pool_load *p;
	double reserve;
	size_t i;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		reserve = pool_reserve_cores(s, p, machine_cores);
		p->can_spare = pool_can_spare(
			p, machine_cores,
			fmax(reserve, pool_kept_cores(s, l, p)));
	}
}

/*
 * Returns a machine for a pool: one in standby if there is any, else one of a
 * pool that can spare it; NULL if there is none.
 */
static struct idle_machine *idle_machine_choose(struct idle_machine *list,
						size_t count,
						const struct pool_load *to)
{
	struct idle_machine *best = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!list[i].machine || list[i].from == to ||
		    !list[i].from->can_spare)
			continue;
		if (list[i].from->service->standby)
			return &list[i];
		if (!best)
			best = &list[i];
	}
	return best;
}

/*
 * Returns how many times the cores that it will have a pool needs; 0 if it has
 * enough, or if the owner takes longer to start its tasks than its workers to
 * run them: machines moved there would stand idle, and the pool would seem ever
 * less loaded.
 */
static double pool_shortage(const struct sched *s, const struct pool_loads *l,
			    const struct pool_load *p, double machine_cores)
{
	double room = pool_room_cores(p, machine_cores);
	double need = pool_target_cores(s, l, p);

	if (p->stranded > p->arriving)
		return HUGE_VAL;
	if (need < room + machine_cores / 2 ||
	    pool_lacks_machines_ms(p, machine_cores) <= 0)
		return 0;
	return need / (room > machine_cores ? room : machine_cores);
}

/* Returns the pool with the largest shortage, or NULL if none has any. */
static struct pool_load *pool_shortest(const struct sched *s,
				       struct pool_loads *l,
				       double machine_cores)
{
	struct pool_load *shortest = NULL;
	double most = 0, shortage;
	size_t i;

	for (i = 0; i < l->count; i++) {
		if (!l->list[i].routed || l->list[i].service->standby)
			continue;
		shortage = pool_shortage(s, l, &l->list[i], machine_cores);
		if (shortage > most) {
			shortest = &l->list[i];
			most = shortage;
		}
	}
	return shortest;
}

/*
 * Moves machines to the pools that need more than they have, and sets begun to
 * the number of moves.  Returns true if some pool still needs more.
 */
static bool moves_to_loaded(struct sched *s, struct pool_loads *l,
			    double machine_cores, unsigned *begun)
{
	unsigned n, max = moves_limit(s);
	struct pool_load *to = NULL;
	struct idle_machine *list, *spare;
	size_t count;

	list = idle_machines_collect(s, l, &count);
	l->standby_cores = idle_machines_free_cores(list, count, machine_cores);
	pools_divide(s, l, machine_cores);
	for (n = 0; n < max; n++) {
		to = pool_shortest(s, l, machine_cores);
		if (!to)
			break;
		pools_mark_spare(s, l, machine_cores);
		spare = idle_machine_choose(list, count, to);
		if (!spare)
			break;
		pool_load_remove_machine(s, spare->from, spare->machine,
					 machine_cores);
		to->arriving++;
		machine_move(s, spare->machine, to->service->name, "burst");
		spare->machine = NULL;
	}
	free(list);
	sched_count(s, COUNT_MOVES_BURST, n);
	*begun = n;
	return to;
}

/*
 * Returns the cores for which idle machines stay in a pool that no other pool
 * needs them from.
 */
static double pool_idle_cores(const struct sched *s, const struct pool_load *p,
			      double machine_cores)
{
	if (!policy_is_enabled(s, POLICY_PARKING))
		return machine_cores * p->home_size;
	return pool_keep_cores(s, p, machine_cores);
}

/*
 * Returns a pool that has fewer machines than its home size and less room than
 * its idle machines stay for, or NULL.
 */
static struct pool_load *pool_below_keep(const struct sched *s,
					 struct pool_loads *l,
					 double machine_cores)
{
	struct pool_load *p;
	size_t i;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		if (p->routed && !p->service->standby &&
		    p->workers + p->arriving < p->home_size &&
		    pool_room_cores(p, machine_cores) <
			    pool_idle_cores(s, p, machine_cores))
			return p;
	}
	return NULL;
}

/*
 * Moves idle machines to pools below what they keep, else to standby.  Returns
 * the number of moves begun.
 */
static unsigned moves_from_idle(struct sched *s, struct pool_loads *l,
				double machine_cores)
{
	struct machine *m, *next;
	struct pool_load *from, *standby = NULL, *to;
	int64_t idle_min = policy_is_enabled(s, POLICY_IDLE_STAY) ? IDLE_MIN_MS
								  : 0;
	unsigned n = 0, max = moves_limit(s);
	size_t i;

	for (i = 0; i < l->count; i++)
		if (l->list[i].service->standby)
			standby = &l->list[i];
	if (!standby)
		return 0;
	HASH_ITER(hh, s->machines, m, next) {
		from = pool_load_find(l, m->pool);
		if (n >= max || !from || from->service->standby ||
		    !machine_is_idle(s, m, idle_min) ||
		    !pool_can_spare(
			    from, machine_cores,
			    fmax(pool_need_cores(s, from),
				 pool_idle_cores(s, from, machine_cores))))
			continue;
		to = pool_below_keep(s, l, machine_cores);
		if (!to)
			to = standby;
		pool_load_remove_machine(s, from, m, machine_cores);
		to->arriving++;
		machine_move(s, m, to->service->name,
			     to == standby ? "idle" : "home");
		sched_count(s,
			    to == standby ? COUNT_MOVES_IDLE : COUNT_MOVES_HOME,
			    1);
		n++;
	}
	return n;
}

/* Updates the queues by which new jobs are admitted. */
static void admissions_update(struct sched *s, const struct pool_loads *l,
			      double machine_cores)
{
	double queue_ms, objective_ms;
	const struct pool_load *p;
	size_t i;

	admissions_drop_unconfigured(s);
	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		if (!p->routed || !p->queued_jobs ||
		    !policy_is_enabled(s, POLICY_ADMISSION)) {
			admission_clear(s, p->service->name);
			continue;
		}
		queue_ms = pool_queue_ms(p, machine_cores);
		objective_ms = p->objective_sum_ms / p->queued_jobs;
		if (p->answered)
			admission_set(s, p->service->name, queue_ms,
				      objective_ms);
		else
			admission_hold(s, p->service->name, queue_ms,
				       objective_ms);
	}
}

/* Stores the time that each pool needs for its work; used by waves. */
static void backlogs_update(struct sched *s, const struct pool_loads *l,
			    double machine_cores)
{
	size_t i;

	backlogs_free(s);
	s->backlogs = xcalloc(l->count + 1, sizeof(*s->backlogs));
	s->backlog_count = l->count;
	for (i = 0; i < l->count; i++) {
		s->backlogs[i].pool = bstr_copy(l->list[i].service->name);
		s->backlogs[i].duration_ms = pool_drain_ms(&l->list[i],
							   machine_cores);
	}
}

/* Frees the times that pools need for their work. */
void backlogs_free(struct sched *s)
{
	size_t i;

	for (i = 0; i < s->backlog_count; i++)
		bstr_free(&s->backlogs[i].pool);
	free(s->backlogs);
	s->backlogs = NULL;
	s->backlog_count = 0;
}

/*
 * Returns true if a pool needs longer than DRAIN_LOW_MS for its work.  A new
 * owner that has made no pass yet can't tell, so all pools count as busy;
 * otherwise waves would take machines during a burst.
 */
bool pool_is_busy(const struct sched *s, bstr pool)
{
	size_t i;

	if (!s->backlogs)
		return true;
	for (i = 0; i < s->backlog_count; i++)
		if (bstr_eq(s->backlogs[i].pool, pool))
			return s->backlogs[i].duration_ms > DRAIN_LOW_MS;
	return false;
}

/*
 * Moves machines where they are needed.  None is moved until the store has
 * recorded the initial sizes of the pools: a list of machines that is read
 * later shows other sizes, and machines lent to a pool would count as its own
 * from then on.
 */
static void machines_move(struct sched *s, struct pool_loads *l,
			  double machine_cores)
{
	unsigned begun = 0;
	bool short_of_machines = false;

	if (!own_is_exclusive(s) || !s->machine_list_complete ||
	    !s->home_sizes_durable)
		return;
	backlogs_update(s, l, machine_cores);
	if (policy_is_enabled(s, POLICY_MOVES))
		short_of_machines = moves_to_loaded(s, l, machine_cores,
						    &begun);
	if (!short_of_machines && !begun)
		begun = moves_from_idle(s, l, machine_cores);
	s->moves_begun[s->move_pass] = begun;
}

/*
 * Runs a pass over all pools.  Their queues are computed also while no machine
 * may be moved: without that, an owner that can't read the list of machines
 * would seem not to work, and callers would be refused.
 */
void move_tick(struct sched *s)
{
	struct pool_loads l;
	double machine_cores;

	if (!own_may_order(s) || !s->config || s->now < s->move_at)
		return;
	s->move_at = s->now + MOVE_INTERVAL_MS;
	s->move_pass = (s->move_pass + 1) % MOVE_PASSES_PER_S;
	s->moves_begun[s->move_pass] = 0;
	moves_repeat(s);
	pool_loads_read(s, &l);
	machine_cores = machine_mean_cores(&l);
	admissions_update(s, &l, machine_cores);
	fair_queues_update(s, &l, machine_cores);
	shares_update(s);
	machines_move(s, &l, machine_cores);
	pool_loads_log(s, &l, machine_cores);
	pool_loads_free(&l);
}
