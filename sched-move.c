/*
 * Moves machines between pools: to a pool that can't finish its work soon,
 * first from the standby pool, then from pools that can spare them; and back to
 * the standby pool, where a machine costs nothing, once it is idle.  A move
 * ends everything that runs on the machine, so only machines without tasks are
 * moved.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Interval between passes; each pass iterates over all jobs. */
#define MOVE_INTERVAL_MS 100
/*
 * A pool gets machines if it needs longer than this for its work.  A move takes
 * 1.5 s, and tasks that wait longer than about 2 s miss their objective.
 */
#define DRAIN_HIGH_MS 400.0
/* A pool that needs less than this for its work has spare capacity. */
#define DRAIN_LOW_MS 250.0
/*
 * Tasks that wait longer than this are late.  A pool that has such tasks, or
 * would have them with one machine less, gives none away.
 */
#define READY_WAIT_MAX_MS 2000.0
/*
 * A machine is idle for this long before it leaves its pool.  Until then it can
 * go to the next pool that needs it directly, without moving through standby.
 */
#define IDLE_MIN_MS 2500
/*
 * The share of its workers that a pool keeps free for new jobs, as bursts come
 * without warning.  With a much lower share the jobs of a burst are late.  With
 * a higher one fewer machines can be lent to pools that need them, and jobs
 * there are late; that costs less.
 */
#define FREE_SHARE_MIN 0.5
/*
 * A pool lends at most this share of its own machines to other pools.  With a
 * higher share it may lack them when its own load rises, until they are moved
 * back.
 */
#define LENT_SHARE 0.5
/* A long-running task that waits for this long needs another worker. */
#define STRANDED_MIN_MS 300
#define POOL_LOG_INTERVAL_MS 1000
#define MOVE_TIMEOUT_MS 1500
#define MOVE_RETRY_MS 1000
/* An unanswered move is repeated for this long. */
#define MOVE_REPEAT_MS 6000
/*
 * Limit of the moves begun in one pass: MOVES_LIMIT_MIN, or the fleet size
 * divided by MOVES_FLEET_DIVISOR if that is more, as a change of load can
 * require a third of all machines to move within seconds.  The second value is
 * at most the platform's limit of calls per second divided by
 * MOVES_RATE_DIVISOR; otherwise the platform would refuse calls, those of
 * maintenance waves included.
 */
#define MOVES_LIMIT_MIN 8
#define MOVES_FLEET_DIVISOR 40
#define MOVES_RATE_DIVISOR 20

/* The capacity and the work of a pool. */
struct pool_load {
	const struct service *service;
	bool routed;	    /* some route names it */
	unsigned home_size; /* machines that the operator gave it */
	unsigned stranded;  /* long-running tasks that find no worker */
	unsigned workers;   /* those that can take tasks */
	unsigned answered;  /* of workers, those that answered this owner */
	unsigned arriving;  /* machines being moved to it */
	unsigned empty;	    /* workers without tasks */
	unsigned leaving;   /* workers that get no tasks as they are to leave */
	unsigned evacuated; /* workers in evacuated data centres; no other
			     * member counts them, except max_listed */
	double cores;	    /* of its workers, in thousandths */
	double used_cores;  /* used by tasks */
	double long_running_cores; /* used by long-running tasks */
	double work; /* pending and running, in thousandths of a core x ms */
	double ready_work;	/* of it, pending tasks of ready steps */
	double queued_work;	/* of it, what waits for nothing but room */
	unsigned pending_tasks; /* tasks in work that have not started */
	unsigned queued_tasks;	/* tasks in queued_work that have not started */
	double starts_ms;	/* the owner needs to start pending_tasks */
	double queue_starts_ms; /* the owner needs to start queued_tasks */
	struct resources max_capacity; /* of its workers, by resource */
	struct resources max_listed;   /* the same, with those that can't take
					* tasks now */
	double objective_sum_ms; /* sum of the objectives of the queued jobs */
	unsigned queued_jobs;	 /* jobs with work in queued_work */
};

/*
 * An idle machine and its pool.  The machine is NULL once it has been chosen.
 */
struct idle_machine {
	struct machine *machine;
	struct pool_load *from;
};

struct pool_loads {
	struct pool_load *list;
	size_t count;
	double start_interval_ms; /* see struct sched */
};

/* Returns the load of a service, or NULL if the service is not configured. */
static struct pool_load *pool_load_find(struct pool_loads *l, bstr service)
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
		if (!p || !(worker_is_healthy(s, w) || worker_may_answer(s, w)))
			continue;
		p->workers++;
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
		if (step_is_ready(o, i))
			p->ready_work += task_work * o->pending_tasks[i].count;
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
static bool job_waits_for_room(const struct sched *s, const struct pool_load *p,
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

/* Adds the work of an occurrence that waits for nothing but room. */
static void pool_load_add_queued(struct sched *s, struct pool_load *p,
				 const struct occurrence *o)
{
	struct job *j = o->job;
	const struct job_step *st = j->body->steps;
	double queued = 0;
	unsigned i;

	for (i = 0; i < j->body->step_count; i++, st++) {
		if (st->long_running || st->best_effort ||
		    !pool_load_can_fit(p, st->need))
			continue;
		queued += (double)st->need.cpu *
			  (double)j->estimate.step_ms[i] *
			  o->unfinished_in_step[i];
		p->queued_tasks += o->pending_tasks[i].count;
	}
	if (queued <= 0)
		return;
	p->queued_work += queued;
	p->objective_sum_ms += (double)job_objective_ms(s, j);
	p->queued_jobs++;
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

/* Counts the machines that are being moved to each pool. */
static void pool_loads_add_moves(struct sched *s, struct pool_loads *l)
{
	struct machine *m, *next;
	struct pool_load *p;

	HASH_ITER(hh, s->machines, m, next) {
		if (s->now >= m->moving_until || dc_is_evacuated(s, m->dc))
			continue;
		p = pool_load_find(l, m->moving_to);
		if (p)
			p->arriving++;
	}
}

/* Returns the mean number of cores of a machine, in thousandths. */
static double machine_mean_cores(const struct pool_loads *l)
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
static double pool_drain_ms(const struct pool_load *p, double machine_cores)
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
static double pool_lacks_machines_ms(const struct pool_load *p,
				     double machine_cores)
{
	double drain_ms = pool_drain_ms(p, machine_cores);

	return drain_ms > p->starts_ms ? drain_ms : 0;
}

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

/* Calls the platform to move a machine to the pool in its moving_to. */
static void move_send(struct sched *s, struct machine *m, struct worker *w)
{
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MOVE, ASK_MOVE,
		       own_exclusive_until(s, s->now + MOVE_TIMEOUT_MS), &ask);
	rq->name = bstr_copy(m->id);
	rq->worker = w;
	if (w)
		w->requests++;
	ask->order.machine = bstr_copy(m->id);
	ask->order.pool = bstr_copy(m->moving_to);
	ask->order.holder = bstr_copy(s->options.vm);
	ask->order.epoch = s->own.epoch;
	m->moving_until = s->now + MOVE_TIMEOUT_MS + s->options.move_ms;
	m->move_unanswered = false;
}

/* Orders the move of a machine. */
static void machine_move(struct sched *s, struct machine *m,
			 const struct pool_load *to, const char *why)
{
	struct worker *w = m->worker.bstr_len ? worker_find(s, m->worker)
					      : NULL;

	bstr_set(&m->moving_to, to->service->name);
	bstr_set(&m->moving_worker, m->worker);
	m->move_repeat_until = s->now + MOVE_REPEAT_MS;
	m->late_move_until = 0;
	if (w)
		w->takedown_pending = true;
	move_send(s, m, w);
	sched_log(s, LOG_MACHINE_MOVED,
		  "machine=%.*s worker=%.*s from=%.*s to=%.*s why=%s",
		  BSTR_ARG(m->id), BSTR_ARG(m->worker), BSTR_ARG(m->pool),
		  BSTR_ARG(to->service->name), why);
}

/* Returns the worker that a machine had when its move was ordered, or NULL. */
static struct worker *move_worker(struct sched *s, const struct machine *m)
{
	return m->moving_worker.bstr_len ? worker_find(s, m->moving_worker)
					 : NULL;
}

/*
 * Ends an ordered move that was not carried out: the worker of its machine is
 * used again, unless maintenance takes it.
 */
static void move_abandon(struct sched *s, struct machine *m)
{
	struct worker *w = move_worker(s, m);

	m->move_unanswered = false;
	m->moving_until = 0;
	m->retry_at = s->now + MOVE_RETRY_MS;
	if (w && !w->takedown_in_flight)
		w->takedown_pending = false;
	s->place_due = true;
}

/*
 * Ends an unanswered move if the list of machines shows that the machine was
 * moved, or has another worker, whose tasks a repeated call would end.  An
 * unanswered call may still be carried out after the machine has been moved on,
 * and would end the tasks there, so the machine stays where it is until then.
 */
void move_check_listed(struct sched *s, struct machine *m)
{
	bool has_other_worker = m->worker.bstr_len &&
				!bstr_eq(m->worker, m->moving_worker);

	if (!m->move_unanswered ||
	    !(has_other_worker || bstr_eq(m->pool, m->moving_to)))
		return;
	m->move_unanswered = false;
	m->retry_at = m->late_move_until;
	s->place_due = true;
}

/*
 * Repeats the move of a machine, or ends it.  A worker whose tasks or ends
 * would be lost, as a late start was carried out on it, is not moved.
 */
static void move_repeat(struct sched *s, struct machine *m)
{
	struct worker *w = move_worker(s, m);

	if (s->now >= m->late_move_until) {
		move_abandon(s, m);
		return;
	}
	if (s->now < m->retry_at || s->now >= m->move_repeat_until)
		return;
	if (w && !w->gone &&
	    (!TAILQ_EMPTY(&w->tasks) || !worker_ends_durable(w)))
		return;
	move_send(s, m, w);
	sched_log(s, LOG_MACHINE_MOVED,
		  "machine=%.*s worker=%.*s from=%.*s to=%.*s why=repeat",
		  BSTR_ARG(m->id), BSTR_ARG(m->moving_worker),
		  BSTR_ARG(m->pool), BSTR_ARG(m->moving_to));
}

/*
 * Repeats unanswered moves.  Without an answer it is not known whether the
 * machine was moved, is moved seconds later, or stays: its worker would be out
 * of use until the owner changes if it stays, and a late move would end the
 * tasks of a worker used again at once, also of long-running steps beyond their
 * max_unavailable.  The answer to the repeated call decides, as the platform
 * reports success too if the machine was moved earlier.  If there is none
 * within MOVE_REPEAT_MS, or the call is refused, the worker is used again
 * ORDER_LIFETIME_MAX_MS after the latest unanswered call, when none can be
 * carried out any more.
 */
static void moves_repeat(struct sched *s)
{
	struct machine *m, *next;

	HASH_ITER(hh, s->machines, m, next)
		if (m->move_unanswered)
			move_repeat(s, m);
}

/* Returns true if ready tasks of a pool would be late with one machine less. */
static bool pool_late_with_one_less(const struct pool_load *p,
				    double machine_cores)
{
	return p->ready_work >
	       (p->cores - p->long_running_cores - machine_cores) *
		       READY_WAIT_MAX_MS;
}

/*
 * Returns true if a pool can give away one of its machines without tasks.
 * Standby pools and pools that no route names always can.  Others can give away
 * machines beyond their home size, and up to lent_share of that size while more
 * than FREE_SHARE_MIN of their workers are free, but none while their tasks
 * would be late.  Tasks that already run need no other machine.
 */
static bool pool_can_spare(const struct pool_load *p, double machine_cores,
			   double lent_share)
{
	if (p->service->standby || !p->routed)
		return true;
	if (p->workers + p->arriving + lent_share * p->home_size <=
	    p->home_size)
		return false;
	/*
	 * Arriving machines show that the pool needs them, until its work gets
	 * short.
	 */
	if (pool_late_with_one_less(p, machine_cores) ||
	    (p->arriving && pool_drain_ms(p, machine_cores) >= DRAIN_LOW_MS))
		return false;
	return p->workers + p->arriving > p->home_size ||
	       p->empty > (unsigned)(FREE_SHARE_MIN * p->workers) + 1;
}

/* Returns the limit of the moves begun in one pass. */
static unsigned moves_limit(const struct sched *s)
{
	unsigned n = HASH_COUNT(s->machines) / MOVES_FLEET_DIVISOR;

	if (n > s->options.machine_calls_per_s / MOVES_RATE_DIVISOR)
		n = s->options.machine_calls_per_s / MOVES_RATE_DIVISOR;
	return n > MOVES_LIMIT_MIN ? n : MOVES_LIMIT_MIN;
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
 * Returns a machine for a pool: one in standby if there is any, else one of a
 * pool that can spare it; NULL if there is none.
 */
static struct idle_machine *idle_machine_choose(struct idle_machine *list,
						size_t count,
						const struct pool_load *to,
						double machine_cores,
						double lent_share)
{
	struct idle_machine *best = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!list[i].machine || list[i].from == to ||
		    !pool_can_spare(list[i].from, machine_cores, lent_share))
			continue;
		if (list[i].from->service->standby)
			return &list[i];
		if (!best)
			best = &list[i];
	}
	return best;
}

/*
 * Returns the pool that needs longest for its work for want of machines, or
 * NULL if no route names a pool.
 */
static struct pool_load *pool_most_loaded(struct pool_loads *l,
					  double machine_cores)
{
	struct pool_load *worst = NULL, *p;
	size_t i;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		if (p->routed && !p->service->standby &&
		    (!worst ||
		     pool_lacks_machines_ms(p, machine_cores) >
			     pool_lacks_machines_ms(worst, machine_cores)))
			worst = p;
	}
	return worst;
}

/*
 * Moves machines to the pools that need longest for their work.  Returns the
 * number of moves begun.
 */
static unsigned moves_to_loaded(struct sched *s, struct pool_loads *l,
				double machine_cores)
{
	double lent_share = policy_is_enabled(s, POLICY_LENDING) ? LENT_SHARE
								 : 0;
	unsigned n, max = moves_limit(s);
	struct pool_load *worst;
	struct idle_machine *list, *spare;
	size_t count;

	list = idle_machines_collect(s, l, &count);
	for (n = 0; n < max; n++) {
		worst = pool_most_loaded(l, machine_cores);
		if (!worst || pool_lacks_machines_ms(worst, machine_cores) <
				      DRAIN_HIGH_MS)
			break;
		spare = idle_machine_choose(list, count, worst, machine_cores,
					    lent_share);
		if (!spare)
			break;
		spare->from->empty--;
		spare->from->workers--;
		spare->from->cores -= machine_cores;
		worst->arriving++;
		machine_move(s, spare->machine, worst, "burst");
		spare->machine = NULL;
	}
	free(list);
	return n;
}

/* Returns a pool that has fewer machines than its home size, or NULL. */
static struct pool_load *pool_below_home(struct pool_loads *l)
{
	struct pool_load *p;
	size_t i;

	for (i = 0; i < l->count; i++) {
		p = &l->list[i];
		if (p->routed && !p->service->standby &&
		    p->workers + p->arriving < p->home_size)
			return p;
	}
	return NULL;
}

/* Moves idle machines to pools below their home size, else to standby. */
static void moves_from_idle(struct sched *s, struct pool_loads *l,
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
		return;
	HASH_ITER(hh, s->machines, m, next) {
		from = pool_load_find(l, m->pool);
		if (n >= max || !from || from->service->standby ||
		    !machine_is_idle(s, m, idle_min) ||
		    !pool_can_spare(from, machine_cores, 0))
			continue;
		to = pool_below_home(l);
		if (!to)
			to = standby;
		from->empty--;
		from->workers--;
		from->cores -= machine_cores;
		to->arriving++;
		machine_move(s, m, to, to == standby ? "idle" : "home");
		n++;
	}
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

/*
 * Returns the time that a pool needs for the work that waits for nothing but
 * room.  If the owner starts tasks more slowly than the workers run them, its
 * starts decide.  By the cores alone a queue would seem short that an owner
 * short of processor time can't work off: everything would be accepted, and
 * most of it be late.  Its starts also decide if the pool has no cores, as an
 * owner that processes the answers of workers too late takes all for silent.
 */
static double pool_queue_ms(const struct pool_load *p, double machine_cores)
{
	double cores = p->cores - p->long_running_cores +
		       machine_cores * p->arriving;
	double room_ms;

	if (cores <= machine_cores / 8)
		return p->queue_starts_ms;
	room_ms = p->queued_work / cores;
	return room_ms > p->queue_starts_ms ? room_ms : p->queue_starts_ms;
}

/* Logs the load of each pool, at most once per POOL_LOG_INTERVAL_MS. */
static void pool_loads_log(struct sched *s, const struct pool_loads *l,
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
			"leaving=%u pending=%u starts_ms=%.0f evacuated=%u",
			BSTR_ARG(p->service->name), p->workers, p->home_size,
			p->arriving, p->empty, p->cores / 1000,
			p->used_cores / 1000, p->long_running_cores / 1000,
			p->work / 1000, pool_drain_ms(p, machine_cores),
			p->stranded, pool_queue_ms(p, machine_cores),
			p->queued_jobs ? p->objective_sum_ms / p->queued_jobs
				       : 0,
			p->leaving, p->pending_tasks, p->starts_ms,
			p->evacuated);
	}
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
	if (!own_is_exclusive(s) || !s->machine_list_complete ||
	    !s->home_sizes_durable)
		return;
	backlogs_update(s, l, machine_cores);
	if (!policy_is_enabled(s, POLICY_MOVES) ||
	    !moves_to_loaded(s, l, machine_cores))
		moves_from_idle(s, l, machine_cores);
}

/*
 * Runs a pass over all pools.  Their queues are computed also while no machine
 * may be moved: without that, an owner that can't read the list of machines
 * would seem not to work, and callers would be refused.
 */
void move_tick(struct sched *s)
{
	struct pool_loads l = {.start_interval_ms = s->start_interval_ms};
	double machine_cores;
	size_t i;

	if (!own_may_order(s) || !s->config || s->now < s->move_at)
		return;
	s->move_at = s->now + MOVE_INTERVAL_MS;
	l.count = s->config->service_count;
	l.list = xcalloc(l.count + 1, sizeof(*l.list));
	for (i = 0; i < l.count; i++) {
		l.list[i].service = &s->config->services[i];
		l.list[i].routed = service_is_routed(s,
						     l.list[i].service->name);
		l.list[i].home_size = pool_home_size(s,
						     l.list[i].service->name);
	}
	moves_repeat(s);
	pool_loads_add_workers(s, &l);
	pool_loads_add_jobs(s, &l);
	pool_loads_set_starts(&l);
	pool_loads_add_moves(s, &l);
	machine_cores = machine_mean_cores(&l);
	pool_loads_log(s, &l, machine_cores);
	admissions_update(s, &l, machine_cores);
	machines_move(s, &l, machine_cores);
	free(l.list);
}

/*
 * Handles the platform's answer to a move.  It concerns the worker that the
 * machine had when the move was ordered: the list of machines may show the next
 * one already.  If that one were given up, its tasks would run twice.
 */
void move_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct worker *w = rq->worker;
	struct machine *m;

	HASH_FIND_BSTR(s->machines, rq->name, m);
	if (!m || rq->epoch != s->own.epoch)
		return;
	if (a->outcome == OUT_DONE) {
		m->moving_until = s->now + s->options.move_ms + MOVE_RETRY_MS;
		m->state = MACHINE_MOVING;
		m->retry_at = m->late_move_until;
		if (w) {
			worker_lost(s, w, "moved");
			worker_set_gone(s, w);
			w->listed = false;
		}
		return;
	}
	m->retry_at = s->now + MOVE_RETRY_MS;
	if (a->outcome == OUT_UNKNOWN)
		m->late_move_until = s->now + ORDER_LIFETIME_MAX_MS;
	if (s->now < m->late_move_until)
		m->move_unanswered = true;
	else
		move_abandon(s, m);
}
