/*
 * HTTP/1.1 client. One thread runs many concurrent requests, over libcurl or
 * over connections of its own (http-direct.h).
 *
 * Requests with the same queue name share max_per_queue concurrent transfers.
 * A request waits in its queue for a free transfer until its deadline; queues
 * do not block each other.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "bamboofront.h"
#include "heap.h"

enum http_outcome {
	HTTP_OK,       /* complete response with any status, also 4xx or 5xx */
	HTTP_NOT_SENT, /* the server cannot have received any of it */
	HTTP_NO_RESPONSE, /* the server may have carried out the request */
	HTTP_INVALID	  /* sent; the response is malformed or too long */
};

/*
 * conn_opened_at is the time at which the connection that carried the request
 * had been established, or 0 if the request was not sent. repeated is set if
 * the request was sent again on another connection because the first was closed
 * without a response; the server may have carried out both copies, and
 * conn_opened_at is that of the younger connection.
 */
struct http_response {
	enum http_outcome outcome;
	bool too_long; /* the reason for HTTP_INVALID */
	long status;
	uint32_t retry_after_ms; /* 0: no Retry-After header */
	int64_t conn_opened_at;
	bool repeated;
	bstr body; /* owned by the client, valid only during done */
};

/*
 * A request, filled in by the sender and embedded in the sender's own state.
 * The client's thread calls build and done.
 *
 * build creates the body, if it is set. It returns false if the request cannot
 * be encoded; the outcome is then HTTP_NOT_SENT.
 *
 * done returns ownership of the request to the sender. It may return a request
 * to be queued again (for example to fetch the next page), which is accepted
 * even at max_requests, or NULL.
 *
 * With new_connection, the request goes over a connection opened for it and
 * closed after it. The handshake shows that the server could be reached right
 * before the request leaves. On an open connection nothing shows that: the
 * kernel would keep the request for as long as the server cannot be reached,
 * and deliver it then, even if this process has been killed.
 *
 * entry, waiting_in and timer belong to the client.
 */
#define HTTP_HEADERS_MAX 3
struct http_queue;
struct http_request {
	TAILQ_ENTRY(http_request) entry;
	struct http_queue *waiting_in;
	struct heap_node timer;
	const char *method;
	char *url;
	char *queue_name;
	char *headers[HTTP_HEADERS_MAX]; /* "Name: value", or NULL */
	bstr body;
	size_t max_response; /* bytes */
	int64_t start_at;    /* earliest start; 0: at once */
	int64_t deadline;    /* never sent at or after this time */
	bool new_connection;
	bool (*build)(struct http_request *r);
	struct http_request *(*done)(struct http_request *r,
				     const struct http_response *res);
};
void http_request_clear(struct http_request *r);

struct http_client_options {
	const char *name;	/* thread name, or NULL */
	const char *token;	/* bearer token, or NULL */
	const char *tls_ca;	/* CA file, or NULL */
	unsigned max_per_queue; /* concurrent requests of a queue */
	unsigned max_requests;	/* in all queues, waiting ones included */
	uint32_t connect_ms;
	/*
	 * Requests to numeric addresses without TLS go over connections of the
	 * client's own, which cost less and never carry a request twice.
	 */
	bool direct;
};

struct http_client;
struct http_client *http_client_start(const struct http_client_options *o,
				      struct error *e);
/* If this returns false, the caller keeps ownership of r. */
bool http_client_send(struct http_client *c, struct http_request *r);
int64_t http_client_cpu_ms(const struct http_client *c);
/*
 * For use in done only: it blocks the client's thread while the inbox is full.
 */
void http_client_post(struct http_client *c, struct mailbox *inbox, event *ev);
void http_client_stop(struct http_client *c);

#endif
