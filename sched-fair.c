/*
 * How long the queue of each organisation in a pool takes if the pool serves
 * the organisations by their weights.  What one does not use goes to the
 * others, so a short queue of a small organisation takes little time beside a
 * long one, and the longest as much as that of the whole pool.
 */
#include "sched-demand.h"

#include <stdlib.h>

/* A queue, or the work of one job in it, and the pool. */
struct fair_entry {
	const struct pool_load *pool;
	struct fair_queue queue;
};

struct fair_list {
	struct fair_entry *entries;
	size_t count;
	size_t space;
};

/*
 * Computes how long each of the queues of a pool takes, given how long all of
 * them do.  They are sorted by work / weight, so they run out in their order:
 * while any is left, those left share the pool by their weights.
 */
void fair_drain(struct fair_queue *q, size_t count, double total_ms)
{
	double work = 0, weights = 0, level = 0, ms = 0, next;
	size_t i;

	for (i = 0; i < count; i++) {
		work += q[i].work;
		weights += q[i].weight;
	}
	for (i = 0; i < count; i++) {
		next = q[i].work / q[i].weight;
		if (work > 0)
			ms += (next - level) * weights * total_ms / work;
		q[i].drain_ms = ms;
		weights -= q[i].weight;
		level = next;
	}
}

/* Returns the mean objective of the jobs of a queue. */
double fair_objective_ms(const struct fair_queue *q)
{
	return q->jobs ? q->objective_sum_ms / q->jobs : 0;
}

/* Orders entries by pool, then by organisation. */
static int fair_cmp_usage(const void *a, const void *b)
{
	const struct fair_entry *x = a, *y = b;

	if (x->pool != y->pool)
		return x->pool < y->pool ? -1 : 1;
	if (x->queue.usage != y->queue.usage)
		return x->queue.usage < y->queue.usage ? -1 : 1;
	return 0;
}

/* Orders entries by pool, then by work / weight. */
static int fair_cmp_work(const void *a, const void *b)
{
	const struct fair_entry *x = a, *y = b;
	double p = x->queue.work / x->queue.weight;
	double q = y->queue.work / y->queue.weight;

	if (x->pool != y->pool)
		return x->pool < y->pool ? -1 : 1;
	if (p != q)
		return p < q ? -1 : 1;
	return 0;
}

/* Adds an entry to the list. */
static void fair_list_add(struct fair_list *all, const struct pool_load *p,
			  struct fair_queue q)
{
	if (all->count == all->space) {
		all->space = all->space ? all->space * 2 : 64;
		all->entries = xrealloc(all->entries, all->space,
					sizeof(*all->entries));
	}
	all->entries[all->count++] = (struct fair_entry){p, q};
}

/* Merges the entries of each organisation in a pool. */
static void fair_list_merge(struct fair_list *all)
{
	struct fair_entry *to = all->entries, *e = to;
	const struct fair_entry *end = to + all->count;

	if (!all->count)
		return;
	qsort(all->entries, all->count, sizeof(*e), fair_cmp_usage);
	for (e++; e < end; e++) {
		if (fair_cmp_usage(to, e)) {
			*++to = *e;
			continue;
		}
		to->queue.work += e->queue.work;
		to->queue.objective_sum_ms += e->queue.objective_sum_ms;
		to->queue.jobs += e->queue.jobs;
	}
	all->count = (size_t)(to - all->entries) + 1;
}

/* Adds the work of a job that waits for nothing but room. */
static void fair_add_job(struct sched *s, struct fair_list *all,
			 const struct pool_loads *l, struct job *j)
{
	const struct pool_load *p = pool_load_find(l, job_service(s, j));
	const struct occurrence *o;
	struct fair_queue q;

	if (!p || !job_waits_for_room(s, p, j))
		return;
	TAILQ_FOREACH(o, &j->occs, entry) {
		q = (struct fair_queue){
			.usage = job_usage(s, j),
			.weight = share_weight(job_tenant(s, j)),
			.work = occurrence_queued_work(p, o),
			.objective_sum_ms = (double)job_objective_ms(s, j),
			.jobs = 1};
		if (q.work > 0)
			fair_list_add(all, p, q);
	}
}

/* Records for each organisation how long its longest queue is. */
static void fair_note_ratio(struct fair_queue *q, size_t count)
{
	double ratio;
	size_t i;

	for (i = 0; i < count; i++) {
		ratio = q[i].drain_ms / fair_objective_ms(&q[i]);
		if (ratio > q[i].usage->share.queue_ratio)
			q[i].usage->share.queue_ratio = ratio;
	}
}

/*
 * Returns true if a pool needs longer for its queue than the mean objective of
 * the jobs there.  While none does, no queue of an organisation matters.
 */
static bool pool_is_near_overload(const struct pool_load *p,
				  double machine_cores)
{
	return p->queued_jobs &&
	       pool_queue_ms(p, machine_cores) * p->queued_jobs >
		       p->objective_sum_ms;
}

/* Returns true if any pool is near overload. */
static bool any_is_near_overload(const struct pool_loads *l,
				 double machine_cores)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		if (pool_is_near_overload(&l->list[i], machine_cores))
			return true;
	return false;
}

/*
 * Determines the sorted queues of one pool, and publishes them while an
 * organisation is beyond its share, unless nobody works them off.
 */
static void fair_publish(struct sched *s, const struct pool_load *p,
			 struct fair_queue *q, size_t count,
			 double machine_cores)
{
	fair_drain(q, count, pool_queue_ms(p, machine_cores));
	fair_note_ratio(q, count);
	if (p->answered && shares_are_exceeded(s))
		admission_set_shares(s, p->service->name, q, count);
}

/*
 * Publishes the queues, which are sorted by pool.  A pool without any is
 * published too: queues of an earlier pass would be taken for new ones.
 */
static void fair_publish_all(struct sched *s, const struct fair_list *all,
			     const struct pool_loads *l, double machine_cores)
{
	struct fair_queue *q = xcalloc(all->count + 1, sizeof(*q));
	size_t i, n, next = 0;

	for (i = 0; i < l->count; i++) {
		for (n = 0; next < all->count &&
			    all->entries[next].pool == &l->list[i];
		     next++)
			q[n++] = all->entries[next].queue;
		fair_publish(s, &l->list[i], q, n, machine_cores);
	}
	free(q);
}

/*
 * Computes the queues of all organisations while any pool is near overload or
 * any organisation is beyond its share, and publishes them in the latter case.
 * Otherwise a pool's queue is that of all.
 */
void fair_queues_update(struct sched *s, const struct pool_loads *l,
			double machine_cores)
{
	struct fair_list all = {0};
	struct usage *u;
	struct job *j;

	for (u = s->usage; u; u = u->hh.next)
		u->share.queue_ratio = 0;
	if (!shares_are_exceeded(s)) {
		admissions_drop_shares(s);
		if (!policy_is_enabled(s, POLICY_SHARES) ||
		    !any_is_near_overload(l, machine_cores))
			return;
	}
	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry)
		if (j->status <= JOB_STATUS_RUNNING)
			fair_add_job(s, &all, l, j);
	fair_list_merge(&all);
	if (all.count)
		qsort(all.entries, all.count, sizeof(*all.entries),
		      fair_cmp_work);
	fair_publish_all(s, &all, l, machine_cores);
	free(all.entries);
}
