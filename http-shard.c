#include "http-state.h"

#include <stdlib.h>

/* Queues of a shard; a worker has two. */
#define SHARD_QUEUES 32

/* libcurl wants to look at its clock in so many ms; -1: not at all. */
static int shard_timer(CURLM *multi, long ms, void *arg)
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

/* Make a shard. */
static struct http_shard *shard_new(struct http_client *c)
{
	struct http_shard *sh = xcalloc(1, sizeof(*sh));
	long most = (long)c->options.max_per_queue * SHARD_QUEUES;
	CURLM *m = curl_multi_init();

	if (!m)
		abort(); /* out of memory */
	if (most > (long)c->options.max_requests)
		most = (long)c->options.max_requests;
	sh->client = c;
	sh->multi = m;
	curl_multi_setopt(m, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(m, CURLMOPT_MAXCONNECTS, most);
	curl_multi_setopt(m, CURLMOPT_SOCKETFUNCTION, http_socket_watch);
	curl_multi_setopt(m, CURLMOPT_SOCKETDATA, sh);
	curl_multi_setopt(m, CURLMOPT_TIMERFUNCTION, shard_timer);
	curl_multi_setopt(m, CURLMOPT_TIMERDATA, sh);
	TAILQ_INSERT_HEAD(&c->available_shards, sh, entry);
	return sh;
}

/* A shard for one more queue. */
struct http_shard *http_shard_acquire(struct http_client *c)
{
	struct http_shard *sh = TAILQ_FIRST(&c->available_shards);

	if (!sh)
		sh = shard_new(c);
	if (++sh->queues == SHARD_QUEUES)
		TAILQ_REMOVE(&c->available_shards, sh, entry);
	return sh;
}

/* A queue leaves its shard; the last one takes its connections with it. */
void http_shard_release(struct http_shard *sh)
{
	struct http_client *c = sh->client;

	if (sh->queues-- == SHARD_QUEUES)
		TAILQ_INSERT_HEAD(&c->available_shards, sh, entry);
	if (sh->queues)
		return;
	TAILQ_REMOVE(&c->available_shards, sh, entry);
	curl_multi_cleanup(sh->multi);
	heap_remove(&c->shard_timers, &sh->timer);
	free(sh);
}

/* Have the shards look at the clock that want to. */
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
