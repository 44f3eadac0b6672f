/*
 * The pools: the workers of each service, which of them may get work and what
 * room they have, and of how many it is not known what they run.
 */
#include "sched-state.h"

#include <stdlib.h>

/* The pool of a service, made if there is none. */
struct pool *pool_of(struct sched *s, bstr service)
{
	struct pool *p;

	HASH_FIND_BSTR(s->pools, service, p);
	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	p->service = bstr_copy(service);
	p->order_index = HASH_COUNT(s->pools) + 1;
	p->max_room = (struct resources){-1, -1, -1};
	HASH_ADD_BSTR(s->pools, service, p);
	return p;
}

/* The pool whose workers run a job, by the configuration in force. */
struct pool *job_pool(struct sched *s, struct job *j)
{
	bstr service = job_service(s, j);

	if (!j->estimate.pool)
		j->estimate.pool = pool_of(s, service);
	return j->estimate.pool;
}

/* Is it known which runs of earlier owners a worker has, or had? */
static bool worker_is_known(const struct worker *w)
{
	return !w->inherited || w->gone ||
	       (w->fenced && !w->ends_truncated && !w->ends_held);
}

/* A worker counts no more. */
void worker_uncount(struct sched *s, struct worker *w)
{
	if (!w->unknown)
		return;
	w->unknown = false;
	w->pool->unknown--;
	s->unknown_count--;
}

/*
 * Count a worker in the pool of its service, and as unknown there if so.  To
 * be called when one of both changes: at a takeover it is asked for each job
 * and worker, and a walk over the workers each time would be all that the
 * owner does.
 */
void worker_count(struct sched *s, struct worker *w)
{
	worker_uncount(s, w);
	w->pool = pool_of(s, w->row.service);
	if (worker_is_known(w))
		return;
	w->unknown = true;
	w->pool->unknown++;
	s->unknown_count++;
}

/*
 * Is it known of all workers of a service what they run?  Tasks of earlier
 * owners may be on those that have not answered and may still hold a lease.
 */
bool pool_is_settled(struct sched *s, bstr service)
{
	return !s->unknown_count || (!pool_of(s, service)->unknown &&
				     !pool_of(s, BSTR_NONE)->unknown);
}

/* What is free on a worker. */
struct resources worker_free_room(const struct worker *w)
{
	return resources_sub(w->row.capacity, w->used);
}

/* Sum up again the most that one worker of a pool has free. */
void pool_measure(struct pool *p)
{
	struct resources r;
	size_t i;

	p->max_room = (struct resources){-1, -1, -1};
	p->total_room = (struct resources){0, 0, 0};
	for (i = 0; i < p->count; i++) {
		r = worker_free_room(p->workers[i]);
		p->total_room = resources_add(p->total_room, r);
		p->max_room = resources_max(p->max_room, r);
	}
}

/*
 * Is it known that no worker has room for a need?  Room only shrinks while
 * tasks are placed, so what found none rules out all that want as much.
 */
bool pool_is_known_full(const struct pool *p, struct resources need)
{
	size_t i;

	for (i = 0; i < p->unplaceable_count; i++)
		if (resources_fit(p->unplaceable[i], need))
			return true;
	return false;
}

/* No worker of a pool had room for a need. */
void pool_note_full(struct pool *p, struct resources need)
{
	if (pool_is_known_full(p, need))
		return;
	if (p->unplaceable_count < UNPLACEABLE_MAX)
		p->unplaceable_count++;
	p->unplaceable[p->unplaceable_count - 1] = need;
}

/* Add a worker to those of its pool that may get work. */
static void pool_add(struct pool *p, struct worker *w)
{
	if (p->count == p->space) {
		p->space = p->space ? 2 * p->space : 64;
		p->workers = xrealloc(p->workers, p->space,
				      sizeof(struct worker *));
	}
	p->workers[p->count++] = w;
}

/* Find the workers that may get work now, for a look at what waits. */
void pools_refresh(struct sched *s)
{
	struct worker *w, *next;
	struct pool *p;

	for (p = s->pools; p; p = p->hh.next) {
		p->count = p->unplaceable_count = 0;
		p->promised = (struct resources){0, 0, 0};
	}
	HASH_ITER(hh, s->workers, w, next)
		if (worker_is_eligible(s, w))
			pool_add(w->pool, w);
	for (p = s->pools; p; p = p->hh.next)
		pool_measure(p);
}

/* Free the pools; no worker and no job speaks of them any more. */
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
