/*
 * Moving machines between pools: into a pool whose waiting work it can't get
 * done soon, from the standby pool first, then from pools that do not need
 * them; and back to standby, where a machine costs nothing, once it is idle.
 * A move ends all that runs on a machine, so only empty ones are moved.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Pools are compared so often; a look at all jobs each time. */
#define MOVE_EVERY_MS 100
/*
 * Work that a pool can't finish within this calls for machines: a move takes
 * 1.5 s, and what waits longer than about 2 s misses its objective.
 */
#define DRAIN_HIGH_MS 400.0
/* Below this a pool has more than it needs. */
#define DRAIN_LOW_MS 250.0
/* What waits for longer is late: such a pool spares nothing. */
#define WAIT_HIGH_MS 2000.0
/*
 * A machine is idle for so long before it leaves its pool: meanwhile it can
 * go to the queue whose turn is next, without a way through standby.
 */
#define IDLE_MS 2500
/* Machines that a pool keeps free for the next jobs, in parts of its workers:
 * a burst begins with no warning.  0.2 costs 0.03 of a day's credit, 0.7 a
 * third of that. */
#define KEEP_FREE 0.5
/* A pool lends at most this share of its own machines to others; with 0.7 of
 * them away 0.013 of a day's credit was lost on one site, none on another. */
#define LENT_SHARE 0.5
/* A lasting task that waits so long needs another worker. */
#define STRANDED_MS 300
/* A line for each pool is logged so often. */
#define POOL_TOLD_MS 1000
#define MOVE_TIMEOUT_MS 1500
#define MOVE_AGAIN_MS 1000
/*
 * At most so many moves are begun in one look, or a part of the fleet if that
 * is more: a turn of one queue moves a third of all machines within seconds.
 * But no more than a part of what the platform takes in a second, or calls
 * would be turned away and those of waves with them.
 */
#define MOVES_AT_ONCE 8
#define MOVES_OF_FLEET 40
#define MOVES_OF_RATE 20

/* What a pool has and has to do. */
struct balance {
	const struct service *service;
	bool routed;	   /* some queue leads to it */
	unsigned home;	   /* machines that the operator gave it */
	unsigned stranded; /* lasting tasks that find no worker */
	unsigned workers;  /* that take work */
	unsigned coming;   /* machines on their way to it */
	unsigned empty;	   /* workers without tasks */
	double cores;	   /* thousandths, of the workers that take work */
	double used;	   /* of them, by tasks */
	double lasting;	   /* of them, used by lasting tasks */
	double work;	   /* waiting and running, in thousandths x ms */
	double waiting;	   /* of it, what could run if there were room */
	double queued;	   /* of it, what waits for nothing but room */
	struct resources largest; /* what its largest worker has in all */
	double objectives;	  /* of the jobs that queue, in ms, added up */
	unsigned jobs;		  /* that queue */
};

/* An idle machine, and where it is; NULL: it has been chosen. */
struct idle {
	struct machine *machine;
	struct balance *from;
};

struct balances {
	struct balance *list;
	size_t count;
};

/* The balance of a service; NULL: it is not in the configuration. */
static struct balance *balance_find(struct balances *b, bstr service)
{
	size_t i;

	for (i = 0; i < b->count; i++)
		if (bstr_eq(b->list[i].service->name, service))
			return &b->list[i];
	return NULL;
}

/*
 * May a worker that has not answered this owner yet be at work?  Each gets
 * the time for it.  Without them a pool seems to have none after a takeover,
 * and all machines in standby would be called up for a single job, to be sent
 * back seconds later.
 */
static bool worker_may_answer(const struct sched *s, const struct worker *w)
{
	return !w->fenced && !w->gone && w->listed && !w->row.draining &&
	       s->now - s->own.ready_at < WORKER_TIMEOUT_MS;
}

/* Add up what the workers have. */
static void balance_workers(struct sched *s, struct balances *b)
{
	struct worker *w, *next;
	struct balance *p;
	const struct task *t;

	HASH_ITER(hh, s->workers, w, next) {
		p = balance_find(b, w->row.service);
		if (!p || !(worker_is_healthy(s, w) || worker_may_answer(s, w)))
			continue;
		p->workers++;
		p->largest = resources_max(p->largest, w->row.capacity);
		p->cores += (double)w->row.capacity.cpu;
		p->used += (double)w->used.cpu;
		if (w->fenced && TAILQ_EMPTY(&w->tasks))
			p->empty++;
		TAILQ_FOREACH(t, &w->tasks, worker_entry)
			if (task_step(t)->long_running &&
			    !task_step(t)->best_effort)
				p->lasting += (double)task_step(t)->need.cpu;
	}
}

/* Add the work left of an occurrence, in thousandths of a core x ms. */
static void balance_occurrence(struct sched *s, struct balance *p,
			       const struct occurrence *o)
{
	const struct job_step *st = o->job->body->steps;
	double one;
	unsigned i;

	job_estimate_update(s, o->job);
	for (i = 0; i < o->job->body->step_count; i++, st++) {
		if (st->long_running || st->best_effort)
			continue;
		one = (double)st->need.cpu *
		      (double)o->job->estimate.step_ms[i];
		p->work += one * o->unfinished_in_step[i];
		if (step_ready(o, i))
			p->waiting += one * o->pending_tasks[i].count;
	}
}

/* Is it room alone that a job's tasks wait for? */
static bool job_queues(const struct job *j)
{
	switch (j->pending_reason) {
	case PENDING_LIMIT:
	case PENDING_CEILING:
	case PENDING_CONSTRAINTS:
	case PENDING_TICKET:
		return false;
	default:
		return true;
	}
}

/* Add what an occurrence has in the queue for a pool's room. */
static void balance_queued(struct sched *s, struct balance *p,
			   const struct occurrence *o)
{
	struct job *j = o->job;
	const struct job_step *st = j->body->steps;
	double queued = 0;
	unsigned i;

	for (i = 0; i < j->body->step_count; i++, st++)
		if (!st->long_running && !st->best_effort &&
		    resources_fit(st->need, p->largest))
			queued += (double)st->need.cpu *
				  (double)j->estimate.step_ms[i] *
				  o->unfinished_in_step[i];
	if (queued <= 0)
		return;
	p->queued += queued;
	p->objectives += (double)job_objective_ms(s, j);
	p->jobs++;
}

/* Lasting tasks of an occurrence that have found no worker for a while. */
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
			    s->now - task_ready_at(t) > STRANDED_MS)
				n++;
	}
	return n;
}

/* Add up what there is to do. */
static void balance_jobs(struct sched *s, struct balances *b)
{
	const struct occurrence *o;
	struct balance *p;
	struct job *j;

	TAILQ_FOREACH(j, &s->order, entry) {
		if (j->status > JOB_STATUS_RUNNING)
			continue;
		p = balance_find(b, job_service(s, j));
		if (!p)
			continue;
		TAILQ_FOREACH(o, &j->occs, entry) {
			balance_occurrence(s, p, o);
			if (job_queues(j))
				balance_queued(s, p, o);
			p->stranded += occurrence_stranded(s, o);
		}
	}
}

/* Count the machines that are on their way. */
static void balance_machines(struct sched *s, struct balances *b)
{
	struct machine *m, *next;
	struct balance *p;

	HASH_ITER(hh, s->machines, m, next) {
		if (s->now >= m->moving_until)
			continue;
		p = balance_find(b, m->moving_to);
		if (p)
			p->coming++;
	}
}

/* Cores that one machine brings. */
static double machine_cores(const struct balances *b)
{
	double cores = 0;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < b->count; i++) {
		cores += b->list[i].cores;
		n += b->list[i].workers;
	}
	return n ? cores / n : 0;
}

/* How long a pool needs for its work, with the machines under way. */
static double drain_ms(const struct balance *p, double one)
{
	double cores = p->cores - p->lasting + one * p->coming;

	if (p->stranded > p->coming)
		return 1e9;
	if (p->work <= 0)
		return 0;
	return cores > one / 8 ? p->work / cores : 1e9;
}

/*
 * Is a machine empty and long enough so to be moved?  One in standby is off:
 * it has no worker.
 */
static bool machine_is_idle(struct sched *s, struct machine *m, int64_t since)
{
	struct worker *w = m->worker.bstr_len ? worker_find(s, m->worker)
					      : NULL;
	const struct service *pool = service_named(s, m->pool);

	if (m->state != MACHINE_UP || s->now < m->moving_until ||
	    s->now < m->retry_at)
		return false;
	if (pool && pool->standby)
		return true;
	return w && w->fenced && TAILQ_EMPTY(&w->tasks) &&
	       worker_ends_durable(w) && w->listed && !w->row.draining &&
	       !w->takedown_pending && s->now - w->idle_since >= since;
}

/* Move a machine. */
static void machine_move(struct sched *s, struct machine *m,
			 const struct balance *to, const char *why)
{
	struct worker *w = m->worker.bstr_len ? worker_find(s, m->worker)
					      : NULL;
	struct request *rq;
	struct ask *ask;

	rq = sched_ask(s, FOR_MOVE, ASK_MOVE,
		       own_exclusive_until(s, s->now + MOVE_TIMEOUT_MS), &ask);
	rq->name = bstr_copy(m->id);
	ask->order.machine = bstr_copy(m->id);
	ask->order.pool = bstr_copy(to->service->name);
	ask->order.holder = bstr_copy(s->options.vm);
	ask->order.epoch = s->own.epoch;
	bstr_set(&m->moving_to, to->service->name);
	m->moving_until = s->now + MOVE_TIMEOUT_MS + s->options.move_ms;
	if (w)
		w->takedown_pending = true;
	sched_log(s, LOG_MACHINE_MOVED,
		  "machine=%.*s worker=%.*s from=%.*s to=%.*s why=%s",
		  BSTR_ARG(m->id), BSTR_ARG(m->worker), BSTR_ARG(m->pool),
		  BSTR_ARG(to->service->name), why);
}

/* Would what waits in a pool be late with a machine less? */
static bool pool_waits(const struct balance *p, double one)
{
	return p->waiting > (p->cores - p->lasting - one) * WAIT_HIGH_MS;
}

/*
 * May a pool spare one of its empty machines now?  What it has beyond its
 * home size, yes; of its own a few, while little waits in it.  What runs there
 * needs no other machine.
 */
static bool pool_spares(const struct balance *p, double one, double lent)
{
	if (p->service->standby || !p->routed)
		return true;
	if (p->workers + p->coming + lent * p->home <= p->home)
		return false;
	/* One that machines are under way to is in need. */
	if (pool_waits(p, one) ||
	    (p->coming && drain_ms(p, one) >= DRAIN_LOW_MS))
		return false;
	return p->workers + p->coming > p->home ||
	       p->empty > (unsigned)(KEEP_FREE * p->workers) + 1;
}

/* How many moves may be begun in this look. */
static unsigned moves_at_once(const struct sched *s)
{
	unsigned n = HASH_COUNT(s->machines) / MOVES_OF_FLEET;

	if (n > s->options.machine_calls_per_s / MOVES_OF_RATE)
		n = s->options.machine_calls_per_s / MOVES_OF_RATE;
	return n > MOVES_AT_ONCE ? n : MOVES_AT_ONCE;
}

/* The machines that are idle now; the list is the caller's. */
static struct idle *idle_collect(struct sched *s, struct balances *b,
				 size_t *count)
{
	struct idle *list = xcalloc(HASH_COUNT(s->machines) + 1, sizeof(*list));
	struct machine *m, *next;
	struct balance *from;

	*count = 0;
	HASH_ITER(hh, s->machines, m, next) {
		from = balance_find(b, m->pool);
		if (from && machine_is_idle(s, m, 0))
			list[(*count)++] = (struct idle){m, from};
	}
	return list;
}

/* A machine for a pool: of standby, else of one that can spare it. */
static struct idle *idle_choose(struct idle *list, size_t count,
				const struct balance *to, double one,
				double lent)
{
	struct idle *best = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!list[i].machine || list[i].from == to ||
		    !pool_spares(list[i].from, one, lent))
			continue;
		if (list[i].from->service->standby)
			return &list[i];
		if (!best)
			best = &list[i];
	}
	return best;
}

/* The pool that needs longest for its work; NULL: none leads to work. */
static struct balance *pool_worst(struct balances *b, double one)
{
	struct balance *worst = NULL, *p;
	size_t i;

	for (i = 0; i < b->count; i++) {
		p = &b->list[i];
		if (p->routed && !p->service->standby &&
		    (!worst || drain_ms(p, one) > drain_ms(worst, one)))
			worst = p;
	}
	return worst;
}

/* Bring machines to the pool that needs them most. */
static unsigned moves_in(struct sched *s, struct balances *b, double one)
{
	double lent = policy_is_enabled(s, POLICY_LENDING) ? LENT_SHARE : 0;
	unsigned n, most = moves_at_once(s);
	struct balance *worst;
	struct idle *list, *spare;
	size_t count;

	list = idle_collect(s, b, &count);
	for (n = 0; n < most; n++) {
		worst = pool_worst(b, one);
		if (!worst || drain_ms(worst, one) < DRAIN_HIGH_MS)
			break;
		spare = idle_choose(list, count, worst, one, lent);
		if (!spare)
			break;
		spare->from->empty--;
		spare->from->workers--;
		spare->from->cores -= one;
		worst->coming++;
		machine_move(s, spare->machine, worst, "burst");
		spare->machine = NULL;
	}
	free(list);
	return n;
}

/* A pool that has lent machines and not got them back. */
static struct balance *pool_below_home(struct balances *b)
{
	struct balance *p;
	size_t i;

	for (i = 0; i < b->count; i++) {
		p = &b->list[i];
		if (p->routed && !p->service->standby &&
		    p->workers + p->coming < p->home)
			return p;
	}
	return NULL;
}

/* Send what is idle home, or to standby. */
static void moves_out(struct sched *s, struct balances *b, double one)
{
	struct machine *m, *next;
	struct balance *from, *standby = NULL, *to;
	int64_t stay = policy_is_enabled(s, POLICY_IDLE_STAY) ? IDLE_MS : 0;
	unsigned n = 0, most = moves_at_once(s);
	size_t i;

	for (i = 0; i < b->count; i++)
		if (b->list[i].service->standby)
			standby = &b->list[i];
	if (!standby)
		return;
	HASH_ITER(hh, s->machines, m, next) {
		from = balance_find(b, m->pool);
		if (n >= most || !from || from->service->standby ||
		    !machine_is_idle(s, m, stay) || !pool_spares(from, one, 0))
			continue;
		to = pool_below_home(b);
		if (!to)
			to = standby;
		from->empty--;
		from->workers--;
		from->cores -= one;
		to->coming++;
		machine_move(s, m, to, to == standby ? "idle" : "home");
		n++;
	}
}

/* Does a queue lead to a service? */
static bool service_is_routed(const struct sched *s, bstr name)
{
	size_t i;

	for (i = 0; i < s->config->route_count; i++)
		if (bstr_eq(s->config->routes[i].service, name))
			return true;
	return false;
}

/* How many machines the operator gave a pool. */
static unsigned home_size(const struct sched *s, bstr pool)
{
	char *name = bstr_cstr(pool);
	json_int_t n = json_integer_value(json_object_get(s->home_sizes, name));

	free(name);
	return (unsigned)n;
}

/* How long a pool needs for what waits for its room; 0: that is not known. */
static double queue_ms(const struct balance *p, double one)
{
	double cores = p->cores - p->lasting + one * p->coming;

	return cores > one / 8 ? p->queued / cores : 0;
}

/* Tell how the pools stand, once in a while. */
static void balances_log(struct sched *s, const struct balances *b, double one)
{
	const struct balance *p;
	size_t i;

	if (s->now < s->pool_log_at)
		return;
	s->pool_log_at = s->now + POOL_TOLD_MS;
	for (i = 0; i < b->count; i++) {
		p = &b->list[i];
		if (!p->routed)
			continue;
		sched_log(
			s, LOG_POOL,
			"pool=%.*s workers=%u home=%u coming=%u empty=%u "
			"cores=%.0f used=%.0f lasting=%.0f work_ms=%.0f drain_ms=%.0f "
			"stranded=%u queue_ms=%.0f objective_ms=%.0f",
			BSTR_ARG(p->service->name), p->workers, p->home,
			p->coming, p->empty, p->cores / 1000, p->used / 1000,
			p->lasting / 1000, p->work / 1000, drain_ms(p, one),
			p->stranded, queue_ms(p, one),
			p->jobs ? p->objectives / p->jobs : 0);
	}
}

/* Tell which pools have more in their queues than they can do in time. */
static void admissions_make(struct sched *s, const struct balances *b,
			    double one)
{
	const struct balance *p;
	size_t i;

	admissions_free(s);
	for (i = 0; i < b->count; i++) {
		p = &b->list[i];
		if (p->routed && p->jobs &&
		    policy_is_enabled(s, POLICY_ADMISSION))
			admission_set(s, p->service->name, queue_ms(p, one),
				      p->objectives / p->jobs);
	}
}

/* Keep how long each pool needs, for the waves. */
static void drains_keep(struct sched *s, const struct balances *b, double one)
{
	size_t i;

	backlogs_free(s);
	s->backlogs = xcalloc(b->count + 1, sizeof(*s->backlogs));
	s->backlog_count = b->count;
	for (i = 0; i < b->count; i++) {
		s->backlogs[i].pool = bstr_copy(b->list[i].service->name);
		s->backlogs[i].duration_ms = drain_ms(&b->list[i], one);
	}
}

/* Forget it. */
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
 * Has a pool more to do than it can finish soon?  An owner that has not looked
 * at the pools yet does not know: waves would take machines in a burst.
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
 * Look at all pools.  Nothing is moved before the store knows the sizes that
 * they had at first: a later list shows others, and what a pool was lent would
 * count as its own for ever.
 */
void move_tick(struct sched *s)
{
	struct balances b = {0};
	double one;
	size_t i;

	if (!own_is_exclusive(s) || !s->list_complete ||
	    !s->home_sizes_durable || !s->config || s->now < s->move_at)
		return;
	s->move_at = s->now + MOVE_EVERY_MS;
	b.count = s->config->service_count;
	b.list = xcalloc(b.count + 1, sizeof(*b.list));
	for (i = 0; i < b.count; i++) {
		b.list[i].service = &s->config->services[i];
		b.list[i].routed = service_is_routed(s,
						     b.list[i].service->name);
		b.list[i].home = home_size(s, b.list[i].service->name);
	}
	balance_workers(s, &b);
	balance_jobs(s, &b);
	balance_machines(s, &b);
	one = machine_cores(&b);
	balances_log(s, &b, one);
	drains_keep(s, &b, one);
	admissions_make(s, &b, one);
	if (!policy_is_enabled(s, POLICY_MOVES) || !moves_in(s, &b, one))
		moves_out(s, &b, one);
	free(b.list);
}

/* The outcome of a move. */
void move_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct machine *m;
	struct worker *w;

	HASH_FIND_BSTR(s->machines, rq->name, m);
	if (!m || rq->epoch != s->own.epoch)
		return;
	w = m->worker.bstr_len ? worker_find(s, m->worker) : NULL;
	if (a->outcome == OUT_DONE) {
		m->moving_until = s->now + s->options.move_ms + MOVE_AGAIN_MS;
		m->state = MACHINE_MOVING;
		if (w) {
			worker_lost(s, w, "moved");
			worker_set_gone(s, w);
			w->listed = false;
		}
		return;
	}
	m->retry_at = s->now + MOVE_AGAIN_MS;
	/* Without an answer it may have been moved, or be moved later. */
	if (a->outcome == OUT_UNKNOWN)
		return;
	m->moving_until = 0;
	if (w)
		w->takedown_pending = false;
}
