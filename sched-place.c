/*
 * Placement of pending tasks on workers.  A placement pass places the steps
 * that have pending tasks, in their order, on the feasible workers with the
 * highest scores.
 */
#include "sched-place.h"

#include <stdlib.h>
#include <string.h>

/*
 * Weights of the terms of a worker's score.  Only their order of magnitude
 * matters.
 */
#define SCORE_DATA_RACK 1e9	/* in the rack of the step's data */
#define SCORE_NOT_AVOIDED 1e8	/* the task has not failed there */
#define SCORE_RACK_SIBLINGS 1e6 /* per task of a same-rack step in its rack */
#define SCORE_SPREAD 1e7 /* one task fewer of a long-running step there */
/*
 * Per long-running task on it.  Long-running tasks share workers, and short
 * tasks go to the fullest worker with room, so that other machines of a pool
 * become empty and can move to a pool that needs them.  Without this, more jobs
 * of such pools miss their objective.
 */
#define SCORE_LONG_RUNNING 1e5
#define SCORE_CPU_USED 1e4 /* if all of its cores are used */

/*
 * Minimum interval between placement passes: 1 ms per this many open jobs, if
 * there are more than PASS_JOBS_MIN, plus 1 ms per this many workers.  If every
 * round of events triggered a pass, a long queue or a large fleet would take
 * all of the owner's processor time, and store writes and answers of workers
 * would be delayed.
 */
#define PASS_JOBS_PER_MS 100
#define PASS_WORKERS_PER_MS 250
#define PASS_JOBS_MIN 500

/* Returns the number of tasks of a step that are on a worker. */
unsigned step_tasks_on_worker(const struct worker *w,
			      const struct occurrence *o, unsigned step_index)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (t->occ == o && t->step == step_index)
			n++;
	return n;
}

/* Returns true if a worker has a label, or if the label is empty. */
static bool worker_has_label(const struct worker *w, bstr label)
{
	size_t i;

	for (i = 0; label.bstr_len && i < w->row.label_count; i++)
		if (bstr_eq(w->row.labels[i], label))
			return true;
	return !label.bstr_len;
}

/* Returns the number of long-running tasks on a worker. */
static unsigned worker_long_running(const struct worker *w)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (task_step(t)->long_running)
			n++;
	return n;
}

/* Returns the number of tasks of a task's step that are in a rack. */
static unsigned step_tasks_in_rack(const struct pool *pool, bstr rack,
				   const struct task *t)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < pool->count; i++)
		if (bstr_eq(pool->workers[i]->rack, rack))
			n += step_tasks_on_worker(pool->workers[i], t->occ,
						  t->step);
	return n;
}

/*
 * Returns true if a worker that has room may run a task, provided that it needs
 * no ticket or has one.
 */
bool worker_suits_without_ticket(struct sched *s, const struct worker *w,
				 const struct task *t)
{
	const struct job_step *st = task_step(t);

	if (!crash_allows(s, w, t) || !worker_has_label(w, st->required_label))
		return false;
	if (st->max_per_worker &&
	    step_tasks_on_worker(w, t->occ, t->step) >= st->max_per_worker)
		return false;
	return s->now >= w->suspect_until ||
	       !policy_is_enabled(s, POLICY_DOUBT);
}

/* Returns true if a worker that has room may run a task. */
bool worker_suits(struct sched *s, const struct worker *w, const struct task *t)
{
	return worker_suits_without_ticket(s, w, t) &&
	       (!advice_is_needed(s, t->occ->job) ||
		advice_ticket(s, t->occ, t->step, w).bstr_len);
}

/*
 * Returns the score of a worker for a task; the highest score wins.  A negative
 * score means that the worker is not feasible.
 */
static double worker_score(struct sched *s, const struct candidate *c,
			   const struct worker *w, const struct task *t)
{
	const struct job_step *st = task_step(t);
	struct resources room = worker_free_room(w);
	double score, idle;
	bool spread;

	if (!resources_fit(step_need(st), room) ||
	    !worker_suits_without_ticket(s, w, t) || !lookahead_allows(s, w, t))
		return -1;
	if (c->needs_tickets && !advice_ticket(s, c->occ, c->step, w).bstr_len)
		return -1;
	/*
	 * Best-effort tasks use idle cores, so they go where many are idle.
	 * Tasks with a target latency are disturbed by other load on their
	 * worker.
	 */
	spread = st->best_effort || st->target_latency_ms ||
		 (st->long_running && !policy_is_enabled(s, POLICY_TOGETHER));
	idle = (double)room.cpu / (double)(w->row.capacity.cpu + 1);
	score = SCORE_CPU_USED * (spread ? idle : 1 - idle);
	if (!policy_is_enabled(s, POLICY_FULLEST))
		score = SCORE_CPU_USED * idle;
	if (score < 0)
		score = 0;
	if (st->preferred_rack.bstr_len && bstr_eq(st->preferred_rack, w->rack))
		score += SCORE_DATA_RACK;
	if (t->avoided_worker != w->serial ||
	    !policy_is_enabled(s, POLICY_AVOID))
		score += SCORE_NOT_AVOIDED;
	if (st->same_rack)
		score += SCORE_RACK_SIBLINGS *
			 step_tasks_in_rack(c->pool, w->rack, t);
	if (st->long_running)
		score += SCORE_LONG_RUNNING *
				 (spread ? 16 - (double)worker_long_running(w)
					 : (double)worker_long_running(w)) +
			 SCORE_SPREAD * (4 - (double)step_tasks_on_worker(
						     w, t->occ, t->step));
	score += crash_score(w, t);
	return score > 0 ? score : 0;
}

/* Returns the feasible worker with the highest score, or NULL. */
static struct worker *worker_choose(struct sched *s, const struct candidate *c,
				    const struct task *t)
{
	const struct pool *pool = c->pool;
	struct worker *best = NULL;
	double best_score = 0, score;
	size_t i;

	for (i = 0; i < pool->count; i++) {
		score = worker_score(s, c, pool->workers[i], t);
		if (score >= 0 && (!best || score > best_score)) {
			best = pool->workers[i];
			best_score = score;
		}
	}
	return best;
}

/* Returns the number of a task's next run, within the range of this epoch. */
static uint64_t task_next_run(const struct sched *s, const struct task *t)
{
	uint64_t base = own_run_base(s);

	return (t->highest_run > base ? t->highest_run : base) + 1;
}

/*
 * Returns true if any worker with enough free resources can run the step's
 * tasks.
 */
static bool step_is_unconstrained(const struct candidate *c,
				  const struct job_step *st)
{
	return !st->required_label.bstr_len && !st->max_per_worker &&
	       !c->needs_tickets;
}

/* Computes the scores of the pool's workers from index first to end - 1. */
static void scores_compute(struct sched *s, const struct candidate *c,
			   const struct task *t, double *scores, size_t first,
			   size_t end)
{
	size_t i;

	for (i = first; i < end; i++)
		scores[i] = worker_score(s, c, c->pool->workers[i], t);
}

/* Returns the index of the highest score, or count if no worker is feasible. */
static size_t scores_best(const double *scores, size_t count)
{
	size_t i, best = count;

	for (i = 0; i < count; i++)
		if (scores[i] >= 0 &&
		    (best == count || scores[i] > scores[best]))
			best = i;
	return best;
}

/*
 * Returns true if the label that a step requires is only found on workers in
 * evacuated data centres.
 */
static bool label_is_evacuated(const struct sched *s, const struct candidate *c,
			       const struct job_step *st)
{
	const struct worker *w;
	bool found = false;
	size_t i;

	if (!st->required_label.bstr_len || !s->evacuations)
		return false;
	for (i = 0; i < c->pool->count; i++)
		if (worker_has_label(c->pool->workers[i], st->required_label))
			return false;
	for (w = s->workers; w && !found; w = w->hh.next)
		found = w->pool == c->pool && worker_is_evacuated(s, w) &&
			worker_is_healthy(s, w) &&
			worker_has_label(w, st->required_label);
	return found;
}

/* Records that no worker can run another task of a step. */
static void step_no_worker(const struct sched *s, const struct candidate *c,
			   const struct job_step *st)
{
	if (!step_is_unconstrained(c, st)) {
		c->job->pending_reason = label_is_evacuated(s, c, st)
						 ? PENDING_EVACUATION
						 : PENDING_CONSTRAINTS;
		return;
	}
	c->job->pending_reason = pool_full_reason(c->pool, step_need(st));
	pool_note_full(c->pool, step_need(st),
		       lookahead_run_ms(c->job, c->step));
}

/* Starts a task of a step on a worker. */
static void candidate_start(struct sched *s, const struct candidate *c,
			    struct task *t, struct worker *w, uint64_t run)
{
	if (!lookahead_binds(s, w))
		pool_take_room(c->pool, worker_free_room(w), c->need);
	lookahead_note_start(s, w, t);
	sched_task_start(s, t, w, run);
}

/*
 * Places the tasks of a step one by one.  The tasks are equal, so only the
 * score of the worker that got the last task has to be computed again.
 * Exceptions are tasks that avoid a worker, and steps whose tasks share a rack.
 */
static void step_place(struct sched *s, const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	struct task *t = &c->occ->tasks[c->occ->first_task[c->step]];
	size_t chosen = 0, count = c->pool->count;
	double *scores = xcalloc(count + 1, sizeof(*scores));
	bool stale = true; /* all scores, not only that of the last choice */
	enum pending_reason limit;
	unsigned i;

	for (i = 0; i < st->count; i++, t++) {
		if (t->phase != PHASE_PENDING || s->now < t->not_before)
			continue;
		if (start_window_is_full(s)) {
			c->job->pending_reason = PENDING_WINDOW;
			s->starts_held_back = true;
			break;
		}
		limit = limit_pending_reason(s, c->job, st);
		if (limit) {
			c->job->pending_reason = limit;
			break;
		}
		if (crash_delays_start(s, t)) {
			c->job->pending_reason = PENDING_CRASH;
			continue;
		}
		if (stale || st->same_rack || t->avoided_worker ||
		    t->crash_count)
			scores_compute(s, c, t, scores, 0, count);
		else
			scores_compute(s, c, t, scores, chosen, chosen + 1);
		stale = t->avoided_worker || t->crash_count;
		chosen = scores_best(scores, count);
		if (chosen == count && t->crash_count) {
			c->job->pending_reason = PENDING_ISOLATION;
			crash_reserve_worker(s, c->pool, t);
			continue;
		}
		if (chosen == count) {
			step_no_worker(s, c, st);
			break;
		}
		candidate_start(s, c, t, c->pool->workers[chosen],
				task_next_run(s, t));
	}
	free(scores);
}

/* Releases the resources reserved for the first n tasks of a gang. */
static void gang_unreserve(struct sched *s, struct task *t,
			   struct worker **chosen, unsigned n)
{
	const struct job_step *st = task_step(t);
	struct usage *u = job_usage(s, t->occ->job);
	unsigned i;

	for (i = 0; i < n; i++) {
		chosen[i]->used = resources_sub(chosen[i]->used, st->need);
		if (chosen[i]->isolated_task == &t[i])
			chosen[i]->isolated_task = NULL;
		u->used = resources_sub(u->used, st->need);
	}
}

/*
 * Places all tasks of a gang, or none.  The resources of each choice are
 * reserved while the next one is made, so that all tasks fit together.
 */
static void gang_place(struct sched *s, const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	struct task *first = &c->occ->tasks[c->occ->first_task[c->step]];
	struct usage *u = job_usage(s, c->job);
	struct worker **chosen = xcalloc(st->count, sizeof(struct worker *));
	bstr checkpoint = BSTR_NONE;
	uint64_t run = 0;
	unsigned i;

	for (i = 0; i < st->count; i++) {
		chosen[i] = NULL;
		if (first[i].phase == PHASE_PENDING &&
		    s->now >= first[i].not_before &&
		    !crash_delays_start(s, &first[i]) &&
		    limit_allows(s, c->job, st))
			chosen[i] = worker_choose(s, c, &first[i]);
		if (!chosen[i]) {
			crash_reserve_worker(s, c->pool, &first[i]);
			break;
		}
		crash_gang_reserve(&first[i], chosen[i]);
		chosen[i]->used = resources_add(chosen[i]->used, st->need);
		u->used = resources_add(u->used, st->need);
		if (task_next_run(s, &first[i]) > run)
			run = task_next_run(s, &first[i]);
		if (!checkpoint.bstr_len)
			checkpoint = first[i].checkpoint;
	}
	gang_unreserve(s, first, chosen, i);
	if (i == st->count) {
		checkpoint = bstr_copy(checkpoint);
		for (i = 0; i < st->count; i++) {
			bstr_set(&first[i].checkpoint, checkpoint);
			candidate_start(s, c, &first[i], chosen[i], run);
		}
		bstr_free(&checkpoint);
	}
	free(chosen);
}

/*
 * Has the start of a job recorded in the store, if there is room for it besides
 * the jobs that wait for the same.  Without this check all waiting jobs would
 * start in an overload: the writes of the few jobs that have room would queue
 * behind those of thousands of others, and a successor would have to assume
 * that all of them are running somewhere.
 */
static enum pending_reason candidate_request_start(struct sched *s,
						   const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	struct resources need = step_need(st);
	unsigned i;

	if (!resources_fit(resources_add(c->pool->reserved, need),
			   c->pool->total_room))
		return pool_full_reason(c->pool, need);
	for (i = 0; i < c->occ->unfinished_in_step[c->step]; i++)
		c->pool->reserved = resources_add(c->pool->reserved, need);
	return job_request_start(s, c->job) ? PENDING_NONE : PENDING_STORE;
}

/*
 * Returns why no task of a step that may have room can be placed, or
 * PENDING_NONE.
 */
static enum pending_reason candidate_blocked_by(struct sched *s,
						const struct candidate *c)
{
	const struct job_step *st = &c->job->body->steps[c->step];
	enum pending_reason limit;

	if (c->job->refused_until)
		return PENDING_STORE;
	limit = limit_pending_reason(s, c->job, st);
	if (limit)
		return limit;
	if (!job_start_is_durable(s, c->job))
		return candidate_request_start(s, c);
	if (c->needs_tickets && !advice_ready(s, c))
		return advice_seek(s, c);
	return PENDING_NONE;
}

/* Returns true if it is known that no worker takes a task of a step. */
static bool candidate_has_no_room(const struct sched *s,
				  const struct candidate *c)
{
	int64_t run_ms = lookahead_run_ms(c->job, c->step);

	if (c->job->has_crashes)
		return false;
	if (pool_is_known_full(c->pool, c->need, run_ms))
		return true;
	return !resources_fit(c->need, c->pool->max_room) &&
	       !lookahead_has_room(s, c->pool, c->need, run_ms);
}

/*
 * Holds workers for the pending tasks of a step if they are large and only wait
 * for room, or for the store or a higher ceiling: the room that they have now
 * would be taken meanwhile.  It requests neither of these: what a step needs
 * besides its room is requested once it has room.
 */
static void candidate_look_ahead(struct sched *s, const struct candidate *c)
{
	const struct task *t = &c->occ->tasks[c->occ->first_task[c->step]];
	const struct task *first = NULL;
	unsigned i, left = 0;

	if (c->job->has_crashes || start_window_is_full(s) ||
	    !lookahead_applies(s, c->pool, c->occ, c->step))
		return;
	for (i = c->job->body->steps[c->step].count; i-- > 0;) {
		if (t[i].phase != PHASE_PENDING || s->now < t[i].not_before)
			continue;
		first = &t[i];
		left++;
	}
	if (first)
		lookahead_hold(s, c->pool, first, left);
}

/*
 * Returns true if a step that is not started for a reason may be held the room
 * that it waits for, or has.
 */
static bool reason_allows_hold(enum pending_reason reason)
{
	return reason == PENDING_CAPACITY || reason == PENDING_STORE ||
	       reason == PENDING_CEILING;
}

/*
 * Places a step as far as there is room for it.  For steps without room only
 * their resource needs are checked, as in an overload nearly all steps are
 * such.
 */
static void candidate_place(struct sched *s, const struct candidate *c)
{
	enum pending_reason reason;

	if (candidate_has_no_room(s, c)) {
		if (c->previous_reason != PENDING_CAPACITY)
			c->job->pending_reason = pool_full_reason(c->pool,
								  c->need);
		candidate_look_ahead(s, c);
		pool_measure_if_stale(s, c->pool);
		return;
	}
	reason = candidate_blocked_by(s, c);
	if (reason) {
		/*
		 * PENDING_STORE does not replace another reason: the job has
		 * only just found room, so the other reason is what it waited
		 * for.
		 */
		if (reason != PENDING_STORE || !c->job->pending_reason)
			c->job->pending_reason = reason;
		if (reason_allows_hold(reason))
			candidate_look_ahead(s, c);
		pool_measure_if_stale(s, c->pool);
		return;
	}
	if (c->job->body->steps[c->step].gang)
		gang_place(s, c);
	else
		step_place(s, c);
	if (c->occ->pending_tasks[c->step].count) {
		if (c->needs_tickets)
			advice_seek(s, c);
		candidate_look_ahead(s, c);
	}
	/* Tasks with crashes also open and close workers. */
	if (c->pool->max_is_stale || c->job->has_crashes ||
	    c->job->body->steps[c->step].gang)
		pool_measure(s, c->pool);
}

/*
 * Assigns the sorted candidates to their pools, and lists the pools that have
 * any.
 */
static void pools_assign_candidates(struct sched *s, struct place_pass *p)
{
	struct pool *pool;
	size_t i;

	p->pools_left = xcalloc(HASH_COUNT(s->pools) + 1,
				sizeof(struct pool *));
	for (pool = s->pools; pool; pool = pool->hh.next)
		pool->waiting = pool->waiting_end = NULL;
	for (i = 0; i < p->count; i++) {
		pool = p->sorted[i]->pool;
		if (!pool->waiting)
			pool->waiting = &p->sorted[i];
		pool->waiting_end = &p->sorted[i + 1];
	}
	for (pool = s->pools; pool; pool = pool->hh.next)
		if (pool->waiting)
			p->pools_left[p->pools_left_count++] = pool;
}

/*
 * Returns the index of the first pool that has not had its turn in the current
 * round-robin round.
 */
static size_t pool_next_index(const struct sched *s, const struct place_pass *p)
{
	size_t i;

	for (i = 0; i < p->pools_left_count; i++)
		if (p->pools_left[i]->order_index > s->last_pool_index)
			return i;
	return 0;
}

/*
 * Records that the candidates left wait for the starts in flight.  With the
 * reason of an earlier pass they would seem to wait for something else, and
 * their pool's queue would seem shorter than it is.  Jobs of an organisation at
 * its upper limit are not queued for room, so they keep that reason.
 */
static void candidates_wait_for_window(const struct place_pass *p)
{
	struct candidate **c;
	size_t i;

	for (i = 0; i < p->pools_left_count; i++)
		for (c = p->pools_left[i]->waiting;
		     c < p->pools_left[i]->waiting_end; c++)
			if ((*c)->previous_reason != PENDING_LIMIT)
				(*c)->job->pending_reason = PENDING_WINDOW;
}

/*
 * Places candidates of the pools in round-robin order, continuing in the next
 * pass where this one ended.  All pools share the limit of starts in flight.
 * If all candidates were in one order, a pool with much work would use up this
 * limit in every pass, and other pools would stay idle in spite of their work.
 */
static void candidates_place(struct sched *s, struct place_pass *p)
{
	size_t i = pool_next_index(s, p);
	struct pool *pool;

	while (p->pools_left_count && !start_window_is_full(s)) {
		pool = p->pools_left[i];
		s->last_pool_index = pool->order_index;
		candidate_place(s, *pool->waiting++);
		if (pool->waiting < pool->waiting_end)
			i++;
		else
			memmove(&p->pools_left[i], &p->pools_left[i + 1],
				(--p->pools_left_count - i) *
					sizeof(struct pool *));
		if (i >= p->pools_left_count)
			i = 0;
	}
	if (!p->pools_left_count)
		s->place_complete = s->place_serial;
	candidates_wait_for_window(p);
}

/* Runs a placement pass over all jobs. */
void place_all(struct sched *s)
{
	struct place_pass p = {0};

	/* place_due stays set, so the pass runs when starts are possible. */
	if (!own_may_start(s) || !evacuations_are_known(s) ||
	    start_window_is_full(s))
		return;
	s->place_due = s->has_delayed_tasks = s->has_pending_tasks = false;
	s->starts_held_back = false;
	s->load.place_passes++;
	s->place_serial++;
	pools_refresh(s);
	usage_unknown_update(s);
	candidates_collect(s, &p);
	s->place_at = s->now + HASH_COUNT(s->workers) / PASS_WORKERS_PER_MS;
	if (s->open_jobs > PASS_JOBS_MIN)
		s->place_at += s->open_jobs / PASS_JOBS_PER_MS;
	/*
	 * Delays of tasks and of suspect workers end without an event, so
	 * pending tasks are considered again at the next tick.
	 */
	s->has_pending_tasks = s->has_pending_tasks || s->has_delayed_tasks;
	candidates_sort(s, &p);
	pools_assign_candidates(s, &p);
	candidates_place(s, &p);
	/*
	 * If the window is full, the next pass continues when answers have made
	 * room.
	 */
	s->starts_held_back = s->starts_held_back || p.pools_left_count;
	s->place_due = s->place_due || start_window_is_full(s);
	free(p.pools_left);
	free(p.sorted);
	free(p.candidates);
}
