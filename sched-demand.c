/*
 * The load of the pools: their capacity, the work of their jobs, and how long
 * they need for it.
 */
#include "sched-demand.h"

#include <stdlib.h>

/* A long-running task that waits for this long needs another worker. */
#define STRANDED_MIN_MS 300
#define POOL_LOG_INTERVAL_MS 1000

/* Returns the load of a service, or NULL if the service is not configured. */
struct pool_load *pool_load_find(const struct pool_loads *l, bstr service)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		if (bstr_eq(l->list[i].service->name, service))
			return &l->list[i];
	return NULL;
}

/*
 * Returns true if a worker that has not answered this owner yet may still do
 * so; each gets WORKER_TIMEOUT_MS for that.  If such workers were not counted,
 * pools would seem to have none after a takeover, and all standby machines
 * would be moved in for a single job, only to be sent back seconds later.
 */
static bool worker_may_answer(const struct sched *s, const struct worker *w)
{
	return !w->fenced && !w->gone && w->listed && !w->row.draining &&
	       s->now - s->own.ready_at < WORKER_TIMEOUT_MS;
}

/* Returns true if a worker counts towards the capacity of its pool. */
static bool worker_counts(const struct sched *s, const struct worker *w)
{
	return !worker_is_evacuated(s, w) &&
	       (worker_is_healthy(s, w) || worker_may_answer(s, w));
}

/*
 * Takes a machine without tasks, which is about to move, out of the load of its
 * pool. One whose worker is silent was not counted there: taken out all the
 * same, the counts would fall below zero, and the pool would seem to have less
 * room and a longer queue than it has.
 */
void pool_load_remove_machine(struct sched *s, struct pool_load *p,
			      const struct machine *m, double machine_cores)
{
	const struct worker *w = m->worker.bstr_len ? worker_find(s, m->worker)
						    : NULL;

	if (!w || !worker_counts(s, w))
		return;
	p->empty--;
	p->workers--;
	p->cores -= machine_cores;
}

/* Adds the capacity and the usage of all workers. */
static void pool_loads_add_workers(struct sched *s, struct pool_loads *l)
{
	struct worker *w, *next;
	struct pool_load *p;
	const struct task *t;

	HASH_ITER(hh, s->workers, w, next) {
		p = pool_load_find(l, w->row.service);
		if (p && w->listed)
			p->max_listed = resources_max(p->max_listed,
						      w->row.capacity);
		if (p && w->listed && !w->gone && w->takedown_pending)
			p->leaving++;
		if (p && worker_is_evacuated(s, w)) {
			p->evacuated += w->listed && !w->gone;
			continue;
		}
		if (!p || !worker_counts(s, w))
			continue;
		p->workers++;
		p->unlisted += !w->machine.bstr_len;
		p->answered += worker_is_healthy(s, w);
		p->max_capacity = resources_max(p->max_capacity,
						w->row.capacity);
		p->cores += (double)w->row.capacity.cpu;
		p->used_cores += (double)w->used.cpu;
		if (w->fenced && TAILQ_EMPTY(&w->tasks))
			p->empty++;
		TAILQ_FOREACH(t, &w->tasks, worker_entry)
			if (task_step(t)->long_running &&
			    !task_step(t)->best_effort)
				p->long_running_cores +=
					(double)task_step(t)->need.cpu;
	}
}

/*
 * Returns true if a need fits on some worker of a pool.  If none can take tasks
 * now, those that may again count: the owner may be too slow to process their
 * answers, and the pool would seem to have no queue.
 */
static bool pool_load_can_fit(const struct pool_load *p, struct resources need)
{
	return resources_fit(need,
			     p->workers ? p->max_capacity : p->max_listed);
}

/* Adds the remaining work of an occurrence. */
static void pool_load_add_work(struct sched *s, struct pool_load *p,
			       const struct occurrence *o)
{
	const struct job_step *st = o->job->body->steps;
	double task_work;
	unsigned i;

	job_estimate_update(s, o->job);
	for (i = 0; i < o->job->body->step_count; i++, st++) {
		if (st->long_running || st->best_effort)
			continue;
		task_work = (double)st->need.cpu *
			    (double)o->job->estimate.step_ms[i];
		p->work += task_work * o->unfinished_in_step[i];
		p->pending_tasks += o->pending_tasks[i].count;
	}
}

/*
 * Returns true if a job's tasks wait for nothing but room or the owner: for
 * starts in flight, the store, or the raise of a ceiling.  Until all runs of
 * earlier owners are known, an organisation may seem to be at its upper limit
 * because they are assumed to use what their ceilings allowed.  A job that only
 * fits in an evacuated data centre takes no room of others; if its whole pool
 * is evacuated, machines of other data centres are called for it.
 */
bool job_waits_for_room(const struct sched *s, const struct pool_load *p,
			const struct job *j)
{
	switch (j->pending_reason) {
	case PENDING_LIMIT:
		return !s->settled;
	case PENDING_EVACUATION:
		return !p->workers;
	case PENDING_CRASH:
	case PENDING_ISOLATION:
	case PENDING_CONSTRAINTS:
	case PENDING_TICKET:
		return false;
	default:
		return true;
	}
}

/*
 * Returns true if a task of a step that starts now is too late for its job's
 * objective.
 */
static bool step_is_late(const struct sched *s, const struct occurrence *o,
			 unsigned step_index)
{
	const struct job_estimate *e = &o->job->estimate;

	return s->now + e->remaining_ms[step_index] >
	       occurrence_due_at(s, o, e->longest_ms);
}

/*
 * Returns true if tasks of a step end by themselves and fit on some worker of
 * a pool.
 */
static bool step_is_queued(const struct pool_load *p, const struct job_step *st)
{
	return !st->long_running && !st->best_effort &&
	       pool_load_can_fit(p, st->need);
}

/*
 * Returns the work of an occurrence that waits for nothing but room, in
 * thousandths of a core x ms.  Its job has an estimate.
 */
double occurrence_queued_work(const struct pool_load *p,
			      const struct occurrence *o)
{
	const struct job_step *st = o->job->body->steps;
	double queued = 0;
	unsigned i;

	for (i = 0; i < o->job->body->step_count; i++, st++)
		if (step_is_queued(p, st))
			queued += (double)st->need.cpu *
				  (double)o->job->estimate.step_ms[i] *
				  o->unfinished_in_step[i];
	return queued;
}

/* Adds the work of an occurrence that waits for nothing but room. */
static void pool_load_add_queued(struct sched *s, struct pool_load *p,
				 const struct occurrence *o)
{
	double task_work, queued = occurrence_queued_work(p, o);
	struct job *j = o->job;
	const struct job_step *st = j->body->steps;
	unsigned i;

	for (i = 0; i < j->body->step_count; i++, st++) {
		if (!step_is_queued(p, st))
			continue;
		task_work = (double)st->need.cpu *
			    (double)j->estimate.step_ms[i];
		p->waiting_work += task_work * o->pending_tasks[i].count;
		p->waiting_cores += (double)st->need.cpu *
				    o->pending_tasks[i].count;
		if (o->pending_tasks[i].count && step_is_late(s, o, i))
			p->late_work += task_work * o->pending_tasks[i].count;
		p->queued_tasks += o->pending_tasks[i].count;
	}
	if (queued <= 0)
		return;
	p->queued_work += queued;
	p->objective_sum_ms += (double)job_objective_ms(s, j);
	p->queued_jobs++;
}

/*
 * Returns true if another machine could run the tasks of a job that wait. Those
 * that wait for the store, for leases or for a limit do so on any machine, and
 * would draw machines from pools that need them.
 */
static bool job_lacks_a_worker(const struct job *j)
{
	switch (j->pending_reason) {
	case PENDING_CAPACITY:
	case PENDING_CONSTRAINTS:
	case PENDING_ISOLATION: /* an empty worker is what they wait for */
	case PENDING_EVACUATION:
		return true;
	default:
		return false;
	}
}

/*
 * Returns the number of long-running tasks of an occurrence that have found no
 * worker for STRANDED_MIN_MS.
 */
static unsigned occurrence_stranded(struct sched *s, const struct occurrence *o)
{
	const struct job_step *st = o->job->body->steps;
	const struct task *t;
	unsigned i, k, n = 0;

	if (!job_lacks_a_worker(o->job))
		return 0;
	for (i = 0; i < o->job->body->step_count; i++, st++) {
		if (!st->long_running || !o->pending_tasks[i].count)
			continue;
		t = &o->tasks[o->first_task[i]];
		for (k = 0; k < st->count; k++, t++)
			if (t->phase == PHASE_PENDING && task_ready_at(t) &&
			    s->now - task_ready_at(t) > STRANDED_MIN_MS)
				n++;
	}
	return n;
}

/* Adds the work of all jobs. */
static void pool_loads_add_jobs(struct sched *s, struct pool_loads *l)
{
	const struct occurrence *o;
	struct pool_load *p;
	struct job *j;

	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry) {
		if (j->status > JOB_STATUS_RUNNING)
			continue;
		p = pool_load_find(l, job_service(s, j));
		if (!p)
			continue;
		TAILQ_FOREACH(o, &j->occs, entry) {
			pool_load_add_work(s, p, o);
			if (job_waits_for_room(s, p, j))
				pool_load_add_queued(s, p, o);
			p->stranded += occurrence_stranded(s, o);
		}
	}
}

/*
 * Returns the time that the owner needs to start a number of tasks of a pool.
 * The pools take turns, so each of the others has as many started meanwhile, as
 * far as it has pending tasks.
 */
static double pool_loads_starts_ms(const struct pool_loads *l, unsigned tasks)
{
	unsigned n, all = 0;
	size_t i;

	for (i = 0; i < l->count; i++) {
		n = l->list[i].pending_tasks;
		all += n < tasks ? n : tasks;
	}
	return all * l->start_interval_ms;
}

/* Computes how long the owner needs to start the tasks of each pool. */
static void pool_loads_set_starts(struct pool_loads *l)
{
	struct pool_load *p;
	size_t i;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		p->starts_ms = pool_loads_starts_ms(l, p->pending_tasks);
		p->queue_starts_ms = pool_loads_starts_ms(l, p->queued_tasks);
	}
}

/*
 * Counts the machines that are being moved to each pool.  Those whose workers
 * are there already are not counted twice until the next list of machines.
 */
static void pool_loads_add_moves(struct sched *s, struct pool_loads *l)
{
	struct machine *m, *next;
	struct pool_load *p;
	size_t i;

	HASH_ITER(hh, s->machines, m, next) {
		if (s->now >= m->moving_until || dc_is_evacuated(s, m->dc))
			continue;
		p = pool_load_find(l, m->moving_to);
		if (p)
			p->arriving++;
	}
	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		p->arriving -= p->unlisted < p->arriving ? p->unlisted
							 : p->arriving;
	}
}

/* Returns the mean number of cores of a machine, in thousandths. */
double machine_mean_cores(const struct pool_loads *l)
{
	double cores = 0;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < l->count; i++) {
		cores += l->list[i].cores;
		n += l->list[i].workers;
	}
	return n ? cores / n : 0;
}

/*
 * Returns the time that a pool needs for its work, with the machines that are
 * being moved to it; 1e9 if it has no cores for that, or more stranded tasks
 * than arriving machines.
 */
double pool_drain_ms(const struct pool_load *p, double machine_cores)
{
	double cores = p->cores - p->long_running_cores +
		       machine_cores * p->arriving;

	if (p->stranded > p->arriving)
		return 1e9;
	if (p->work <= 0)
		return 0;
	return cores > machine_cores / 8 ? p->work / cores : 1e9;
}

/*
 * Returns how long a pool needs for its work for want of machines; 0 if the
 * owner takes longer to start its tasks than its workers to run them.  Machines
 * moved there would stand idle, and the pool would seem ever less loaded.
 */
double pool_lacks_machines_ms(const struct pool_load *p, double machine_cores)
{
	double drain_ms = pool_drain_ms(p, machine_cores);

	return drain_ms > p->starts_ms ? drain_ms : 0;
}

/*
 * Returns the time that a pool needs for the work that waits for nothing but
 * room.  If the owner starts tasks more slowly than the workers run them, its
 * starts decide.  By the cores alone a queue would seem short that an owner
 * short of processor time can't work off: everything would be accepted, and
 * most of it be late.  Its starts also decide if the pool has no cores, as an
 * owner that processes the answers of workers too late takes all for silent.
 */
double pool_queue_ms(const struct pool_load *p, double machine_cores)
{
	double cores = p->cores - p->long_running_cores +
		       machine_cores * p->arriving;
	double room_ms;

	if (cores <= machine_cores / 8)
		return p->queue_starts_ms;
	room_ms = p->queued_work / cores;
	return room_ms > p->queue_starts_ms ? room_ms : p->queue_starts_ms;
}

/* Returns true if a route names a service. */
static bool service_is_routed(const struct sched *s, bstr name)
{
	size_t i;

	for (i = 0; i < s->config->route_count; i++)
		if (bstr_eq(s->config->routes[i].service, name))
			return true;
	return false;
}

/* Returns the initial number of machines of a pool. */
static unsigned pool_home_size(const struct sched *s, bstr pool)
{
	char *name = bstr_cstr(pool);
	json_int_t n = json_integer_value(json_object_get(s->home_sizes, name));

	free(name);
	return (unsigned)n;
}

/* Logs the load of each pool, at most once per POOL_LOG_INTERVAL_MS. */
void pool_loads_log(struct sched *s, const struct pool_loads *l,
		    double machine_cores)
{
	const struct pool_load *p;
	size_t i;

	if (s->now < s->pool_log_at)
		return;
	s->pool_log_at = s->now + POOL_LOG_INTERVAL_MS;
	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		if (!p->routed)
			continue;
		sched_log(
			s, LOG_POOL,
			"pool=%.*s workers=%u home=%u coming=%u empty=%u "
			"cores=%.0f used=%.0f lasting=%.0f work_ms=%.0f drain_ms=%.0f "
			"stranded=%u queue_ms=%.0f objective_ms=%.0f "
			"leaving=%u pending=%u starts_ms=%.0f evacuated=%u "
			"demand=%.0f mean=%.0f need=%.0f reserve=%.0f slack_ms=%.0f keep=%.0f peak=%.0f late_ms=%.0f granted=%.0f",
			BSTR_ARG(p->service->name), p->workers, p->home_size,
			p->arriving, p->empty, p->cores / 1000,
			p->used_cores / 1000, p->long_running_cores / 1000,
			p->work / 1000, pool_drain_ms(p, machine_cores),
			p->stranded, pool_queue_ms(p, machine_cores),
			p->queued_jobs ? p->objective_sum_ms / p->queued_jobs
				       : 0,
			p->leaving, p->pending_tasks, p->starts_ms,
			p->evacuated, p->demand->cores / 1000,
			p->demand->mean_cores / 1000,
			pool_need_cores(s, p) / 1000,
			pool_reserve_cores(s, p, machine_cores) / 1000,
			pool_slack_ms(p),
			pool_keep_cores(s, p, machine_cores) / 1000,
			p->demand->peak_cores / 1000, p->late_work / 1000,
			(l->divided ? p->claim.granted_cores
				    : pool_need_cores(s, p)) /
				1000);
	}
}

/* Updates the demand of all pools. */
static void pool_loads_set_demand(struct sched *s, struct pool_loads *l)
{
	double machine_cores = machine_mean_cores(l);
	struct pool_load *p;
	struct pool *pool;
	size_t i;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		pool = pool_of(s, p->service->name);
		demand_update(s, &pool->demand, machine_cores * p->home_size);
		p->demand = &pool->demand;
	}
}

/* Computes the load of all configured pools. */
void pool_loads_read(struct sched *s, struct pool_loads *l)
{
	struct pool_load *p;
	size_t i;

	*l = (struct pool_loads){.count = s->config->service_count,
				 .start_interval_ms = s->start_interval_ms};
	l->list = xcalloc(l->count + 1, sizeof(*l->list));
	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		p->service = &s->config->services[i];
		p->routed = service_is_routed(s, p->service->name);
		p->home_size = pool_home_size(s, p->service->name);
	}
	pool_loads_add_workers(s, l);
	pool_loads_add_jobs(s, l);
	pool_loads_set_starts(l);
	pool_loads_add_moves(s, l);
	pool_loads_set_demand(s, l);
}

/* Frees the loads, but not l itself. */
void pool_loads_free(struct pool_loads *l)
{
	free(l->list);
}
