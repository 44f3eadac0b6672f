/*
 * Logs the activity of the owner each second, to show why tasks waited although
 * workers had room: how often it polled workers and ran placement passes, how
 * much it wrote, what remains to be written, and the task of each pool that has
 * waited longest, with the reason.
 */
#include "sched-state.h"

#define LOAD_LOG_INTERVAL_MS 1000
/* Shorter waits are not logged. */
#define WAIT_LOG_MIN_MS 1000
/* Tasks that end by themselves and have been placed for less are not logged. */
#define RUN_LOG_MIN_MS 5000

/*
 * Counts the answer to a poll, and the time since the previous one if the
 * worker has tasks.
 */
void load_add_poll(struct sched *s, const struct worker *w,
		   const struct answer *a)
{
	int64_t gap = s->now - w->answered_at;

	s->load.polls++;
	s->load.ends += (unsigned)a->ended_count;
	s->load.listed_runs += (unsigned)a->running_count;
	if (w->fenced && !TAILQ_EMPTY(&w->tasks)) {
		s->load.poll_gaps++;
		s->load.poll_gap_ms += gap;
	}
}

/* Counts a commit that was carried out. */
void load_add_commit(struct sched *s, unsigned rows, int64_t ms)
{
	s->load.commits++;
	s->load.rows += rows;
	if (ms > s->load.commit_ms_max)
		s->load.commit_ms_max = ms;
}

/* Returns the number of jobs whose progress has to be written. */
static unsigned dirty_job_count(const struct sched *s)
{
	const struct job *j;
	unsigned n = 0;

	TAILQ_FOREACH(j, &s->dirty, dirty)
		n++;
	return n;
}

/* Returns the task of a step that has been pending longest, or NULL. */
static const struct task *step_longest_wait(const struct occurrence *o,
					    unsigned step_index)
{
	const struct task *t = &o->tasks[o->first_task[step_index]];
	const struct task *longest = NULL;
	unsigned i;

	if (!o->pending_tasks[step_index].count ||
	    !step_is_ready(o, step_index))
		return NULL;
	for (i = 0; i < o->job->body->steps[step_index].count; i++, t++)
		if (t->phase == PHASE_PENDING && task_ready_at(t) &&
		    (!longest || task_ready_at(t) < task_ready_at(longest)))
			longest = t;
	return longest;
}

/* Finds the longest wait of each pool, and counts the jobs that wait. */
static void waits_collect(struct sched *s)
{
	const struct task *t;
	struct occurrence *o;
	struct pool *p;
	struct job *j;
	unsigned i;

	for (p = s->pools; p; p = p->hh.next) {
		p->longest_wait = NULL;
		p->waiting_steps = 0;
	}
	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry) {
		if (j->status > JOB_STATUS_RUNNING)
			continue;
		p = job_pool(s, j);
		TAILQ_FOREACH(o, &j->occs, entry) {
			for (i = 0; i < j->body->step_count; i++) {
				t = step_longest_wait(o, i);
				if (!t)
					continue;
				p->waiting_steps++;
				if (!p->longest_wait ||
				    task_ready_at(t) <
					    task_ready_at(p->longest_wait))
					p->longest_wait = t;
			}
		}
	}
}

/* Logs the longest wait of each pool. */
static void waits_log(struct sched *s)
{
	const struct task *t;
	const struct job *j;
	struct pool *p;

	waits_collect(s);
	for (p = s->pools; p; p = p->hh.next) {
		t = p->longest_wait;
		p->longest_wait = NULL;
		if (!t || s->now - task_ready_at(t) < WAIT_LOG_MIN_MS)
			continue;
		j = t->occ->job;
		sched_log(
			s, LOG_POOL_WAIT,
			"pool=%.*s steps=%u task=%s.%u.%u.%u waited_ms=%lld "
			"hold=%s delay_ms=%lld awaited=%u run=%llu durable=%d "
			"settled=%d placed=%u cpu=%lld room=%lld most=%lld "
			"reserved=%lld workers=%zu unknown=%u",
			BSTR_ARG(p->service), p->waiting_steps, j->id,
			t->occ->number, t->step, t->index,
			(long long)(s->now - task_ready_at(t)),
			pending_reason_word(j->pending_reason),
			(long long)(t->not_before > s->now
					    ? t->not_before - s->now
					    : 0),
			t->awaited_worker, (unsigned long long)t->highest_run,
			j->start_durable, !j->inherited || j->settled,
			j->placed, (long long)task_step(t)->need.cpu,
			(long long)p->total_room.cpu,
			(long long)p->max_room.cpu, (long long)p->reserved.cpu,
			p->count, p->unknown);
	}
}

/*
 * Logs the task that has been placed longest of those that end by themselves,
 * with what its worker has said of it.  A run that the owner counts on and
 * that no worker has would leave its job open for ever.
 */
static void longest_run_log(struct sched *s)
{
	const struct task *t, *longest = NULL;
	const struct worker *w;

	for (w = s->workers; w; w = w->hh.next)
		TAILQ_FOREACH(t, &w->tasks, worker_entry)
			if (!task_step(t)->long_running &&
			    (!longest || t->started_at < longest->started_at))
				longest = t;
	if (!longest || s->now - longest->started_at < RUN_LOG_MIN_MS)
		return;
	w = longest->worker;
	sched_log(s, LOG_RUN_LONGEST,
		  "task=%s.%u.%u.%u run=%llu worker=%.*s placed_ms=%lld "
		  "phase=%d in_flight=%d stopping=%d percent=%u lists=%llu "
		  "listed_in=%llu clock=%lld start_clock=%lld ends_cut=%d",
		  longest->occ->job->id, longest->occ->number, longest->step,
		  longest->index, (unsigned long long)longest->run,
		  BSTR_ARG(w->id), (long long)(s->now - longest->started_at),
		  longest->phase, longest->start_in_flight, longest->stopping,
		  longest->percent, (unsigned long long)w->list_count,
		  (unsigned long long)longest->last_list, (long long)w->clock,
		  (long long)longest->started_at_worker, w->ends_truncated);
}

/* Returns the age of the owner's list of jobs; -1: not known. */
static int64_t job_list_age_ms(const struct sched *s)
{
	return job_list_as_of(s) ? store_clock(s) - job_list_as_of(s) : -1;
}

/* Logs the activity since the last line. */
static void load_log(struct sched *s)
{
	const struct load *l = &s->load;
	struct responses r;

	responses_count(s, &r);
	sched_log(
		s, LOG_OWNER_LOAD,
		"jobs=%u looks=%u begins=%u starts=%u slow=%u holds=%u "
		"gap_ms=%lld ends=%u new_ends=%u commits=%u rows=%u commit_ms=%lld "
		"unwritten=%u flying=%u window=%u listed=%u new_runs=%u "
		"walked=%u rooms=%u "
		"feed_ms=%lld workers=%u responsive=%u overdue=%u",
		HASH_COUNT(s->jobs), l->place_passes, l->job_starts, l->starts,
		l->slow_starts, l->polls,
		(long long)(l->poll_gaps ? l->poll_gap_ms / l->poll_gaps : 0),
		l->ends, l->new_ends, l->commits, l->rows,
		(long long)l->commit_ms_max, dirty_job_count(s),
		l->starts_in_flight_max, s->start_window / START_WINDOW_UNIT,
		l->listed_runs, l->new_runs, l->walked_jobs, l->measured_rooms,
		(long long)job_list_age_ms(s), r.expected, r.in_time,
		r.overdue);
}

/*
 * Logs the activity since the last line, if there are jobs or any have ended,
 * and resets the counts.  An owner that starts nothing beside open jobs is
 * logged as well: those are the seconds to be explained.
 */
void load_tick(struct sched *s)
{
	struct load *l = &s->load;

	if (s->now < l->log_at)
		return;
	if (s->own.state == OWN_OWNER) {
		waits_log(s);
		longest_run_log(s);
		flows_log(s);
		if (HASH_COUNT(s->jobs) || l->ends)
			load_log(s);
	}
	flows_free(s);
	*l = (struct load){.log_at = s->now + LOAD_LOG_INTERVAL_MS};
}
