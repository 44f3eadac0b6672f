/*
 * The flow of jobs through each queue: how many came, began, ended in time and
 * late in the last second. An outage and a slow owner show as late jobs in the
 * queue whose demand was high meanwhile; beside the owner's own activity the
 * flow tells which of them it was.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Jobs of a route since the last line of the log. */
struct queue_flow {
	bstr route;
	unsigned seen;
	unsigned begun;
	unsigned completed;
	unsigned late; /* of completed */
	UT_hash_handle hh;
};

/* Returns the flow of a job's queue, which is created if necessary. */
static struct queue_flow *flow_get(struct sched *s, const struct job *j)
{
	struct queue_flow *f;

	HASH_FIND_BSTR(s->flows, j->route, f);
	if (f)
		return f;
	f = xcalloc(1, sizeof(*f));
	f->route = bstr_copy(j->route);
	HASH_ADD_BSTR(s->flows, route, f);
	return f;
}

/* Counts a job that has come. */
void flow_add_seen(struct sched *s, const struct job *j)
{
	flow_get(s, j)->seen++;
}

/* Counts a job whose tasks may start. */
void flow_add_begun(struct sched *s, const struct job *j)
{
	flow_get(s, j)->begun++;
}

/* Counts a job that has completed. */
void flow_add_completed(struct sched *s, const struct job *j)
{
	struct queue_flow *f = flow_get(s, j);

	f->completed++;
	f->late += j->due && s->now > j->due;
}

/* Frees the counts. */
void flows_free(struct sched *s)
{
	struct queue_flow *f, *next;

	HASH_ITER(hh, s->flows, f, next) {
		HASH_DEL(s->flows, f);
		bstr_free(&f->route);
		free(f);
	}
}

/* Logs the counts since the last line of each queue that had any. */
void flows_log(struct sched *s)
{
	const struct queue_flow *f;

	for (f = s->flows; f; f = f->hh.next)
		sched_log(s, LOG_QUEUE_LOAD,
			  "queue=%.*s seen=%u begun=%u completed=%u late=%u",
			  BSTR_ARG(f->route), f->seen, f->begun, f->completed,
			  f->late);
}
