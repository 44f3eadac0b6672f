/*
 * Pacing of tasks that fill: they use what others leave idle, but disturb
 * the tasks that serve beside them, whose tail latency has a target.
 */
#include "sched-state.h"

/* From this share of the target on, what fills is slowed; below the lower
 * one it is let go again.  The tail is a rough figure of half a second. */
#define TAIL_HIGH 0.8
#define TAIL_LOW 0.5
/* Steps are taken no faster than the figure can show them. */
#define PACE_DOWN_MS 300
#define PACE_UP_MS 1200
#define PACE_UP_STEP 25

/* The worst tail of a worker's serving tasks, as a share of its target. */
static double worker_tail(const struct worker *w)
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

/* Slow or release what fills on a worker. */
void pace_worker_tasks(struct sched *s, struct worker *w)
{
	double tail = worker_tail(w);
	struct task *t;

	if (!policy_is_enabled(s, POLICY_PACING))
		return;
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!task_step(t)->best_effort || t->phase != PHASE_RUNNING ||
		    t->stopping)
			continue;
		if (tail > TAIL_HIGH && t->pace_percent &&
		    s->now - t->paced_at >= PACE_DOWN_MS)
			task_pace(s, t, tail > 1 ? 0 : t->pace_percent / 2);
		else if (tail < TAIL_LOW && t->pace_percent < 100 &&
			 s->now - t->paced_at >= PACE_UP_MS)
			task_pace(s, t,
				  t->pace_percent + PACE_UP_STEP > 100
					  ? 100
					  : t->pace_percent + PACE_UP_STEP);
	}
}
