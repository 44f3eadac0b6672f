/*
 * Sockets of connections: opens and closes them for libcurl, registers their
 * events with epoll, and decides whether a connection may be reused.
 */
#include "http-state.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Returns the state of a file descriptor, which is created if necessary. */
struct http_socket *http_socket_get(struct http_client *c, int fd)
{
	size_t count;

	if ((size_t)fd >= c->socket_count) {
		count = (size_t)fd * 2 + 16;
		c->sockets = xrealloc(c->sockets, count,
				      sizeof(struct http_socket *));
		memset(c->sockets + c->socket_count, 0,
		       (count - c->socket_count) *
			       sizeof(struct http_socket *));
		c->socket_count = count;
	}
	if (!c->sockets[fd]) {
		c->sockets[fd] = xcalloc(1, sizeof(struct http_socket));
		c->sockets[fd]->fd = fd;
	}
	return c->sockets[fd];
}

/* Returns the port of a socket address. */
static uint16_t address_port(const struct sockaddr *a)
{
	if (a->sa_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)a)->sin6_port);
	return ntohs(((const struct sockaddr_in *)a)->sin_port);
}

/* Sets the peer's address in the hash key of a socket. */
static void socket_set_peer(struct http_socket *s, const struct sockaddr *a)
{
	const void *ip = &((const struct sockaddr_in *)a)->sin_addr;

	if (a->sa_family == AF_INET6)
		ip = &((const struct sockaddr_in6 *)a)->sin6_addr;
	inet_ntop(a->sa_family, ip, s->key.peer_ip, sizeof(s->key.peer_ip));
	s->key.peer_port = address_port(a);
}

/* Clears the state of a socket, except for its descriptor. */
static void socket_clear(struct http_client *c, struct http_socket *s)
{
	int fd = s->fd;

	if (s->hashed)
		HASH_DEL(c->socket_hash, s);
	else if (s->serial)
		TAILQ_REMOVE(&c->unhashed, s, entry);
	memset(s, 0, sizeof(*s));
	s->fd = fd;
}

/* Callback of libcurl: opens a socket and sets up its state. */
curl_socket_t http_socket_open(void *arg, curlsocktype purpose,
			       struct curl_sockaddr *a)
{
	struct http_client *c = arg;
	struct http_socket *s;
	int fd;

	(void)purpose;
	fd = socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	s = http_socket_get(c, fd);
	socket_clear(c, s);
	s->serial = ++c->last_serial;
	socket_set_peer(s, &a->addr);
	TAILQ_INSERT_TAIL(&c->unhashed, s, entry);
	return fd;
}

/*
 * Callback of libcurl: closes a socket and discards its unsent data.
 *
 * The kernel would otherwise go on sending a request whose deadline has passed.
 * A worker that had been unreachable would then start a task minutes after it
 * was taken as not started. With a linger time of zero, nothing leaves this VM
 * after the outcome of the request was reported.
 */
int http_socket_close(void *arg, curl_socket_t fd)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct http_client *c = arg;

	socket_clear(c, http_socket_get(c, fd));
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return close(fd);
}

/* Adds the sockets to the hash that have a local port by now. */
static void sockets_add_to_hash(struct http_client *c)
{
	struct sockaddr_in6 a; /* fits IPv4 and IPv6 */
	struct http_socket *s, *next;
	socklen_t len;

	for (s = TAILQ_FIRST(&c->unhashed); s; s = next) {
		next = TAILQ_NEXT(s, entry);
		memset(&a, 0, sizeof(a));
		len = sizeof(a);
		if (getsockname(s->fd, (struct sockaddr *)&a, &len))
			continue;
		s->key.local_port = address_port((struct sockaddr *)&a);
		if (!s->key.local_port)
			continue;
		TAILQ_REMOVE(&c->unhashed, s, entry);
		HASH_ADD(hh, c->socket_hash, key, sizeof(s->key), s);
		s->hashed = true;
	}
}

/*
 * Returns the socket of a connection, or NULL. Before a request libcurl
 * identifies the connection by its addresses and ports only;
 * CURLINFO_ACTIVESOCKET is not set yet then.
 */
struct http_socket *http_socket_find(struct http_client *c, const char *peer_ip,
				     int peer_port, int local_port)
{
	struct http_socket_key key = {.peer_port = (uint16_t)peer_port,
				      .local_port = (uint16_t)local_port};
	struct http_socket *s;

	snprintf(key.peer_ip, sizeof(key.peer_ip), "%s", peer_ip);
	HASH_FIND(hh, c->socket_hash, &key, sizeof(key), s);
	if (s)
		return s;
	sockets_add_to_hash(c);
	HASH_FIND(hh, c->socket_hash, &key, sizeof(key), s);
	return s;
}

/*
 * Returns true if a connection can carry a request of a queue. A new connection
 * always can. One that has carried a request before cannot if it has unread
 * data or was closed by the peer: the data is a second response to the last
 * request and would be taken for the response to this one. Nor can it if it was
 * opened before the last timeout of the queue: a device on the path may have
 * lost the state of the connection, and each such connection would cost another
 * timeout.
 */
bool http_socket_is_reusable(struct http_socket *s, const struct http_queue *q)
{
	char byte;

	if (!s->used) {
		s->used = true;
		return true;
	}
	if (s->serial <= q->timeout_serial)
		return false;
	return recv(s->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/* Registers the events of a socket with epoll; 0 removes the socket. */
static void socket_register(struct http_client *c, struct http_socket *s,
			    uint32_t events)
{
	struct epoll_event e = {.events = events, .data.fd = s->fd};
	int op = !events	     ? EPOLL_CTL_DEL
		 : s->watched_events ? EPOLL_CTL_MOD
				     : EPOLL_CTL_ADD;

	if (events == s->watched_events)
		return;
	s->watched_events = events;
	if (epoll_ctl(c->epoll, op, s->fd, &e) != 0 && events)
		abort(); /* out of memory; nothing would wake the transfer */
}

/*
 * Callback of libcurl: sets the events that it waits for on a socket.
 *
 * A socket that has carried a request stays registered for reading while
 * libcurl waits for nothing, because the next request needs that again. Any
 * other socket is then removed and its state cleared, because libcurl may close
 * it without a callback: one that libcurl opened itself, such as a resolver's,
 * or one of an abandoned attempt to connect.
 */
int http_socket_watch(CURL *easy, curl_socket_t fd, int what, void *arg,
		      void *unused)
{
	static const uint32_t events[] = {[CURL_POLL_NONE] = 0,
					  [CURL_POLL_IN] = EPOLLIN,
					  [CURL_POLL_OUT] = EPOLLOUT,
					  [CURL_POLL_INOUT] = EPOLLIN |
							      EPOLLOUT,
					  [CURL_POLL_REMOVE] = 0};
	struct http_shard *sh = arg;
	struct http_socket *s = http_socket_get(sh->client, fd);

	(void)easy;
	(void)unused;
	s->shard = sh;
	s->wanted_events = events[what];
	if (s->wanted_events || !s->used || s->watched_events != EPOLLIN)
		socket_register(sh->client, s, s->wanted_events);
	if (!s->wanted_events && !s->used)
		socket_clear(sh->client, s);
	return 0;
}

/* Handles the epoll events of a socket. */
void http_socket_ready(struct http_client *c, int fd, uint32_t events)
{
	struct http_socket *s = http_socket_get(c, fd);
	struct http_shard *sh = s->shard;
	int mask = 0, running;

	if (s->conn) {
		http_direct_ready(s->conn, events);
		return;
	}
	/* Closed, and maybe reopened, while earlier events were handled. */
	if (!s->watched_events)
		return;
	if (!s->wanted_events) {
		/*
		 * The peer has closed or written to an idle connection.
		 * http_socket_is_reusable rejects it at its next use.
		 */
		socket_register(c, s, 0);
		return;
	}
	if (events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(sh->multi, fd, mask, &running);
	http_transfers_reap(sh);
}

/* Frees the state of all sockets, which must be closed. */
void http_sockets_free(struct http_client *c)
{
	size_t fd;
	for (fd = 0; fd < c->socket_count; fd++)
		free(c->sockets[fd]);
	free(c->sockets);
}
