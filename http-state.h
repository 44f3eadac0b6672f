/*
 * Inside of the HTTP client: its state, and what its files offer each other.
 *
 * Nothing here is walked as a whole for a request or an answer: queues are
 * found by hash, what is due by heaps, sockets that are ready by epoll, and
 * libcurl's own lists are kept short by many shards.
 */
#ifndef HTTP_STATE_H
#define HTTP_STATE_H

#include "http-client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <uthash.h>

TAILQ_HEAD(http_request_list, http_request);

/*
 * A part of the queues, with an instance of libcurl's multi interface.  It
 * looks at all of its idle connections once a second, and begins again with
 * each that it finds closed: with those of all hosts in one instance that is
 * the square of their number.
 */
struct http_shard {
	TAILQ_ENTRY(http_shard) entry; /* among those with room */
	struct http_client *client;
	struct heap_node timer; /* when libcurl wants to look at its clock */
	unsigned queues;
	CURLM *multi;
};
TAILQ_HEAD(http_shard_list, http_shard);

/* The requests of one name. */
struct http_queue {
	TAILQ_ENTRY(http_queue) entry; /* of the ready or of the idle ones */
	struct http_shard *shard;
	char *name;
	bool ready; /* it may have something to begin */
	bool idle;
	int64_t idle_until; /* it is forgotten then */
	unsigned in_flight;
	uint64_t silent_serial; /* newest socket at the last time-out */
	struct http_request_list waiting;
	UT_hash_handle hh;
};
TAILQ_HEAD(http_queue_list, http_queue);

/* An exchange under way, with the easy handle that is kept for the next. */
struct http_transfer {
	TAILQ_ENTRY(http_transfer) entry;
	struct http_client *client;
	struct http_queue *queue;
	struct http_request *request;
	CURL *easy;
	bool sent;  /* from here on the request may have arrived */
	bool stale; /* the connection it was given is a bad one */
	bool fresh; /* so it goes by a fresh one */
	bool headers_whole;
	bool framed; /* the answer's length is known from its headers */
	size_t header_bytes;
	size_t room;
	struct curl_slist headers[HTTP_HEADERS_MAX]; /* of the request */
	struct http_answer answer;
};
TAILQ_HEAD(http_transfer_list, http_transfer);

/* The numbers that name a connection; kept free of padding's noise. */
struct http_socket_name {
	char peer_ip[INET6_ADDRSTRLEN];
	uint16_t peer_port;
	uint16_t local_port;
};

/* What is known of a socket. */
struct http_socket {
	TAILQ_ENTRY(http_socket) entry; /* among the unnamed */
	uint64_t serial; /* counts those opened by us; 0: none of them */
	int64_t opened_at;
	int fd;
	bool used; /* it has carried a request */
	bool named;
	struct http_socket_name name; /* its local port once it is named */
	struct http_shard *shard;
	uint32_t wanted;  /* epoll events that libcurl waits for */
	uint32_t watched; /* those that are registered */
	UT_hash_handle hh;
};
TAILQ_HEAD(http_socket_list, http_socket);

struct http_client {
	struct http_client_options options;
	pthread_t thread;
	struct mailbox *mailbox;
	int epoll;
	struct curl_slist *headers;
	char *tls_ca;
	struct http_queue *queues;
	struct http_queue_list ready;
	struct http_queue_list idle; /* first those that are forgotten first */
	struct http_shard_list roomy;
	struct heap timers; /* of shards */
	struct heap due;    /* waiting requests: to begin, or out of time */
	struct http_transfer_list running;
	struct http_transfer_list spare;
	struct http_socket **sockets; /* by descriptor */
	size_t socket_count;
	struct http_socket *named;
	struct http_socket_list unnamed;
	uint64_t last_serial;
	int64_t post_until;
	atomic_uint held;
	atomic_bool stopping;
};

/* http-socket.c: connections' sockets, and which of them are ready */
struct http_socket *http_socket_get(struct http_client *c, int fd);
curl_socket_t http_socket_open(void *arg, curlsocktype purpose,
			       struct curl_sockaddr *a);
int http_socket_close(void *arg, curl_socket_t fd);
struct http_socket *http_socket_find(struct http_client *c, const char *peer_ip,
				     int peer_port, int local_port);
bool http_socket_is_good(struct http_socket *s, const struct http_queue *q);
int http_socket_watch(CURL *easy, curl_socket_t fd, int what, void *arg,
		      void *unused);
void http_socket_ready(struct http_client *c, int fd, uint32_t events);
void http_sockets_free(struct http_client *c);

/* http-shard.c: instances of libcurl, and their timers */
struct http_shard *http_shard_take(struct http_client *c);
void http_shard_leave(struct http_shard *sh);
void http_shards_tick(struct http_client *c, int64_t now);

/* http-queue.c: requests that wait for a place */
struct http_queue *http_queue_get(struct http_client *c, const char *name);
void http_queue_begin(struct http_queue *q);
void http_queue_end(struct http_client *c, struct http_queue *q);
void http_request_wait(struct http_client *c, struct http_request *r);
void http_request_end(struct http_client *c, struct http_request *r,
		      const struct http_answer *a);
void http_request_not_sent(struct http_client *c, struct http_request *r);
void http_queues_start(struct http_client *c);
void http_queues_abandon(struct http_client *c);
void http_queues_forget(struct http_client *c, int64_t now);

/* http-transfer.c: exchanges by libcurl's easy interface */
void http_transfer_start(struct http_client *c, struct http_queue *q,
			 struct http_request *r);
void http_transfers_reap(struct http_shard *sh);
void http_transfers_abandon(struct http_client *c);
void http_transfers_free(struct http_client *c);

#endif
