/*
 * The candidates of a placement pass: the steps that have pending tasks, in the
 * order in which they are placed.  Answers an organisation that submits more
 * than its share: the others go before its excess.
 */
#include "sched-place.h"

#include <stdlib.h>
#include <string.h>

/*
 * Returns true if a step has a task that can be placed now.  Sets
 * has_delayed_tasks if a task of it is only delayed.
 */
static bool step_is_placeable(struct sched *s, const struct occurrence *o,
			      unsigned step_index)
{
	const struct task *t = &o->tasks[o->first_task[step_index]];
	struct pending_tasks *pending = &o->pending_tasks[step_index];
	bool placeable = false;
	unsigned i;

	if (!pending->count || !step_is_ready(o, step_index))
		return false;
	if (!pending->ready_at)
		pending->ready_at = s->now;
	if (s->now >= pending->retry_at_max)
		return true;
	for (i = 0; i < o->job->body->steps[step_index].count; i++, t++) {
		if (t->phase != PHASE_PENDING)
			continue;
		if (s->now >= t->not_before)
			placeable = true;
		else
			s->has_delayed_tasks = true;
	}
	return placeable;
}

/* Adds a step to the candidates of this pass. */
static void candidate_add(struct sched *s, struct place_pass *p,
			  const struct route *r, struct pool *pool,
			  struct occurrence *o, unsigned step_index)
{
	const struct job_step *st = &o->job->body->steps[step_index];
	const struct job_estimate *estimate = &o->job->estimate;
	struct candidate *c;

	job_estimate_update(s, o->job);
	if (p->count == p->space) {
		p->space = p->space ? p->space * 2 : 64;
		p->candidates = xrealloc(p->candidates, p->space,
					 sizeof(*p->candidates));
	}
	c = &p->candidates[p->count++];
	*c = (struct candidate){.job = o->job,
				.occ = o,
				.pool = pool,
				.step = step_index,
				.need = step_need(st),
				.previous_reason = o->job->pending_reason};
	c->needs_tickets = r && r->needs_ticket;
	c->rank = st->long_running ? 0 : 1 + (r ? r->priority : 0);
	c->due = occurrence_due_at(s, o, estimate->longest_ms);
	if (!o->job->due)
		o->job->due = c->due;
	c->late = !st->long_running &&
		  s->now + estimate->remaining_ms[step_index] > c->due &&
		  policy_is_enabled(s, POLICY_LATE_LAST);
	if (c->late)
		c->due = estimate->longest_ms;
	else if (!policy_is_enabled(s, POLICY_DUE_ORDER))
		c->due = o->job->arrived;
}

/*
 * Returns true if tasks of a job may be running on workers that have not
 * reported yet.
 */
static bool job_runs_unknown(struct sched *s, struct job *j)
{
	return j->inherited && j->start_was_durable && !s->settled &&
	       !job_is_settled(s, j);
}

/* Returns true if any task of a ready step is pending, or only delayed. */
static bool job_has_pending_tasks(const struct job *j)
{
	const struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry)
		for (i = 0; i < j->body->step_count; i++)
			if (o->pending_tasks[i].count && step_is_ready(o, i))
				return true;
	return false;
}

/*
 * Adds the steps of a job that have tasks to place and may fit on some worker.
 * In an overload most steps have no room; they are skipped before their
 * estimates are computed, so that a long queue costs the owner little time.
 */
static void candidates_add_job(struct sched *s, struct place_pass *p,
			       struct job *j)
{
	const struct route *r = job_terms(s, j);
	struct pool *pool = job_pool(s, j);
	struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry) {
		for (i = 0; i < j->body->step_count; i++) {
			if (!step_is_placeable(s, o, i))
				continue;
			s->has_pending_tasks = true;
			if (j->has_crashes ||
			    resources_fit(step_need(&j->body->steps[i]),
					  pool->max_room) ||
			    lookahead_considers(s, pool, o, i))
				candidate_add(s, p, r, pool, o, i);
			else
				j->pending_reason = pool_full_reason(
					pool, step_need(&j->body->steps[i]));
		}
	}
}

/*
 * Collects the candidates of all jobs.  Jobs without pending tasks are removed
 * from the queue: most open jobs of a large fleet run, and going through them
 * in each pass takes the time of the jobs that wait.
 */
void candidates_collect(struct sched *s, struct place_pass *p)
{
	struct job *j, *next;

	for (j = TAILQ_FIRST(&s->placing); j; j = next) {
		next = TAILQ_NEXT(j, placing);
		s->load.walked_jobs++;
		if (j->status > JOB_STATUS_RUNNING ||
		    !job_has_pending_tasks(j)) {
			job_unqueue_placing(s, j);
			continue;
		}
		if (job_runs_unknown(s, j))
			j->pending_reason = PENDING_LEASES;
		else
			candidates_add_job(s, p, j);
	}
}

/* Orders candidates by pool, then by rank. */
static int candidate_cmp_rank(const struct candidate *x,
			      const struct candidate *y)
{
	if (x->pool != y->pool)
		return x->pool < y->pool ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return 0;
}

/*
 * Orders candidates that can meet their objective before those that can't, then
 * by due time, or by length if late.
 */
static int candidate_cmp_due(const struct candidate *x,
			     const struct candidate *y)
{
	if (x->late != y->late)
		return x->late ? 1 : -1;
	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return strcmp(x->job->id, y->job->id);
}

/* Orders candidates by pool, rank, share and objective. */
static int candidate_cmp(const void *a, const void *b)
{
	const struct candidate *x = *(struct candidate *const *)a;
	const struct candidate *y = *(struct candidate *const *)b;
	int n = candidate_cmp_rank(x, y);

	if (n)
		return n;
	if (x->share_key != y->share_key)
		return x->share_key < y->share_key ? -1 : 1;
	return candidate_cmp_due(x, y);
}

/* Orders candidates by pool, rank, organisation and objective. */
static int candidate_cmp_usage(const void *a, const void *b)
{
	const struct candidate *x = *(struct candidate *const *)a;
	const struct candidate *y = *(struct candidate *const *)b;
	int n = candidate_cmp_rank(x, y);

	if (n)
		return n;
	if (x->usage != y->usage)
		return x->usage < y->usage ? -1 : 1;
	return candidate_cmp_due(x, y);
}

/* What an organisation runs on the workers of one pool. */
struct pool_use {
	const struct usage *usage;
	double cpu; /* cores in thousandths, without long-running tasks */
	UT_hash_handle hh;
};

/* Adds a task to what its organisation runs. */
static void pool_use_add(struct sched *s, struct pool_use **all,
			 const struct task *t)
{
	const struct job_step *st = task_step(t);
	const struct usage *u = job_usage(s, t->occ->job);
	struct pool_use *r;

	if (st->long_running || st->best_effort)
		return;
	HASH_FIND_PTR(*all, &u, r);
	if (!r) {
		r = xcalloc(1, sizeof(*r));
		r->usage = u;
		HASH_ADD_PTR(*all, usage, r);
	}
	r->cpu += (double)st->need.cpu;
}

/* Returns what each organisation runs on the workers of a pool. */
static struct pool_use *pool_use_read(struct sched *s, const struct pool *pool)
{
	struct pool_use *all = NULL;
	const struct task *t;
	size_t i;

	for (i = 0; i < pool->count; i++)
		TAILQ_FOREACH(t, &pool->workers[i]->tasks, worker_entry)
			pool_use_add(s, &all, t);
	return all;
}

/* Returns the cores in thousandths that an organisation runs. */
static double pool_use_cpu(struct pool_use *all, const struct usage *u)
{
	struct pool_use *r;

	HASH_FIND_PTR(all, &u, r);
	return r ? r->cpu : 0;
}

/* Frees what organisations run. */
static void pool_use_free(struct pool_use *all)
{
	struct pool_use *r, *next;

	HASH_ITER(hh, all, r, next) {
		HASH_DEL(all, r);
		free(r);
	}
}

/*
 * Returns true if a step of an organisation that is within its share has waited
 * longer than its job is useful to the caller.  It goes by its due time then: a
 * few long tasks of the organisation in the same pool could hold back all its
 * others until they end.
 */
static bool candidate_has_aged(const struct sched *s, const struct candidate *c)
{
	int64_t ready_at = c->occ->pending_tasks[c->step].ready_at;

	return !c->usage->share.is_exceeded &&
	       s->now - ready_at > job_objective_ms(s, c->job);
}

/*
 * Sets the place of each candidate of a pool in a weighted fair queue.  The
 * candidates are sorted by organisation.  Long-running tasks have no share:
 * they are few, and they keep what they have.
 */
static void pool_set_shares(struct sched *s, struct candidate **sorted,
			    size_t count)
{
	struct pool_use *running = pool_use_read(s, sorted[0]->pool);
	const struct candidate *before = NULL;
	struct candidate *c;
	double asked = 0; /* cores in thousandths, by the same organisation */
	size_t i;

	for (i = 0; i < count; i++, before = c) {
		c = sorted[i];
		if (!before || before->usage != c->usage ||
		    candidate_cmp_rank(before, c))
			asked = 0;
		if (c->rank && !candidate_has_aged(s, c))
			c->share_key = (pool_use_cpu(running, c->usage) +
					asked) /
				       share_weight(job_tenant(s, c->job));
		asked += (double)c->need.cpu *
			 c->occ->pending_tasks[c->step].count;
	}
	pool_use_free(running);
}

/*
 * Sets the places in the queues of those pools in which an organisation that is
 * beyond its share has candidates.  The others keep their order.
 */
static void candidates_set_shares(struct sched *s, struct place_pass *p)
{
	size_t i, first = 0;
	bool exceeded = false;

	for (i = 0; i < p->count; i++) {
		exceeded = exceeded || p->sorted[i]->usage->share.is_exceeded;
		if (i + 1 < p->count &&
		    p->sorted[i + 1]->pool == p->sorted[i]->pool)
			continue;
		if (exceeded)
			pool_set_shares(s, &p->sorted[first], i + 1 - first);
		exceeded = false;
		first = i + 1;
	}
}

/*
 * Sorts the candidates into their placement order.  While an organisation is
 * beyond its share, a pool where it waits goes to those that have the least of
 * it by their weight, also if their jobs are late: another's excess has made
 * them late.
 */
void candidates_sort(struct sched *s, struct place_pass *p)
{
	struct candidate *c;
	size_t i;

	p->sorted = xcalloc(p->count + 1, sizeof(struct candidate *));
	for (i = 0; i < p->count; i++)
		p->sorted[i] = &p->candidates[i];
	if (!p->count)
		return;
	if (shares_are_exceeded(s)) {
		for (c = p->candidates; c < &p->candidates[p->count]; c++)
			c->usage = job_usage(s, c->job);
		qsort(p->sorted, p->count, sizeof(struct candidate *),
		      candidate_cmp_usage);
		candidates_set_shares(s, p);
	}
	qsort(p->sorted, p->count, sizeof(struct candidate *), candidate_cmp);
}
