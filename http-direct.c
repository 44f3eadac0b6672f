/*
 * Connections of the client's own: finds an idle one for a request or opens
 * one, sends the request, and keeps the connection after its response.
 */
#include "http-state.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define REQUEST_LINE_END " HTTP/1.1\r\nHost: "
#define REQUEST_PARTS_MAX (9 + 2 * HTTP_HEADERS_MAX)

/* A part of a request's text. */
struct text_part {
	const char *text;
	size_t length;
};

/*
 * Splits a URL. Returns false if its host isn't a numeric IPv4 address with a
 * port, or needs TLS.
 */
static bool url_split(const char *url, struct http_url *u)
{
	static const char scheme[] = "http://";
	char ip[INET_ADDRSTRLEN], *end;
	const char *colon;
	unsigned long port;

	if (strncmp(url, scheme, strlen(scheme)) != 0)
		return false;
	u->host = url + strlen(scheme);
	u->path = strchr(u->host, '/');
	colon = strchr(u->host, ':');
	if (!u->path || !colon || colon > u->path ||
	    (size_t)(colon - u->host) >= sizeof(ip))
		return false;
	u->host_length = (size_t)(u->path - u->host);
	memcpy(ip, u->host, (size_t)(colon - u->host));
	ip[colon - u->host] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (end != u->path || !port || port > UINT16_MAX)
		return false;
	memset(&u->address, 0, sizeof(u->address));
	u->address.sin_family = AF_INET;
	u->address.sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &u->address.sin_addr) == 1;
}

/* Returns the hash key of an address. */
static uint64_t address_key(const struct sockaddr_in *a)
{
	return (uint64_t)a->sin_addr.s_addr << 16 | a->sin_port;
}

/* Returns the server at an address, or NULL if there is no connection to it. */
static struct http_peer *peer_find(const struct http_client *c,
				   const struct sockaddr_in *a)
{
	uint64_t key = address_key(a);
	struct http_peer *p;

	HASH_FIND(hh, c->peers, &key, sizeof(key), p);
	return p;
}

/* Returns the server at an address, which is created if necessary. */
static struct http_peer *peer_get(struct http_client *c,
				  const struct sockaddr_in *a)
{
	struct http_peer *p = peer_find(c, a);

	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	p->key = address_key(a);
	TAILQ_INIT(&p->idle);
	HASH_ADD(hh, c->peers, key, sizeof(p->key), p);
	return p;
}

/* Frees a server to which no connection is left. */
static void peer_release(struct http_client *c, struct http_peer *p)
{
	if (p->conn_count)
		return;
	HASH_DEL(c->peers, p);
	free(p);
}

/* Registers a connection with epoll, for reading and maybe for writing. */
static void conn_watch(struct http_conn *n, int op, bool write)
{
	struct epoll_event e = {.events = EPOLLIN | (write ? EPOLLOUT : 0),
				.data.fd = n->fd};

	n->awaits_write = write;
	if (epoll_ctl(n->client->epoll, op, n->fd, &e) != 0)
		abort(); /* out of memory; nothing would wake the transfer */
}

/* Takes a connection out of the lists of idle ones. */
static void conn_unlist(struct http_conn *n)
{
	TAILQ_REMOVE(&n->peer->idle, n, entry);
	TAILQ_REMOVE(&n->client->idle_conns, n, idle_entry);
}

/* Keeps a connection for later requests. */
static void conn_keep(struct http_conn *n)
{
	n->transfer = NULL;
	n->idle_until = clock_now() + HTTP_CONNECTION_IDLE_MS;
	TAILQ_INSERT_HEAD(&n->peer->idle, n, entry);
	TAILQ_INSERT_TAIL(&n->client->idle_conns, n, idle_entry);
}

/* Closes and frees a connection, which must not be listed as idle. */
static void conn_close(struct http_conn *n)
{
	struct http_client *c = n->client;

	n->peer->conn_count--;
	peer_release(c, n->peer);
	http_socket_close(c, n->fd);
	bstr_free(&n->request);
	free(n);
}

/* Closes a connection that is listed as idle. */
static void conn_close_idle(struct http_conn *n)
{
	conn_unlist(n);
	conn_close(n);
}

/* Opens a connection; it is established later. Returns NULL on failure. */
static struct http_conn *conn_open(struct http_client *c,
				   const struct sockaddr_in *a)
{
	int one = 1,
	    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct http_conn *n;

	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (const struct sockaddr *)a, sizeof(*a)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	n = xcalloc(1, sizeof(*n));
	n->client = c;
	n->fd = fd;
	n->serial = ++c->last_serial;
	n->peer = peer_get(c, a);
	n->peer->conn_count++;
	http_socket_get(c, fd)->conn = n;
	conn_watch(n, EPOLL_CTL_ADD, true);
	return n;
}

/*
 * Returns true if an idle connection has neither been closed nor sent anything
 * by its peer. Unread data would be taken for the response to the next request.
 */
static bool conn_is_quiet(const struct http_conn *n)
{
	char byte;

	return recv(n->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/*
 * Takes an idle connection for a request of a queue, the latest used first.
 * Returns NULL if there is none. Those opened before the last timeout of the
 * queue aren't taken: a device on the path may have lost their state, and each
 * would cost another timeout.
 */
static struct http_conn *conn_reuse(struct http_client *c,
				    const struct http_queue *q,
				    const struct sockaddr_in *a)
{
	struct http_peer *p = peer_find(c, a);
	struct http_conn *n, *next;

	for (n = p ? TAILQ_FIRST(&p->idle) : NULL; n; n = next) {
		next = TAILQ_NEXT(n, entry);
		if (n->serial <= q->timeout_serial)
			continue;
		conn_unlist(n);
		if (conn_is_quiet(n))
			return n;
		conn_close(n); /* with the last one p is freed */
	}
	return NULL;
}

/* Ends the transfer of a connection without a usable response. */
static void conn_fail(struct http_conn *n, enum http_outcome sent_outcome,
		      const char *reason)
{
	struct http_transfer *t = n->transfer;

	log_debug("%s %s: %s", t->request->method, t->request->url, reason);
	t->conn = NULL;
	conn_close(n);
	http_transfer_end(t, t->sent ? sent_outcome : HTTP_NOT_SENT);
}

/* Adds a text to the parts of a request. */
static void part_add(struct text_part *parts, size_t *count, const char *text,
		     size_t length)
{
	if (!length)
		return;
	parts[*count].text = text;
	parts[(*count)++].length = length;
}

/* Returns the parts one after the other. */
static bstr parts_join(const struct text_part *parts, size_t count)
{
	size_t i, length = 0;
	bstr all;
	char *p;

	for (i = 0; i < count; i++)
		length += parts[i].length;
	all.bstr_val = p = xrealloc(NULL, length, 1);
	all.bstr_len = (u_int)length;
	for (i = 0; i < count; i++) {
		memcpy(p, parts[i].text, parts[i].length);
		p += parts[i].length;
	}
	return all;
}

/* Returns the bytes of a connection's request. */
static bstr request_format(const struct http_conn *n)
{
	const struct http_request *r = n->transfer->request;
	const bstr *common = &n->client->header_lines;
	struct text_part parts[REQUEST_PARTS_MAX];
	char number[48];
	size_t i, count = 0;

	snprintf(number, sizeof(number), "Content-Length: %u\r\n\r\n",
		 r->body.bstr_len);
	part_add(parts, &count, r->method, strlen(r->method));
	part_add(parts, &count, " ", 1);
	part_add(parts, &count, n->url.path, strlen(n->url.path));
	part_add(parts, &count, REQUEST_LINE_END, strlen(REQUEST_LINE_END));
	part_add(parts, &count, n->url.host, n->url.host_length);
	part_add(parts, &count, "\r\n", 2);
	for (i = 0; i < HTTP_HEADERS_MAX; i++) {
		if (!r->headers[i])
			continue;
		part_add(parts, &count, r->headers[i], strlen(r->headers[i]));
		part_add(parts, &count, "\r\n", 2);
	}
	part_add(parts, &count, common->bstr_val, common->bstr_len);
	part_add(parts, &count, number, strlen(number));
	part_add(parts, &count, r->body.bstr_val, r->body.bstr_len);
	return parts_join(parts, count);
}

/*
 * Sends what is left of the request. Returns false if the connection has
 * failed.
 */
static bool conn_write(struct http_conn *n)
{
	size_t left = n->request.bstr_len - n->request_sent;
	ssize_t sent = send(n->fd, n->request.bstr_val + n->request_sent, left,
			    MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		return false;
	if (sent > 0) {
		n->transfer->sent = true;
		n->request_sent += (size_t)sent;
		left -= (size_t)sent;
	}
	if (n->awaits_write != (left > 0))
		conn_watch(n, EPOLL_CTL_MOD, left > 0);
	return true;
}

/*
 * Begins to send the request on an established connection. The deadline is
 * checked here, right before the first byte leaves: a thread that is denied the
 * CPU would send orders about machines long after it, while a successor sends
 * its own.
 *
 * A connection that fails before it has taken a byte can't have carried the
 * request, so another one may; returns false in this case.
 */
static bool conn_begin(struct http_conn *n)
{
	struct http_transfer *t = n->transfer;

	if (t->request->deadline <= clock_now()) {
		t->conn = NULL;
		conn_keep(n);
		http_transfer_end(t, HTTP_NOT_SENT);
		return true;
	}
	n->request = request_format(n);
	n->request_sent = 0;
	http_reply_begin(&n->reply, t);
	t->response.conn_opened_at = n->opened_at;
	return conn_write(n);
}

/* Handles the outcome of connecting. */
static void conn_established(struct http_conn *n)
{
	struct http_transfer *t = n->transfer;
	socklen_t size = sizeof(int);
	int e = 0;

	if (getsockopt(n->fd, SOL_SOCKET, SO_ERROR, &e, &size) != 0 || e) {
		conn_fail(n, HTTP_NOT_SENT, strerror(e));
		return;
	}
	n->opened_at = clock_now();
	heap_set(&t->client->transfer_timers, &t->timer, t->request->deadline);
	conn_watch(n, EPOLL_CTL_MOD, false);
	if (!conn_begin(n))
		conn_fail(n, HTTP_NO_RESPONSE, strerror(errno));
}

/* Ends the transfer of a connection with the response received. */
static void conn_complete(struct http_conn *n)
{
	struct http_transfer *t = n->transfer;
	bool keep = n->reply.keep_alive && !t->request->new_connection &&
		    n->request_sent == n->request.bstr_len;

	bstr_free(&n->request);
	t->conn = NULL;
	if (keep)
		conn_keep(n);
	else
		conn_close(n);
	http_transfer_end(t, HTTP_OK);
}

/* Reads from a connection on which a response is awaited. */
static void conn_read(struct http_conn *n)
{
	char data[READ_BYTES];
	ssize_t length = recv(n->fd, data, sizeof(data), 0);

	if (length < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (length <= 0) {
		conn_fail(n, HTTP_NO_RESPONSE,
			  length ? strerror(errno) : "closed by the server");
		return;
	}
	switch (http_reply_read(&n->reply, data, (size_t)length)) {
	case REPLY_PARTIAL:
		break;
	case REPLY_COMPLETE:
		conn_complete(n);
		break;
	case REPLY_INVALID:
		conn_fail(n, HTTP_INVALID, "malformed response");
		break;
	}
}

/* Returns true if a request may not be sent any more, and wasn't. */
static bool transfer_is_late(const struct http_transfer *t)
{
	return !t->sent && t->request->deadline <= clock_now();
}

/* Handles the epoll events of a connection. */
void http_direct_ready(struct http_conn *n, uint32_t events)
{
	if (!n->transfer) {
		conn_close_idle(n);
		return;
	}
	if (!n->opened_at) {
		conn_established(n);
		return;
	}
	if ((events & EPOLLOUT) && transfer_is_late(n->transfer)) {
		conn_fail(n, HTTP_NO_RESPONSE, "deadline");
		return;
	}
	if ((events & EPOLLOUT) && !conn_write(n)) {
		conn_fail(n, HTTP_NO_RESPONSE, strerror(errno));
		return;
	}
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		conn_read(n);
}

/* Assigns a transfer to a connection, and sets its timer. */
static void transfer_assign(struct http_transfer *t, struct http_conn *n,
			    const struct http_url *u)
{
	int64_t due = clock_now() + t->client->options.connect_ms;

	if (n->opened_at || due > t->request->deadline)
		due = t->request->deadline;
	n->transfer = t;
	n->url = *u;
	t->conn = n;
	heap_set(&t->client->transfer_timers, &t->timer, due);
}

/*
 * Starts a transfer on a connection of the client's own. Returns false if that
 * can't serve its URL.
 */
bool http_direct_start(struct http_transfer *t)
{
	struct http_client *c = t->client;
	struct http_conn *n;
	struct http_url u;

	if (!url_split(t->request->url, &u))
		return false;
	while (!t->request->new_connection &&
	       (n = conn_reuse(c, t->queue, &u.address))) {
		transfer_assign(t, n, &u);
		if (conn_begin(n))
			return true;
		t->conn = NULL;
		conn_close(n);
	}
	n = conn_open(c, &u.address);
	if (n) {
		transfer_assign(t, n, &u);
		return true;
	}
	log_debug("%s %s: %s", t->request->method, t->request->url,
		  strerror(errno));
	http_transfer_end(t, HTTP_NOT_SENT);
	return true;
}

/* Takes a transfer off its connection, which is closed. */
void http_direct_abort(struct http_transfer *t)
{
	struct http_conn *n = t->conn;

	t->conn = NULL;
	conn_close(n);
}

/* Closes the connections that have been idle for HTTP_CONNECTION_IDLE_MS. */
void http_direct_expire(struct http_client *c, int64_t now)
{
	struct http_conn *n;

	while ((n = TAILQ_FIRST(&c->idle_conns)) && n->idle_until <= now)
		conn_close_idle(n);
}
