/*
 * Pools: the workers of each service, their free resources, and how many of
 * them may have runs that are not known.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Sets the free resources of a pool to those of no worker. */
static void pool_clear_room(struct pool *p)
{
	p->max_room = (struct resources){-1, -1, -1};
	p->total_room = p->max_holders = (struct resources){0, 0, 0};
	p->max_is_stale = false;
}

/* Returns the pool of a service, and adds it if it is new. */
struct pool *pool_of(struct sched *s, bstr service)
{
	struct pool *p;

	HASH_FIND_BSTR(s->pools, service, p);
	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	p->service = bstr_copy(service);
	p->order_index = HASH_COUNT(s->pools) + 1;
	pool_clear_room(p);
	HASH_ADD_BSTR(s->pools, service, p);
	return p;
}

/* Returns the pool that runs a job, according to the configuration in force. */
struct pool *job_pool(struct sched *s, struct job *j)
{
	bstr service = job_service(s, j);

	if (!j->estimate.pool)
		j->estimate.pool = pool_of(s, service);
	return j->estimate.pool;
}

/* Returns true if all runs of earlier owners on a worker are known. */
static bool worker_runs_are_known(const struct worker *w)
{
	return !w->inherited || w->gone || (w->fenced && !w->ends_truncated);
}

/* Removes a worker from the counts of unknown workers. */
void worker_clear_unknown(struct sched *s, struct worker *w)
{
	if (!w->unknown)
		return;
	w->unknown = false;
	w->pool->unknown--;
	s->unknown_count--;
}

/*
 * Assigns a worker to the pool of its service, and counts it there if its runs
 * are unknown.  Must be called when its service changes or its runs become
 * known or unknown.  During a takeover the count is used for each job and
 * worker, and iterating over the workers each time would take all of the
 * owner's time.
 */
void worker_update_unknown(struct sched *s, struct worker *w)
{
	worker_clear_unknown(s, w);
	w->pool = pool_of(s, w->row.service);
	if (worker_runs_are_known(w))
		return;
	w->unknown = true;
	w->pool->unknown++;
	s->unknown_count++;
}

/*
 * Returns true if the runs of all workers of a service are known.  Tasks of
 * earlier owners may run on workers that have not answered and may still hold a
 * lease.
 */
bool pool_is_settled(struct sched *s, bstr service)
{
	return !s->unknown_count || (!pool_of(s, service)->unknown &&
				     !pool_of(s, BSTR_NONE)->unknown);
}

/*
 * Returns the free resources of a worker.  They are negative if its capacity
 * has shrunk below what it runs.
 */
struct resources worker_free_room(const struct worker *w)
{
	return resources_sub(w->row.capacity, w->used);
}

/* Adds a worker's free amount of a resource to the largest of its pool. */
static void largest_add(int64_t room, int64_t *largest, int64_t *holders)
{
	if (room < *largest)
		return;
	*holders = room > *largest ? 1 : *holders + 1;
	*largest = room;
}

/* Adds the free resources of a worker to those of its pool. */
static void pool_add_room(struct pool *p, struct resources r)
{
	const struct resources none = {0, 0, 0};

	p->total_room = resources_add(p->total_room, resources_max(r, none));
	largest_add(r.cpu, &p->max_room.cpu, &p->max_holders.cpu);
	largest_add(r.memory, &p->max_room.memory, &p->max_holders.memory);
	largest_add(r.gpus, &p->max_room.gpus, &p->max_holders.gpus);
}

/*
 * Computes the free resources of a pool: the sum, and the most of each resource
 * that any worker has.  A worker whose capacity has shrunk below what it runs
 * has a negative amount, which doesn't reduce the sum: the others still have
 * their room, and jobs that fit there would wait.
 */
void pool_measure(struct sched *s, struct pool *p)
{
	size_t i;

	pool_clear_room(p);
	s->load.measured_rooms += (unsigned)p->count;
	for (i = 0; i < p->count; i++)
		if (!crash_closes_worker(s, p->workers[i]) &&
		    !lookahead_binds(s, p->workers[i]))
			pool_add_room(p, worker_free_room(p->workers[i]));
}

/*
 * Takes a worker's amount of a resource from the holders of the largest one.
 * Returns true if none is left.
 */
static bool largest_take(int64_t room, int64_t need, int64_t largest,
			 int64_t *holders)
{
	return need && room == largest && !--*holders;
}

/*
 * Subtracts what a task takes from the free resources of a pool; room is that
 * of the task's worker before it.  Sets max_is_stale if another worker may have
 * the most of a resource now, which needs a new measurement.  Measuring the
 * pool after each step would cost an owner more than choosing the workers.
 */
void pool_take_room(struct pool *p, struct resources room,
		    struct resources need)
{
	const struct resources *max = &p->max_room;
	struct resources *holders = &p->max_holders;

	p->total_room = resources_sub(p->total_room, need);
	if (largest_take(room.cpu, need.cpu, max->cpu, &holders->cpu))
		p->max_is_stale = true;
	if (largest_take(room.memory, need.memory, max->memory,
			 &holders->memory))
		p->max_is_stale = true;
	if (largest_take(room.gpus, need.gpus, max->gpus, &holders->gpus))
		p->max_is_stale = true;
}

/* Measures a pool again if its largest free amounts may have changed. */
void pool_measure_if_stale(struct sched *s, struct pool *p)
{
	if (p->max_is_stale)
		pool_measure(s, p);
}

/*
 * Returns the run time that counts for what a pool is known to have no room
 * for.  Holds don't bind long-running tasks, so these only have no room where
 * the shortest ones have none.
 */
static int64_t run_ms_bound(int64_t run_ms)
{
	return run_ms == LOOKAHEAD_NEVER ? 0 : run_ms;
}

/*
 * Returns true if it is known that no worker of a pool takes a task with a need
 * and an expected run time.  Free resources only decrease during a placement
 * pass, and holds are only added, so a task that was not placeable rules out
 * all that need at least as much for at least as long.
 */
bool pool_is_known_full(const struct pool *p, struct resources need,
			int64_t run_ms)
{
	size_t i;

	for (i = 0; i < p->unplaceable_count; i++)
		if (resources_fit(p->unplaceable[i].need, need) &&
		    run_ms_bound(run_ms) >= p->unplaceable[i].run_ms)
			return true;
	return false;
}

/*
 * Records that no worker of a pool takes a task.  Without held workers that
 * does not depend on how long it would run.
 */
void pool_note_full(struct pool *p, struct resources need, int64_t run_ms)
{
	run_ms = p->held_count ? run_ms_bound(run_ms) : 0;
	if (pool_is_known_full(p, need, run_ms))
		return;
	if (p->unplaceable_count < UNPLACEABLE_MAX)
		p->unplaceable_count++;
	p->unplaceable[p->unplaceable_count - 1] = (struct unplaceable){need,
									run_ms};
}

/* Adds a worker to those of its pool that may get tasks. */
static void pool_add(struct sched *s, struct pool *p, struct worker *w)
{
	s->load.measured_rooms++;
	p->max_capacity = resources_max(p->max_capacity, w->row.capacity);
	if (!crash_closes_worker(s, w))
		pool_add_room(p, worker_free_room(w));
	if (p->count == p->space) {
		p->space = p->space ? 2 * p->space : 64;
		p->workers = xrealloc(p->workers, p->space,
				      sizeof(struct worker *));
	}
	p->workers[p->count++] = w;
}

/*
 * Adds a worker to those that get no tasks of their pool because their data
 * centre is evacuated.
 */
static void pool_add_evacuated(struct pool *p, const struct worker *w)
{
	p->max_evacuated = resources_max(p->max_evacuated, w->row.capacity);
}

/* Updates the eligible workers of all pools for a placement pass. */
void pools_refresh(struct sched *s)
{
	struct worker *w, *next;
	struct pool *p;
	bool eligible;

	for (p = s->pools; p; p = p->hh.next) {
		p->count = p->unplaceable_count = p->held_count = 0;
		p->large_steps = 0;
		p->compared = false;
		p->reserved = (struct resources){0, 0, 0};
		p->max_capacity = p->max_evacuated = (struct resources){-1, -1,
									-1};
		pool_clear_room(p);
	}
	HASH_ITER(hh, s->workers, w, next) {
		eligible = worker_is_eligible(s, w);
		lookahead_refresh(s, w, eligible);
		if (eligible)
			pool_add(s, w->pool, w);
		else if (worker_is_evacuated(s, w) && worker_is_healthy(s, w))
			pool_add_evacuated(w->pool, w);
	}
}

/*
 * Returns why a need has no room in a pool: the workers are full, or only those
 * in evacuated data centres could have it.
 */
enum pending_reason pool_full_reason(const struct pool *p,
				     struct resources need)
{
	if (!resources_fit(need, p->max_capacity) &&
	    resources_fit(need, p->max_evacuated))
		return PENDING_EVACUATION;
	return PENDING_CAPACITY;
}

/* Frees the pools.  No worker and no job may refer to them. */
void pools_free(struct sched *s)
{
	struct pool *p, *next;

	HASH_ITER(hh, s->pools, p, next) {
		HASH_DEL(s->pools, p);
		bstr_free(&p->service);
		free(p->workers);
		free(p);
	}
}
