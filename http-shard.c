/* Groups of queues that share a libcurl multi handle, and their timers. */
#include "http-state.h"

#include <stdlib.h>

#define QUEUES_PER_SHARD 32 /* a worker has two queues */

/*
 * Callback of libcurl: sets the time at which it wants to handle its timeouts.
 * A negative time removes the timer.
 */
static int shard_set_timer(CURLM *multi, long ms, void *arg)
{
	struct http_shard *sh = arg;
	struct http_client *c = sh->client;

	(void)multi;
	if (ms < 0)
		heap_remove(&c->shard_timers, &sh->timer);
	else
		heap_set(&c->shard_timers, &sh->timer, clock_now() + ms);
	return 0;
}

/* Creates a shard with its multi handle. */
static struct http_shard *shard_new(struct http_client *c)
{
	struct http_shard *sh = xcalloc(1, sizeof(*sh));
	long max_connections = (long)c->options.max_per_queue *
			       QUEUES_PER_SHARD;
	CURLM *m = curl_multi_init();

	if (!m)
		abort(); /* out of memory */
	if (max_connections > (long)c->options.max_requests)
		max_connections = (long)c->options.max_requests;
	sh->client = c;
	sh->multi = m;
	curl_multi_setopt(m, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(m, CURLMOPT_MAXCONNECTS, max_connections);
	curl_multi_setopt(m, CURLMOPT_SOCKETFUNCTION, http_socket_watch);
	curl_multi_setopt(m, CURLMOPT_SOCKETDATA, sh);
	curl_multi_setopt(m, CURLMOPT_TIMERFUNCTION, shard_set_timer);
	curl_multi_setopt(m, CURLMOPT_TIMERDATA, sh);
	TAILQ_INSERT_HEAD(&c->available_shards, sh, entry);
	return sh;
}

/* Returns a shard with capacity for one more queue, and counts the queue. */
struct http_shard *http_shard_acquire(struct http_client *c)
{
	struct http_shard *sh = TAILQ_FIRST(&c->available_shards);

	if (!sh)
		sh = shard_new(c);
	if (++sh->queue_count == QUEUES_PER_SHARD)
		TAILQ_REMOVE(&c->available_shards, sh, entry);
	return sh;
}

/*
 * Releases a shard from a queue. The last queue frees the shard, which closes
 * its connections.
 */
void http_shard_release(struct http_shard *sh)
{
	struct http_client *c = sh->client;

	if (sh->queue_count-- == QUEUES_PER_SHARD)
		TAILQ_INSERT_HEAD(&c->available_shards, sh, entry);
	if (sh->queue_count)
		return;
	TAILQ_REMOVE(&c->available_shards, sh, entry);
	curl_multi_cleanup(sh->multi);
	heap_remove(&c->shard_timers, &sh->timer);
	free(sh);
}

/* Lets libcurl handle the timeouts of the shards whose timers are due. */
void http_shards_run_timers(struct http_client *c, int64_t now)
{
	struct heap_node *n;
	struct http_shard *sh;
	int running;

	while ((n = heap_first(&c->shard_timers)) && n->due <= now) {
		sh = HEAP_ENTRY(n, struct http_shard, timer);
		heap_remove(&c->shard_timers, n);
		curl_multi_socket_action(sh->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
		http_transfers_reap(sh);
	}
}
