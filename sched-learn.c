/*
 * Learning how long tasks take: declared times are off by a factor of two or
 * three either way, so what the tasks of a queue took counts for more.
 */
#include "sched-state.h"

#include <math.h>
#include <stdlib.h>

/*
 * How much a declared time counts beside the queue's own, as powers of a
 * geometric mean.  With times that spread by 0.5 and declarations that are
 * off by 0.9 (standard deviations of logarithms) the best share is
 * 0.25 / (0.25 + 0.81).
 */
#define DECLARED_SHARE 0.24
/* Older runs fade, so that the mean follows a change within some hundred. */
#define COUNT_MAX 300

/* The learnt time of a route. */
static struct learnt_time *lesson_of(struct sched *s, bstr route)
{
	struct learnt_time *l;

	HASH_FIND_BSTR(s->learnt_times, route, l);
	if (l)
		return l;
	l = xcalloc(1, sizeof(*l));
	l->route = bstr_copy(route);
	HASH_ADD_BSTR(s->learnt_times, route, l);
	return l;
}

/* A run has ended as done: it took from its start until now. */
void learn_run_time(struct sched *s, const struct task *t)
{
	struct learnt_time *l = lesson_of(s, t->occ->job->route);
	double ms = (double)(s->now - t->started_at);

	/* Lasting work has no time; a resumed run shows only its rest. */
	if (task_step(t)->long_running || t->checkpoint.bstr_len || ms < 1)
		return;
	if (l->weight < COUNT_MAX)
		l->weight++;
	l->mean_log_ms += (log(ms) - l->mean_log_ms) / l->weight;
}

/* How long a task of a step is expected to take. */
int64_t step_expected_ms(struct sched *s, const struct job *j, unsigned at)
{
	const struct job_step *st = &j->body->steps[at];
	double declared = st->estimated_ms ? st->estimated_ms : 1;
	struct learnt_time *l = lesson_of(s, j->route);

	if (l->weight < 1 || !policy_is_enabled(s, POLICY_LEARNING))
		return (int64_t)declared;
	return (int64_t)exp(DECLARED_SHARE * log(declared) +
			    (1 - DECLARED_SHARE) * l->mean_log_ms);
}

/* Free the lessons. */
void learnt_times_free(struct sched *s)
{
	struct learnt_time *l, *next;

	HASH_ITER(hh, s->learnt_times, l, next) {
		HASH_DEL(s->learnt_times, l);
		bstr_free(&l->route);
		free(l);
	}
}
