/*
 * An HTTP/1.1 client: one thread that runs many exchanges at once.
 *
 * Requests that name the same queue share max_per_queue places; a request
 * waits for a place until its deadline, and queues don't wait for each other.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "bamboofront.h"
#include "heap.h"

enum http_outcome {
	HTTP_OK,	/* a whole answer with a status, maybe an error's */
	HTTP_NOT_SENT,	/* no byte of the request can have arrived */
	HTTP_NO_ANSWER, /* the request may have arrived */
	HTTP_INVALID	/* it arrived; the answer is none, or too long */
};

struct http_answer {
	enum http_outcome outcome;
	bool too_long; /* that is why it is HTTP_INVALID */
	long status;
	uint32_t retry_after_ms; /* 0: the answer gave none */
	int64_t opened_at; /* its connection, the newest tried; 0: not sent */
	bstr body;	   /* the client's: copy what is kept */
};

/*
 * A request, set up by its sender and embedded in what the sender wants back.
 * build and done run on the client's thread.  build makes the body; false: it
 * can't be said on this wire, and the outcome is HTTP_NOT_SENT.  done owns
 * the request again and returns it for another round (a further page), which
 * is never refused, or NULL.
 */
#define HTTP_HEADERS_MAX 3
struct http_queue;
struct http_request {
	TAILQ_ENTRY(http_request) entry; /* this, waits_in, due: the client's */
	struct http_queue *waits_in;
	struct heap_node due;
	const char *method;
	char *url;
	char *queue;
	char *headers[HTTP_HEADERS_MAX]; /* whole lines, or NULL */
	bstr body;
	size_t max_answer; /* bytes */
	int64_t start_at;  /* not before; 0: at once */
	int64_t deadline;  /* none is begun to be written from here on */
	bool (*build)(struct http_request *r);
	struct http_request *(*done)(struct http_request *r,
				     const struct http_answer *a);
};
void http_request_clear(struct http_request *r);

struct http_client_options {
	const char *name;	/* of its thread, or NULL */
	const char *token;	/* or NULL */
	const char *tls_ca;	/* file, or NULL */
	unsigned max_per_queue; /* requests at once of one queue */
	unsigned max_requests;	/* held by the client, waiting ones too */
	uint32_t connect_ms;
};

struct http_client;
struct http_client *http_client_start(const struct http_client_options *o,
				      struct error *e);
/* False: the client holds max_requests; r is still the caller's. */
bool http_client_send(struct http_client *c, struct http_request *r);
int64_t http_client_used(const struct http_client *c); /* processor, ms */
/* Put an event into an inbox from done, waiting while the inbox is full. */
void http_client_post(struct http_client *c, struct mailbox *inbox, event *ev);
/* Ends every request with its outcome, joins the thread and frees c. */
void http_client_stop(struct http_client *c);

#endif
