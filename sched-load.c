/*
 * Logs the activity of the owner each second, to show why tasks waited although
 * workers had room: how often it polled workers and ran placement passes, how
 * much it wrote, and what remains to be written.
 */
#include "sched-state.h"

#define LOAD_LOG_INTERVAL_MS 1000

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

/*
 * Logs the activity since the last line, if there was any, and resets the
 * counts.
 */
void load_tick(struct sched *s)
{
	struct load *l = &s->load;

	if (s->now < l->log_at)
		return;
	if (s->own.state == OWN_OWNER && (l->starts || l->ends))
		sched_log(s, LOG_OWNER_LOAD,
			  "jobs=%u looks=%u begins=%u starts=%u slow=%u "
			  "holds=%u "
			  "gap_ms=%lld ends=%u commits=%u rows=%u "
			  "commit_ms=%lld unwritten=%u flying=%u window=%u",
			  HASH_COUNT(s->jobs), l->place_passes, l->job_starts,
			  l->starts, l->slow_starts, l->polls,
			  (long long)(l->poll_gaps
					      ? l->poll_gap_ms / l->poll_gaps
					      : 0),
			  l->ends, l->commits, l->rows,
			  (long long)l->commit_ms_max, dirty_job_count(s),
			  l->starts_in_flight_max,
			  s->start_window / START_WINDOW_UNIT);
	*l = (struct load){.log_at = s->now + LOAD_LOG_INTERVAL_MS};
}
