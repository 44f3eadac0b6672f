/*
 * Throttling of best-effort tasks.  They use CPU that others leave idle, but
 * slow down long-running tasks on the same worker that have a target tail
 * latency.
 */
#include "sched-state.h"

/*
 * Above the first share of the target latency best-effort tasks are throttled,
 * below the second one they are released again.  The reported tail latency is a
 * rough estimate over half a second.
 */
#define LATENCY_HIGH 0.8
#define LATENCY_LOW 0.5
/*
 * Minimum intervals between changes, so that the reported latency shows the
 * effect of the last one.
 */
#define PACE_DOWN_INTERVAL_MS 300
#define PACE_UP_INTERVAL_MS 1200
#define PACE_UP_STEP 25

/*
 * Returns the highest tail latency of a worker's tasks that have a target, as a
 * share of the target.
 */
static double worker_latency_share(const struct worker *w)
{
	const struct task *t;
	double worst = 0, share;

	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!task_step(t)->target_latency_ms ||
		    t->phase != PHASE_RUNNING)
			continue;
		share = (double)t->load_figure /
			task_step(t)->target_latency_ms;
		if (share > worst)
			worst = share;
	}
	return worst;
}

/* Throttles or releases the best-effort tasks of a worker. */
void pace_worker_tasks(struct sched *s, struct worker *w)
{
	double latency_share = worker_latency_share(w);
	struct task *t;

	if (!policy_is_enabled(s, POLICY_PACING))
		return;
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!task_step(t)->best_effort || t->phase != PHASE_RUNNING ||
		    t->stopping)
			continue;
		if (latency_share > LATENCY_HIGH && t->pace_percent &&
		    s->now - t->paced_at >= PACE_DOWN_INTERVAL_MS)
			task_pace(s, t,
				  latency_share > 1 ? 0 : t->pace_percent / 2);
		else if (latency_share < LATENCY_LOW && t->pace_percent < 100 &&
			 s->now - t->paced_at >= PACE_UP_INTERVAL_MS)
			task_pace(s, t,
				  t->pace_percent + PACE_UP_STEP > 100
					  ? 100
					  : t->pace_percent + PACE_UP_STEP);
	}
}
