#include "http-state.h"

#include <stdlib.h>
#include <string.h>

/*
 * A queue without requests is known for as long as its connections may be
 * kept, and as it may mistrust them after a silence.
 */
#define QUEUE_IDLE_MS 120000

/* Make a queue. */
static struct http_queue *queue_new(struct http_client *c, const char *name)
{
	struct http_queue *q = xcalloc(1, sizeof(*q));

	q->name = xstrdup(name);
	q->shard = http_shard_acquire(c);
	TAILQ_INIT(&q->waiting);
	HASH_ADD_KEYPTR(hh, c->queues, q->name, strlen(q->name), q);
	return q;
}

/* Find a queue, or make it. */
struct http_queue *http_queue_get(struct http_client *c, const char *name)
{
	struct http_queue *q;

	HASH_FIND_STR(c->queues, name, q);
	return q ? q : queue_new(c, name);
}

/* A queue may have something to begin. */
static void queue_ready(struct http_client *c, struct http_queue *q)
{
	if (q->ready)
		return;
	if (q->idle)
		TAILQ_REMOVE(&c->idle, q, entry);
	q->idle = false;
	q->ready = true;
	TAILQ_INSERT_TAIL(&c->ready, q, entry);
}

/* A queue that has nothing left is forgotten after a while. */
static void queue_settle(struct http_client *c, struct http_queue *q)
{
	if (q->ready || q->idle || q->in_flight || !TAILQ_EMPTY(&q->waiting))
		return;
	q->idle = true;
	q->idle_until = clock_now() + QUEUE_IDLE_MS;
	TAILQ_INSERT_TAIL(&c->idle, q, entry);
}

/* Free a queue that is in no list. */
static void queue_free(struct http_client *c, struct http_queue *q)
{
	if (c->queues)
		HASH_DEL(c->queues, q);
	http_shard_release(q->shard);
	free(q->name);
	free(q);
}

/* Forget the queues that have been idle until a time. */
void http_queues_expire(struct http_client *c, int64_t now)
{
	struct http_queue *q, *next;

	for (q = TAILQ_FIRST(&c->idle); q && q->idle_until <= now; q = next) {
		next = TAILQ_NEXT(q, entry);
		TAILQ_REMOVE(&c->idle, q, entry);
		queue_free(c, q);
	}
}

/* A request of a queue has begun. */
void http_queue_begin(struct http_queue *q)
{
	q->in_flight++;
}

/* A request of a queue has ended: another may have its place. */
void http_queue_end(struct http_client *c, struct http_queue *q)
{
	q->in_flight--;
	if (!TAILQ_EMPTY(&q->waiting))
		queue_ready(c, q);
	queue_settle(c, q);
}

/* When a waiting request has to be looked at by the clock. */
static void request_due(struct http_client *c, struct http_request *r,
			int64_t now)
{
	heap_set(&c->request_timers, &r->timer,
		 r->start_at > now ? r->start_at : r->deadline);
}

/* Let a request wait for a place in its queue. */
void http_request_enqueue(struct http_client *c, struct http_request *r)
{
	struct http_queue *q = http_queue_get(c, r->queue_name);

	r->waiting_in = q;
	TAILQ_INSERT_TAIL(&q->waiting, r, entry);
	request_due(c, r, clock_now());
	queue_ready(c, q);
}

/* A request waits no more. */
static void request_leave(struct http_client *c, struct http_request *r)
{
	TAILQ_REMOVE(&r->waiting_in->waiting, r, entry);
	heap_remove(&c->request_timers, &r->timer);
}

/* Tell the outcome of a request; it may come back for another round. */
void http_request_end(struct http_client *c, struct http_request *r,
		      const struct http_response *a)
{
	struct http_request *again = r->done(r, a);

	if (again)
		http_request_enqueue(c, again);
	else
		atomic_fetch_sub(&c->request_count, 1);
}

/* Tell that a request never left. */
void http_request_not_sent(struct http_client *c, struct http_request *r)
{
	struct http_response a = {.outcome = HTTP_NOT_SENT};

	http_request_end(c, r, &a);
}

/* Begin what a queue has places for. */
static void queue_start(struct http_client *c, struct http_queue *q,
			int64_t now)
{
	struct http_request *r, *next;

	for (r = TAILQ_FIRST(&q->waiting); r; r = next) {
		if (q->in_flight >= c->options.max_per_queue)
			return;
		next = TAILQ_NEXT(r, entry);
		if (r->start_at > now)
			continue;
		request_leave(c, r);
		http_transfer_start(c, q, r);
	}
}

/* Look at the waiting requests that are due, or out of time. */
static void requests_due(struct http_client *c, int64_t now)
{
	struct heap_node *n;
	struct http_request *r;

	while ((n = heap_first(&c->request_timers)) && n->due <= now) {
		r = HEAP_ENTRY(n, struct http_request, timer);
		if (now < r->deadline) {
			request_due(c, r, now);
			queue_ready(c, r->waiting_in);
			continue;
		}
		request_leave(c, r);
		queue_settle(c, r->waiting_in);
		http_request_not_sent(c, r);
	}
}

/* Begin what there are places for, and end what has waited too long. */
void http_queues_start(struct http_client *c)
{
	int64_t now = clock_now();
	struct http_queue *q;

	requests_due(c, now);
	while ((q = TAILQ_FIRST(&c->ready))) {
		TAILQ_REMOVE(&c->ready, q, entry);
		q->ready = false;
		queue_start(c, q, now);
		queue_settle(c, q);
	}
}

/* End all that waits: it never left. */
void http_queues_abort(struct http_client *c)
{
	struct heap_node *n;
	struct http_request *r;

	while ((n = heap_first(&c->request_timers))) {
		r = HEAP_ENTRY(n, struct http_request, timer);
		request_leave(c, r);
		queue_ready(c, r->waiting_in);
		http_request_not_sent(c, r);
	}
	http_queues_start(c); /* all are idle then */
}
