#include "http-client.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEADERS_MAX 65536	 /* bytes of all header lines of an answer */
#define RETRY_AFTER_MAX_MS 60000 /* a longer one is cut to this */
#define IDLE_MAX_S 60		 /* an idle connection is kept for */
#define POLL_MS 1000		 /* the loop looks round at least so often */
#define POST_STOP_MS 1000	 /* a stop waits for a full inbox */

TAILQ_HEAD(request_list, http_request);

/* The requests of one queue. */
struct queue {
	TAILQ_ENTRY(queue) entry;
	char *name;
	unsigned in_flight;
	int64_t silent_at; /* when a request last ran out of time; 0: never */
	uint64_t silent_serial; /* the newest socket then */
	struct request_list waiting;
};
TAILQ_HEAD(queue_list, queue);

/* An exchange under way, with the easy handle that is kept for the next. */
struct transfer {
	TAILQ_ENTRY(transfer) entry;
	struct http_client *client;
	struct queue *queue;
	struct http_request *request;
	CURL *easy;
	bool sent;  /* from here on the request may have arrived */
	bool stale; /* the connection it was given is a bad one */
	bool fresh; /* so it goes by a fresh one */
	bool headers_whole;
	bool framed; /* the answer's length is known from its headers */
	size_t header_bytes;
	size_t room;
	struct curl_slist *headers; /* the client's and the request's own */
	struct http_answer answer;
};
TAILQ_HEAD(transfer_list, transfer);

/* What is known of an open socket, by its descriptor. */
struct socket_info {
	uint64_t serial; /* counts sockets opened; 0: not open */
	int64_t opened_at;
	bool used; /* it has carried a request */
	char peer_ip[INET6_ADDRSTRLEN];
	uint16_t peer_port;
	uint16_t local_port; /* 0: not known yet */
};

struct http_client {
	struct http_client_options options;
	pthread_t thread;
	struct mailbox *mailbox;
	CURLM *multi;
	struct curl_slist *headers;
	char *tls_ca;
	struct queue_list queues; /* two for each worker: searched one by one */
	struct transfer_list running;
	struct transfer_list idle;
	struct socket_info *sockets;
	size_t socket_count;
	uint64_t last_serial;
	int64_t look_at; /* when a waiting request is due, or out of time */
	int64_t post_until;
	atomic_uint held;
	atomic_bool stopping;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

/* libcurl's own set-up is not safe to run twice at once. */
static void curl_setup(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Free what a request holds; the request itself is its owner's. */
void http_request_clear(struct http_request *r)
{
	size_t i;

	for (i = 0; i < HTTP_HEADERS_MAX; i++) {
		free(r->headers[i]);
		r->headers[i] = NULL;
	}
	free(r->url);
	free(r->queue);
	r->url = r->queue = NULL;
	bstr_free(&r->body);
}

/* Collect the answer's body, up to the bound. */
static size_t answer_write(char *p, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	bstr *body = &t->answer.body;
	size_t n = size * count, need = body->bstr_len + n;

	if (need > t->request->max_answer) {
		t->answer.too_long = true;
		return 0;
	}
	if (need > t->room) {
		t->room = need < 2 * t->room ? 2 * t->room : need;
		body->bstr_val = xrealloc(body->bstr_val, t->room, 1);
	}
	if (n)
		memcpy(body->bstr_val + body->bstr_len, p, n);
	body->bstr_len = (u_int)need;
	return n;
}

/* Read Retry-After: seconds, decimals allowed, bounded. */
static uint32_t retry_after_parse(const char *p, size_t len)
{
	char text[32], *end;
	double s;

	while (len && (*p == ' ' || *p == '\t'))
		p++, len--;
	while (len && strchr(" \t\r\n", p[len - 1]))
		len--;
	if (!len || len >= sizeof(text))
		return 0;
	memcpy(text, p, len);
	text[len] = '\0';
	s = strtod(text, &end);
	if (*end || !isfinite(s) || s <= 0)
		return 0;
	if (s * 1000 >= RETRY_AFTER_MAX_MS)
		return RETRY_AFTER_MAX_MS;
	return (uint32_t)ceil(s * 1000);
}

/* If the line is the named header, give its value. */
static const char *header_value(const char *line, size_t len, const char *name,
				size_t *value_len)
{
	size_t n = strlen(name);

	if (len <= n || line[n] != ':' || strncasecmp(line, name, n) != 0)
		return NULL;
	*value_len = len - n - 1;
	return line + n + 1;
}

/* Look at a header line. */
static size_t answer_header(char *p, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	size_t n = size * count, len;
	const char *value;

	t->header_bytes += n;
	if (t->header_bytes > HEADERS_MAX) {
		t->answer.too_long = true;
		return 0;
	}
	if (n > 5 && strncasecmp(p, "HTTP/", 5) == 0) {
		/* The headers before were those of an interim answer. */
		t->headers_whole = false;
		t->answer.retry_after_ms = 0;
		t->framed = false;
	}
	if (n == 2 && memcmp(p, "\r\n", 2) == 0)
		t->headers_whole = true;
	value = header_value(p, n, "Retry-After", &len);
	if (value)
		t->answer.retry_after_ms = retry_after_parse(value, len);
	if (header_value(p, n, "Content-Length", &len))
		t->framed = true;
	value = header_value(p, n, "Transfer-Encoding", &len);
	if (value && memmem(value, len, "chunked", strlen("chunked")))
		t->framed = true;
	return n;
}

/* The port in an address. */
static uint16_t address_port(const struct sockaddr *a)
{
	if (a->sa_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)a)->sin6_port);
	return ntohs(((const struct sockaddr_in *)a)->sin_port);
}

/* Note whereto a socket leads. */
static void socket_peer(struct socket_info *s, const struct sockaddr *a)
{
	const void *ip = &((const struct sockaddr_in *)a)->sin_addr;

	if (a->sa_family == AF_INET6)
		ip = &((const struct sockaddr_in6 *)a)->sin6_addr;
	inet_ntop(a->sa_family, ip, s->peer_ip, sizeof(s->peer_ip));
	s->peer_port = address_port(a);
}

/* Open a socket and note what is known of it. */
static curl_socket_t socket_open(void *arg, curlsocktype purpose,
				 struct curl_sockaddr *a)
{
	struct http_client *c = arg;
	size_t count;
	int fd;

	(void)purpose;
	fd = socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	if ((size_t)fd >= c->socket_count) {
		count = (size_t)fd * 2 + 16;
		c->sockets = xrealloc(c->sockets, count, sizeof(*c->sockets));
		memset(c->sockets + c->socket_count, 0,
		       (count - c->socket_count) * sizeof(*c->sockets));
		c->socket_count = count;
	}
	memset(&c->sockets[fd], 0, sizeof(*c->sockets));
	c->sockets[fd].serial = ++c->last_serial;
	c->sockets[fd].opened_at = clock_now();
	socket_peer(&c->sockets[fd], &a->addr);
	return fd;
}

/*
 * Close a socket and throw away what it has not sent yet.  Otherwise the
 * kernel goes on sending a request that has run out of time, and a worker
 * that was cut off would start minutes later what is long taken as not
 * started.  With a linger time of zero nothing leaves this VM after the
 * request's outcome has been told.
 */
static int socket_close(void *arg, curl_socket_t fd)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};
	struct http_client *c = arg;

	c->sockets[fd].serial = 0;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	return close(fd);
}

/*
 * Find the socket of a connection by its four numbers, which is how libcurl
 * names it before a request; CURLINFO_ACTIVESOCKET is not set yet then.
 */
static int socket_find(struct http_client *c, const char *peer_ip,
		       int peer_port, int local_port)
{
	struct sockaddr_in6 a = {0}; /* has room for either family */
	struct socket_info *s;
	socklen_t len;
	size_t fd;

	for (fd = 0; fd < c->socket_count; fd++) {
		s = &c->sockets[fd];
		if (!s->serial || s->peer_port != peer_port)
			continue;
		len = sizeof(a);
		if (!s->local_port &&
		    !getsockname((int)fd, (struct sockaddr *)&a, &len))
			s->local_port = address_port((struct sockaddr *)&a);
		if (s->local_port == local_port &&
		    strcmp(s->peer_ip, peer_ip) == 0)
			return (int)fd;
	}
	return -1;
}

/*
 * May a connection carry a request?  Of those that have carried one before:
 * not if bytes wait on it, which are a second answer to the last request (or
 * its end) and would be taken as the answer to this one; and not if it is
 * older than the last silence on this queue, because something in between may
 * have lost track of it, and each such connection would cost a timeout.
 */
static bool socket_is_good(const struct transfer *t, int fd)
{
	struct socket_info *s = &t->client->sockets[fd];
	char byte;

	if (!s->used) {
		s->used = true;
		return true;
	}
	if (s->serial <= t->queue->silent_serial)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/*
 * Called when a connection stands and nothing of the request has been sent
 * on it; from here on the request may have arrived.
 *
 * The deadline is looked at once more.  libcurl's timeout runs from when it
 * begins the transfer, and a round reads the clock once for all transfers: a
 * thread that gets no processor would send orders about machines long after
 * their deadline, beside those of a successor.  libcurl writes right after
 * this returns, all of a small request in one call, so what is late stays
 * here.  Not held back: what is late because the thread stops between the
 * look and that call, and what the kernel has taken before the deadline, until
 * socket_close().
 *
 * libcurl calls this again if it repeats the request by itself, which it does
 * when a connection it had kept turns out to be closed without a byte of an
 * answer.  The peer may then see the request twice; that is safe because
 * commits are idempotent by their txid, starts and orders by the task, and
 * objects never change.
 */
static int request_ready(void *arg, char *peer_ip, char *local_ip,
			 int peer_port, int local_port)
{
	struct transfer *t = arg;
	int fd = socket_find(t->client, peer_ip, peer_port, local_port);

	(void)local_ip;
	if (!t->fresh && (fd < 0 || !socket_is_good(t, fd))) {
		t->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (t->request->deadline <= clock_now())
		return CURL_PREREQFUNC_ABORT;
	t->answer.opened_at = clock_now();
	if (fd >= 0) {
		t->client->sockets[fd].used = true;
		t->answer.opened_at = t->client->sockets[fd].opened_at;
	}
	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Make a handle with the options that all requests share. */
static struct transfer *transfer_new(struct http_client *c)
{
	struct transfer *t = xcalloc(1, sizeof(*t));
	CURL *h = curl_easy_init();

	if (!h)
		abort(); /* out of memory */
	t->client = c;
	t->easy = h;
	curl_easy_setopt(h, CURLOPT_PRIVATE, t);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(h, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(h, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(h, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(h, CURLOPT_MAXAGE_CONN, (long)IDLE_MAX_S);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, c->headers);
	if (c->tls_ca)
		curl_easy_setopt(h, CURLOPT_CAINFO, c->tls_ca);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, answer_write);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, answer_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(h, CURLOPT_OPENSOCKETFUNCTION, socket_open);
	curl_easy_setopt(h, CURLOPT_OPENSOCKETDATA, c);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETFUNCTION, socket_close);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETDATA, c);
	curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, request_ready);
	curl_easy_setopt(h, CURLOPT_PREREQDATA, t);
	return t;
}

/* Find a queue, or make it. */
static struct queue *queue_get(struct http_client *c, const char *name)
{
	struct queue *q;

	TAILQ_FOREACH(q, &c->queues, entry)
		if (strcmp(q->name, name) == 0)
			return q;
	q = xcalloc(1, sizeof(*q));
	q->name = xstrdup(name);
	TAILQ_INIT(&q->waiting);
	TAILQ_INSERT_TAIL(&c->queues, q, entry);
	return q;
}

/* Forget queues with nothing in them and no connection to mistrust. */
static void queues_sweep(struct http_client *c, int64_t now)
{
	struct queue *q, *next;

	for (q = TAILQ_FIRST(&c->queues); q; q = next) {
		next = TAILQ_NEXT(q, entry);
		if (q->in_flight || !TAILQ_EMPTY(&q->waiting))
			continue;
		if (q->silent_at && now < q->silent_at + 2000 * IDLE_MAX_S)
			continue;
		TAILQ_REMOVE(&c->queues, q, entry);
		free(q->name);
		free(q);
	}
}

/* Have the loop look again when a waiting request is due or out of time. */
static void client_look(struct http_client *c, const struct http_request *r,
			int64_t now)
{
	int64_t at = r->start_at > now ? r->start_at : r->deadline;

	if (at < c->look_at)
		c->look_at = at;
}

/* Let a request wait for a place in its queue. */
static void request_wait(struct http_client *c, struct http_request *r)
{
	struct queue *q = queue_get(c, r->queue);

	TAILQ_INSERT_TAIL(&q->waiting, r, entry);
	client_look(c, r, clock_now());
}

/* Tell the outcome of a request; it may come back for another round. */
static void request_end(struct http_client *c, struct http_request *r,
			const struct http_answer *a)
{
	struct http_request *again = r->done(r, a);

	if (again)
		request_wait(c, again);
	else
		atomic_fetch_sub(&c->held, 1);
}

/* Tell that a request never left. */
static void request_not_sent(struct http_client *c, struct http_request *r)
{
	struct http_answer a = {.outcome = HTTP_NOT_SENT};

	request_end(c, r, &a);
}

/* Hand a transfer to libcurl, with the time that is left. */
static bool transfer_add(struct transfer *t)
{
	int64_t left = t->request->deadline - clock_now();

	if (left <= 0)
		return false;
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, (long)left);
	return curl_multi_add_handle(t->client->multi, t->easy) == CURLM_OK;
}

/* Give a transfer back and tell its outcome. */
static void transfer_end(struct transfer *t, enum http_outcome outcome)
{
	struct http_client *c = t->client;
	struct http_answer a = t->answer;

	a.outcome = outcome;
	t->queue->in_flight--;
	TAILQ_REMOVE(&c->running, t, entry);
	TAILQ_INSERT_HEAD(&c->idle, t, entry);
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	request_end(c, t->request, &a);
	bstr_free(&a.body);
}

/* Give a transfer the client's headers, and its request's after them. */
static void transfer_headers(struct transfer *t, const struct http_request *r)
{
	const struct curl_slist *h;
	size_t i;

	if (!r->headers[0]) {
		curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER,
				 t->client->headers);
		return;
	}
	for (h = t->client->headers; h; h = h->next)
		t->headers = curl_slist_append(t->headers, h->data);
	for (i = 0; i < HTTP_HEADERS_MAX && r->headers[i]; i++)
		t->headers = curl_slist_append(t->headers, r->headers[i]);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

/* Begin the exchange of a request whose queue has a place for it. */
static void request_start(struct http_client *c, struct queue *q,
			  struct http_request *r)
{
	struct transfer *t = TAILQ_FIRST(&c->idle);
	CURL *h;

	if (r->deadline <= clock_now() || (r->build && !r->build(r))) {
		request_not_sent(c, r);
		return;
	}
	if (t)
		TAILQ_REMOVE(&c->idle, t, entry);
	else
		t = transfer_new(c);
	TAILQ_INSERT_TAIL(&c->running, t, entry);
	q->in_flight++;
	t->queue = q;
	t->request = r;
	t->sent = t->stale = t->fresh = false;
	t->headers_whole = t->framed = false;
	t->header_bytes = t->room = 0;
	memset(&t->answer, 0, sizeof(t->answer));

	h = t->easy;
	curl_easy_setopt(h, CURLOPT_URL, r->url);
	transfer_headers(t, r);
	curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 0L);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)c->options.connect_ms);
	if (strcmp(r->method, "GET") == 0) {
		curl_easy_setopt(h, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, NULL);
	} else {
		curl_easy_setopt(h, CURLOPT_POST, 1L);
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, r->method);
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE,
				 (long)r->body.bstr_len);
		curl_easy_setopt(h, CURLOPT_POSTFIELDS,
				 r->body.bstr_val ? r->body.bstr_val : "");
	}
	if (!transfer_add(t))
		transfer_end(t, HTTP_NOT_SENT);
}

/* Begin what a queue has places for. */
static void queue_start(struct http_client *c, struct queue *q, int64_t now)
{
	struct http_request *r, *next;

	for (r = TAILQ_FIRST(&q->waiting); r; r = next) {
		if (q->in_flight >= c->options.max_per_queue)
			return;
		next = TAILQ_NEXT(r, entry);
		if (r->start_at > now)
			continue;
		TAILQ_REMOVE(&q->waiting, r, entry);
		request_start(c, q, r);
	}
}

/* End what has waited too long, and note when to look again. */
static void queue_expire(struct http_client *c, struct queue *q, int64_t now)
{
	struct http_request *r, *next;

	for (r = TAILQ_FIRST(&q->waiting); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (now < r->deadline) {
			client_look(c, r, now);
			continue;
		}
		TAILQ_REMOVE(&q->waiting, r, entry);
		request_not_sent(c, r);
	}
}

/* Begin what there are places for, and end what has waited too long. */
static void queues_start(struct http_client *c)
{
	int64_t now = clock_now();
	struct queue *q;

	TAILQ_FOREACH(q, &c->queues, entry)
		queue_start(c, q, now);
	if (now < c->look_at)
		return;
	c->look_at = INT64_MAX;
	TAILQ_FOREACH(q, &c->queues, entry)
		queue_expire(c, q, now);
}

/*
 * What a finished transfer amounts to.  libcurl takes two kinds of answers
 * that are cut short for whole ones: headers that end with the connection,
 * and a body without a length, which ends where the connection does.
 */
static enum http_outcome transfer_outcome(struct transfer *t, CURLcode rc)
{
	if (rc == CURLE_OK && !t->headers_whole)
		return HTTP_NO_ANSWER;
	if (rc == CURLE_OK)
		return t->framed || t->answer.status == 204 ? HTTP_OK
							    : HTTP_INVALID;
	if (t->answer.too_long)
		return HTTP_INVALID;
	if (!t->sent)
		return HTTP_NOT_SENT;
	switch (rc) {
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
		return HTTP_INVALID;
	default:
		return HTTP_NO_ANSWER;
	}
}

/* End a transfer that libcurl is done with, or send it by a fresh way. */
static void transfer_done(struct transfer *t, CURLcode rc)
{
	struct http_client *c = t->client;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &t->answer.status);
	curl_multi_remove_handle(c->multi, t->easy);
	if (t->stale && !t->fresh) {
		t->fresh = true;
		curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
		if (transfer_add(t))
			return;
	}
	if (rc == CURLE_OPERATION_TIMEDOUT && t->sent) {
		t->queue->silent_at = clock_now();
		t->queue->silent_serial = c->last_serial;
	}
	if (rc != CURLE_OK)
		log_debug("%s %s: %s", t->request->method, t->request->url,
			  curl_easy_strerror(rc));
	transfer_end(t, transfer_outcome(t, rc));
}

/* Take the finished transfers out of libcurl. */
static void transfers_reap(struct http_client *c)
{
	struct transfer *t;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		transfer_done(t, msg->data.result);
	}
}

/* End all that is held: what was sent has no answer, the rest never left. */
static void client_abandon(struct http_client *c)
{
	struct queue *q;
	struct http_request *r;
	struct transfer *t;

	while ((t = TAILQ_FIRST(&c->running))) {
		curl_multi_remove_handle(c->multi, t->easy);
		transfer_end(t, t->sent ? HTTP_NO_ANSWER : HTTP_NOT_SENT);
	}
	while ((r = mailbox_take(c->mailbox)))
		request_wait(c, r);
	TAILQ_FOREACH(q, &c->queues, entry) {
		while ((r = TAILQ_FIRST(&q->waiting))) {
			TAILQ_REMOVE(&q->waiting, r, entry);
			request_not_sent(c, r);
		}
	}
}

/* How long the loop may sleep. */
static int client_sleep_ms(const struct http_client *c)
{
	int64_t left = c->look_at - clock_now();

	if (left <= 0)
		return 0;
	return left < POLL_MS ? (int)left : POLL_MS;
}

/* The client's thread. */
static void *client_run(void *arg)
{
	struct http_client *c = arg;
	struct curl_waitfd wait = {.fd = mailbox_fd(c->mailbox),
				   .events = CURL_WAIT_POLLIN};
	struct http_request *r;
	int running;
	int64_t now, swept_at = clock_now();

	while (!atomic_load(&c->stopping)) {
		mailbox_clear(c->mailbox);
		while ((r = mailbox_take(c->mailbox)))
			request_wait(c, r);
		queues_start(c);
		curl_multi_perform(c->multi, &running);
		transfers_reap(c);
		queues_start(c);
		now = clock_now();
		if (now >= swept_at + POLL_MS) {
			queues_sweep(c, now);
			swept_at = now;
		}
		curl_multi_poll(c->multi, &wait, 1, client_sleep_ms(c), NULL);
	}
	client_abandon(c);
	return NULL;
}

/* Free a client whose thread has ended. */
static void client_free(struct http_client *c)
{
	struct transfer *t;

	while ((t = TAILQ_FIRST(&c->idle))) {
		TAILQ_REMOVE(&c->idle, t, entry);
		curl_easy_cleanup(t->easy);
		free(t);
	}
	curl_multi_cleanup(c->multi);
	queues_sweep(c, INT64_MAX);
	curl_slist_free_all(c->headers);
	mailbox_free(c->mailbox);
	free(c->sockets);
	free(c->tls_ca);
	free(c);
}

/* Add a header that all requests carry. */
static void client_header(struct http_client *c, const char *line)
{
	c->headers = curl_slist_append(c->headers, line);
	if (!c->headers)
		abort(); /* out of memory */
}

/* Start a client. */
struct http_client *http_client_start(const struct http_client_options *o,
				      struct error *e)
{
	struct http_client *c;
	unsigned size = 2;
	sigset_t all, old;
	char *line;
	int rc;

	pthread_once(&curl_once, curl_setup);
	if (o->tls_ca && access(o->tls_ca, R_OK) != 0) {
		error_add(e, o->tls_ca, "can't be read: %s", strerror(errno));
		return NULL;
	}
	if (o->token && strpbrk(o->token, "\r\n")) {
		error_add(e, "token", "a line break can't be sent");
		return NULL;
	}
	while (size <= o->max_requests)
		size *= 2;
	c = xcalloc(1, sizeof(*c));
	c->options = *o;
	c->options.token = c->options.tls_ca = NULL; /* the caller's */
	c->mailbox = mailbox_new(size);
	c->tls_ca = o->tls_ca ? xstrdup(o->tls_ca) : NULL;
	c->look_at = INT64_MAX;
	TAILQ_INIT(&c->queues);
	TAILQ_INIT(&c->running);
	TAILQ_INIT(&c->idle);
	c->multi = curl_multi_init();
	if (!c->multi)
		abort(); /* out of memory */
	curl_multi_setopt(c->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
			  (long)o->max_requests);
	client_header(c, "Content-Type: application/json");
	client_header(c, "Expect:");
	if (o->token) {
		line = xasprintf("Authorization: Bearer %s", o->token);
		client_header(c, line);
		free(line);
	}
	/* Signals are the main thread's; a broken pipe is an error code here.
	 */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	rc = pthread_create(&c->thread, NULL, client_run, c);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	if (rc) {
		error_add(e, "http client", "no thread: %s", strerror(rc));
		client_free(c);
		return NULL;
	}
	return c;
}

/* Send a request, from any thread. */
bool http_client_send(struct http_client *c, struct http_request *r)
{
	if (atomic_fetch_add(&c->held, 1) < c->options.max_requests &&
	    mailbox_put(c->mailbox, r))
		return true;
	atomic_fetch_sub(&c->held, 1);
	return false;
}

/*
 * A full inbox means that the reducer is behind: this thread waits for it,
 * and its senders are refused meanwhile.  While stopping nobody may be
 * reading any more, so that wait has an end.
 */
void http_client_post(struct http_client *c, struct mailbox *inbox, event *ev)
{
	static const struct timespec pause = {0, 1000000};

	while (!mailbox_put(inbox, ev)) {
		if (atomic_load(&c->stopping) && !c->post_until)
			c->post_until = clock_now() + POST_STOP_MS;
		if (c->post_until && clock_now() > c->post_until) {
			log_event(LOG_OVERRUN, "inbox full while stopping");
			event_free(ev);
			return;
		}
		nanosleep(&pause, NULL);
	}
}

/* Stop a client. */
void http_client_stop(struct http_client *c)
{
	atomic_store(&c->stopping, true);
	curl_multi_wakeup(c->multi);
	pthread_join(c->thread, NULL);
	client_abandon(c); /* what was sent while the thread ended */
	client_free(c);
}
