/*
 * Queues of requests. A request waits in its queue until it may start or its
 * deadline passes. A queue starts up to max_per_queue requests at a time.
 */
#include "http-state.h"

#include <stdlib.h>
#include <string.h>

/*
 * A queue without requests is kept for this long. It must outlive its idle
 * connections (HTTP_CONNECTION_IDLE_MS): its timeout_serial tells which of them
 * must not be reused after a timeout.
 */
#define QUEUE_IDLE_MS 120000

/* Creates a queue. */
static struct http_queue *queue_new(struct http_client *c, const char *name)
{
	struct http_queue *q = xcalloc(1, sizeof(*q));

	q->name = xstrdup(name);
	TAILQ_INIT(&q->waiting);
	HASH_ADD_KEYPTR(hh, c->queues, q->name, strlen(q->name), q);
	return q;
}

/* Returns the queue of a name, which is created if necessary. */
struct http_queue *http_queue_get(struct http_client *c, const char *name)
{
	struct http_queue *q;

	HASH_FIND_STR(c->queues, name, q);
	return q ? q : queue_new(c, name);
}

/* Adds a queue to those that may have requests to start. */
static void queue_set_ready(struct http_client *c, struct http_queue *q)
{
	if (q->ready)
		return;
	if (q->idle)
		TAILQ_REMOVE(&c->idle, q, entry);
	q->idle = false;
	q->ready = true;
	TAILQ_INSERT_TAIL(&c->ready, q, entry);
}

/* Marks a queue as idle if it has no requests left. */
static void queue_check_idle(struct http_client *c, struct http_queue *q)
{
	if (q->ready || q->idle || q->in_flight || !TAILQ_EMPTY(&q->waiting))
		return;
	q->idle = true;
	q->idle_until = clock_now() + QUEUE_IDLE_MS;
	TAILQ_INSERT_TAIL(&c->idle, q, entry);
}

/* Frees a queue, which must have been removed from all lists. */
static void queue_free(struct http_client *c, struct http_queue *q)
{
	if (c->queues)
		HASH_DEL(c->queues, q);
	if (q->shard)
		http_shard_release(q->shard);
	free(q->name);
	free(q);
}

/* Frees the queues that have been idle for QUEUE_IDLE_MS. */
void http_queues_expire(struct http_client *c, int64_t now)
{
	struct http_queue *q, *next;

	for (q = TAILQ_FIRST(&c->idle); q && q->idle_until <= now; q = next) {
		next = TAILQ_NEXT(q, entry);
		TAILQ_REMOVE(&c->idle, q, entry);
		queue_free(c, q);
	}
}

/* Counts a request of a queue that has started. */
void http_queue_begin(struct http_queue *q)
{
	q->in_flight++;
}

/* Counts a request of a queue that has ended, so that another may start. */
void http_queue_end(struct http_client *c, struct http_queue *q)
{
	q->in_flight--;
	if (!TAILQ_EMPTY(&q->waiting))
		queue_set_ready(c, q);
	queue_check_idle(c, q);
}

/*
 * Sets the timer of a waiting request: to its earliest start if that is still
 * to come, else to its deadline.
 */
static void request_set_timer(struct http_client *c, struct http_request *r,
			      int64_t now)
{
	heap_set(&c->request_timers, &r->timer,
		 r->start_at > now ? r->start_at : r->deadline);
}

/* Adds a request to its queue. */
void http_request_enqueue(struct http_client *c, struct http_request *r)
{
	struct http_queue *q = http_queue_get(c, r->queue_name);

	r->waiting_in = q;
	TAILQ_INSERT_TAIL(&q->waiting, r, entry);
	request_set_timer(c, r, clock_now());
	queue_set_ready(c, q);
}

/* Removes a waiting request from its queue. */
static void request_dequeue(struct http_client *c, struct http_request *r)
{
	TAILQ_REMOVE(&r->waiting_in->waiting, r, entry);
	heap_remove(&c->request_timers, &r->timer);
}

/*
 * Reports the response to the sender, which may return a request to be queued
 * again.
 */
void http_request_end(struct http_client *c, struct http_request *r,
		      const struct http_response *res)
{
	struct http_request *again = r->done(r, res);

	if (again)
		http_request_enqueue(c, again);
	else
		atomic_fetch_sub(&c->request_count, 1);
}

/* Ends a request with HTTP_NOT_SENT. */
void http_request_not_sent(struct http_client *c, struct http_request *r)
{
	struct http_response res = {.outcome = HTTP_NOT_SENT};

	http_request_end(c, r, &res);
}

/* Starts as many waiting requests as the queue has capacity for. */
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
		request_dequeue(c, r);
		http_transfer_start(c, q, r);
	}
}

/*
 * Runs the timers of waiting requests. Those whose deadline has passed are not
 * sent; the queues of those that may start now become ready.
 */
static void requests_run_timers(struct http_client *c, int64_t now)
{
	struct heap_node *n;
	struct http_request *r;

	while ((n = heap_first(&c->request_timers)) && n->due <= now) {
		r = HEAP_ENTRY(n, struct http_request, timer);
		if (now < r->deadline) {
			request_set_timer(c, r, now);
			queue_set_ready(c, r->waiting_in);
			continue;
		}
		request_dequeue(c, r);
		queue_check_idle(c, r->waiting_in);
		http_request_not_sent(c, r);
	}
}

/* Ends waiting requests that are too late and starts those of ready queues. */
void http_queues_start(struct http_client *c)
{
	int64_t now = clock_now();
	struct http_queue *q;

	requests_run_timers(c, now);
	while ((q = TAILQ_FIRST(&c->ready))) {
		TAILQ_REMOVE(&c->ready, q, entry);
		q->ready = false;
		queue_start(c, q, now);
		queue_check_idle(c, q);
	}
}

/* Ends all waiting requests as not sent. */
void http_queues_abort(struct http_client *c)
{
	struct heap_node *n;
	struct http_request *r;

	while ((n = heap_first(&c->request_timers))) {
		r = HEAP_ENTRY(n, struct http_request, timer);
		request_dequeue(c, r);
		queue_set_ready(c, r->waiting_in);
		http_request_not_sent(c, r);
	}
	http_queues_start(c); /* moves all queues to idle, to be freed */
}
