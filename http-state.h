/*
 * Internal state of the HTTP client, shared by the http-*.c files.
 *
 * No request or response costs a walk over a whole collection: queues are
 * found by hash, timers are in heaps, ready sockets come from epoll, and the
 * use of many shards keeps the internal lists of libcurl short.
 */
#ifndef HTTP_STATE_H
#define HTTP_STATE_H

#include "http-client.h"
#include "http-direct.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <uthash.h>

/* Before an idle connection is closed. */
#define HTTP_CONNECTION_IDLE_MS 60000

TAILQ_HEAD(http_request_list, http_request);

/*
 * A group of queues that share one libcurl multi handle.
 *
 * Once a second a multi handle walks its idle connections, and restarts the
 * walk after each one that it finds closed. With the connections of all hosts
 * in one handle, the cost would be quadratic in their number.
 */
struct http_shard {
	TAILQ_ENTRY(http_shard) entry; /* in available_shards */
	struct http_client *client;
	struct heap_node timer; /* next libcurl timeout */
	unsigned queue_count;
	CURLM *multi;
};
TAILQ_HEAD(http_shard_list, http_shard);

/*
 * The requests with one queue name. timeout_serial is the serial number of the
 * newest socket at the last timeout of a request; the connections of the queue
 * up to that one are not reused.
 */
struct http_queue {
	TAILQ_ENTRY(http_queue) entry; /* in ready or idle */
	struct http_shard *shard;      /* NULL until libcurl runs a transfer */
	char *name;
	bool ready; /* may have requests to start */
	bool idle;
	int64_t idle_until; /* freed at this time */
	unsigned in_flight;
	uint64_t timeout_serial;
	struct http_request_list waiting;
	UT_hash_handle hh;
};
TAILQ_HEAD(http_queue_list, http_queue);

/*
 * A request in progress, on a connection of the client's own (conn) or run by
 * libcurl. The struct and its easy handle, created for the first transfer that
 * libcurl runs, are reused for later requests. Such a transfer whose connection
 * turns out to be stale is repeated once on a new connection (fresh_connect).
 */
struct http_transfer {
	TAILQ_ENTRY(http_transfer) entry;
	struct heap_node timer; /* deadline of the request */
	struct http_client *client;
	struct http_queue *queue;
	struct http_request *request;
	struct http_conn *conn;
	CURL *easy;
	bool sent;	    /* the server may have received the request */
	bool stale;	    /* libcurl chose an unusable connection */
	bool fresh_connect; /* uses a new connection */
	bool headers_done;
	bool framed; /* headers tell the length of the body */
	size_t header_bytes;
	size_t body_capacity;
	struct curl_slist headers[HTTP_HEADERS_MAX]; /* request headers */
	struct http_response response;
};
TAILQ_HEAD(http_transfer_list, http_transfer);

/*
 * Hash key of a connection. The members leave no padding, so keys can be
 * hashed and compared as bytes.
 */
struct http_socket_key {
	char peer_ip[INET6_ADDRSTRLEN];
	uint16_t peer_port;
	uint16_t local_port;
};

/*
 * State of a socket, kept for each file descriptor. serial numbers the sockets
 * that the client opened; 0 is a socket that libcurl opened itself, such as a
 * resolver's.
 */
struct http_socket {
	TAILQ_ENTRY(http_socket) entry; /* in unhashed */
	uint64_t serial;
	int64_t opened_at; /* established by then; set by its first request */
	struct http_conn *conn; /* of the client's own; else of libcurl */
	int fd;
	bool used; /* has carried a request */
	bool hashed;
	struct http_socket_key key; /* local_port is valid once hashed */
	struct http_shard *shard;
	uint32_t wanted_events;	 /* epoll events wanted by libcurl */
	uint32_t watched_events; /* registered with epoll */
	UT_hash_handle hh;
};
TAILQ_HEAD(http_socket_list, http_socket);

struct http_client {
	struct http_client_options options;
	pthread_t thread;
	struct mailbox *mailbox;
	int epoll;
	struct curl_slist *headers;
	bstr header_lines; /* the same, as sent */
	char *tls_ca;
	struct http_queue *queues;
	struct http_queue_list ready; /* may have requests to start */
	struct http_queue_list idle;  /* without requests, by idle_until */
	struct http_shard_list available_shards;
	struct heap shard_timers;
	struct heap request_timers;  /* start or deadline of those waiting */
	struct heap transfer_timers; /* deadlines of those running */
	struct http_transfer_list running;
	struct http_transfer_list free_transfers;
	struct http_socket **sockets; /* by file descriptor */
	size_t socket_count;
	struct http_socket *socket_hash;
	struct http_socket_list unhashed; /* no local port yet */
	struct http_peer *peers;
	struct http_conn_list idle_conns; /* by idle_until */
	uint64_t last_serial;		  /* of a socket */
	int64_t post_deadline;		  /* for a full inbox, while stopping */
	atomic_uint request_count;	  /* waiting and running */
	atomic_bool stopping;
};

/* http-socket.c: sockets of connections and their epoll events */
struct http_socket *http_socket_get(struct http_client *c, int fd);
curl_socket_t http_socket_open(void *arg, curlsocktype purpose,
			       struct curl_sockaddr *a);
int http_socket_close(void *arg, curl_socket_t fd);
struct http_socket *http_socket_find(struct http_client *c, const char *peer_ip,
				     int peer_port, int local_port);
bool http_socket_is_reusable(struct http_socket *s, const struct http_queue *q);
int http_socket_watch(CURL *easy, curl_socket_t fd, int what, void *arg,
		      void *unused);
void http_socket_ready(struct http_client *c, int fd, uint32_t events);
void http_sockets_free(struct http_client *c);

/* http-shard.c: libcurl multi handles and their timers */
struct http_shard *http_shard_acquire(struct http_client *c);
void http_shard_release(struct http_shard *sh);
void http_shards_run_timers(struct http_client *c, int64_t now);

/* http-queue.c: queues of requests */
struct http_queue *http_queue_get(struct http_client *c, const char *name);
void http_queue_begin(struct http_queue *q);
void http_queue_end(struct http_client *c, struct http_queue *q);
void http_request_enqueue(struct http_client *c, struct http_request *r);
void http_request_end(struct http_client *c, struct http_request *r,
		      const struct http_response *res);
void http_request_not_sent(struct http_client *c, struct http_request *r);
void http_queues_start(struct http_client *c);
void http_queues_abort(struct http_client *c);
void http_queues_expire(struct http_client *c, int64_t now);

/* http-transfer.c: transfers, and their way through libcurl easy handles */
void http_transfer_start(struct http_client *c, struct http_queue *q,
			 struct http_request *r);
void http_transfer_end(struct http_transfer *t, enum http_outcome outcome);
bool http_response_append(struct http_transfer *t, const char *p, size_t n);
uint32_t http_retry_after_parse(const char *p, size_t len);
void http_transfers_reap(struct http_shard *sh);
void http_transfers_expire(struct http_client *c, int64_t now);
void http_transfers_abort(struct http_client *c);
void http_transfers_free(struct http_client *c);

#endif
