/*
 * How long the queue of each organisation in a pool takes if the pool serves
 * the organisations by their weights.  What one does not use goes to the
 * others, so a short queue of a small organisation takes little time beside a
 * flood, and the flood's own queue as long as that of the whole pool.
 */
#include "sched-demand.h"

#include <stdlib.h>

/* The pool and the organisation of a queue. */
struct fair_key {
	const struct pool *pool;
	const struct usage *usage;
};

/* The queue of an organisation in a pool, in the table of all of them. */
struct fair_entry {
	struct fair_key key;
	struct fair_queue queue;
	UT_hash_handle hh;
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

/* Orders the queues by pool, then by work / weight. */
static int fair_cmp(const struct fair_entry *x, const struct fair_entry *y)
{
	double a = x->queue.work / x->queue.weight;
	double b = y->queue.work / y->queue.weight;

	if (x->key.pool != y->key.pool)
		return x->key.pool < y->key.pool ? -1 : 1;
	if (a != b)
		return a < b ? -1 : 1;
	return 0;
}

/* Returns the queue of a job's organisation in its pool; makes it if needed. */
static struct fair_queue *fair_queue_of(struct sched *s,
					struct fair_entry **all, struct job *j)
{
	struct fair_key key = {job_pool(s, j), job_usage(s, j)};
	struct fair_entry *e;

	HASH_FIND(hh, *all, &key, sizeof(key), e);
	if (e)
		return &e->queue;
	e = xcalloc(1, sizeof(*e));
	e->key = key;
	e->queue.usage = job_usage(s, j);
	e->queue.weight = share_weight(job_tenant(s, j));
	HASH_ADD(hh, *all, key, sizeof(e->key), e);
	return &e->queue;
}

/* Adds the work of a job that waits for nothing but room. */
static void fair_add_job(struct sched *s, struct fair_entry **all,
			 const struct pool_loads *l, struct job *j)
{
	const struct pool_load *p = pool_load_find(l, job_service(s, j));
	const struct occurrence *o;
	struct fair_queue *q;
	double work;

	if (!p || !job_waits_for_room(s, p, j))
		return;
	TAILQ_FOREACH(o, &j->occs, entry) {
		work = occurrence_queued_work(p, o);
		if (work <= 0)
			continue;
		q = fair_queue_of(s, all, j);
		q->work += work;
		q->objective_sum_ms += (double)job_objective_ms(s, j);
		q->jobs++;
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

/* Publishes the sorted queues of one pool, unless nobody works them off. */
static void fair_publish(struct sched *s, const struct pool_load *p,
			 struct fair_queue *q, size_t count,
			 double machine_cores)
{
	fair_drain(q, count, pool_queue_ms(p, machine_cores));
	fair_note_ratio(q, count);
	if (p->answered)
		admission_set_shares(s, p->service->name, q, count);
}

/* Publishes the queues, which are sorted by pool. */
static void fair_publish_all(struct sched *s, const struct pool_loads *l,
			     struct fair_entry *all, double machine_cores)
{
	struct fair_queue *list = xcalloc(HASH_COUNT(all) + 1, sizeof(*list));
	const struct fair_entry *e, *next;
	const struct pool_load *p;
	size_t n = 0;

	for (e = all; e; e = next) {
		next = e->hh.next;
		list[n++] = e->queue;
		if (next && next->key.pool == e->key.pool)
			continue;
		p = pool_load_find(l, e->key.pool->service);
		if (p)
			fair_publish(s, p, list, n, machine_cores);
		n = 0;
	}
	free(list);
}

/*
 * Computes and publishes the queues of all organisations while any of them is
 * beyond its share.  Otherwise a pool's queue is that of all.
 */
void fair_queues_update(struct sched *s, const struct pool_loads *l,
			double machine_cores)
{
	struct fair_entry *all = NULL, *e, *next;
	struct usage *u;
	struct job *j;

	if (!shares_are_exceeded(s)) {
		admissions_drop_shares(s);
		return;
	}
	for (u = s->usage; u; u = u->hh.next)
		u->share.queue_ratio = 0;
	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry)
		if (j->status <= JOB_STATUS_RUNNING)
			fair_add_job(s, &all, l, j);
	HASH_SORT(all, fair_cmp);
	fair_publish_all(s, l, all, machine_cores);
	HASH_ITER(hh, all, e, next) {
		HASH_DEL(all, e);
		free(e);
	}
}
