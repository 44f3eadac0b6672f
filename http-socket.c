#include "http-state.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* What is known of a descriptor; made if there was nothing. */
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

/* The port in an address. */
static uint16_t address_port(const struct sockaddr *a)
{
	if (a->sa_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)a)->sin6_port);
	return ntohs(((const struct sockaddr_in *)a)->sin_port);
}

/* Note whereto a socket leads. */
static void socket_peer(struct http_socket *s, const struct sockaddr *a)
{
	const void *ip = &((const struct sockaddr_in *)a)->sin_addr;

	if (a->sa_family == AF_INET6)
		ip = &((const struct sockaddr_in6 *)a)->sin6_addr;
	inet_ntop(a->sa_family, ip, s->key.peer_ip, sizeof(s->key.peer_ip));
	s->key.peer_port = address_port(a);
}

/* Forget what was known of a socket that is closed. */
static void socket_forget(struct http_client *c, struct http_socket *s)
{
	int fd = s->fd;

	if (s->hashed)
		HASH_DEL(c->socket_hash, s);
	else if (s->serial)
		TAILQ_REMOVE(&c->unhashed, s, entry);
	memset(s, 0, sizeof(*s));
	s->fd = fd;
}

/* Open a socket and note what is known of it. */
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
	socket_forget(c, s);
	s->serial = ++c->last_serial;
	s->opened_at = clock_now();
	socket_peer(s, &a->addr);
	TAILQ_INSERT_TAIL(&c->unhashed, s, entry);
	return fd;
}

/*
 * Close a socket and throw away what it has not sent yet.  Otherwise the
 * kernel goes on sending a request that has run out of time, and a worker
 * that was cut off would start minutes later what is long taken as not
 * started.  With a linger time of zero nothing leaves this VM after the
 * request's outcome has been told.
 */
int http_socket_close(void *arg, curl_socket_t fd)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};
	struct http_client *c = arg;

	socket_forget(c, http_socket_get(c, fd));
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	return close(fd);
}

/* Learn the local ports of sockets that have got one since they were opened. */
static void sockets_name(struct http_client *c)
{
	struct sockaddr_in6 a; /* has room for either family */
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
 * Find the socket of a connection by its four numbers, which is how libcurl
 * names it before a request; CURLINFO_ACTIVESOCKET is not set yet then.
 */
struct http_socket *http_socket_find(struct http_client *c, const char *peer_ip,
				     int peer_port, int local_port)
{
	struct http_socket_key name = {.peer_port = (uint16_t)peer_port,
				       .local_port = (uint16_t)local_port};
	struct http_socket *s;

	snprintf(name.peer_ip, sizeof(name.peer_ip), "%s", peer_ip);
	HASH_FIND(hh, c->socket_hash, &name, sizeof(name), s);
	if (s)
		return s;
	sockets_name(c);
	HASH_FIND(hh, c->socket_hash, &name, sizeof(name), s);
	return s;
}

/*
 * May a connection carry a request?  Of those that have carried one before:
 * not if bytes wait on it, which are a second answer to the last request (or
 * its end) and would be taken as the answer to this one; and not if it is
 * older than the last silence on this queue, because something in between may
 * have lost track of it, and each such connection would cost a timeout.
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

/* Register the events of a socket; none: it is watched no more. */
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
		abort(); /* out of memory: nothing would wake the transfer */
}

/*
 * libcurl tells what it waits for on a socket.  One that it has no use for
 * now stays registered for reading, for the next request will want that again;
 * but not one that it opened itself (a resolver's), whose closing is not told.
 * That of an attempt to connect that was given up is not told either.
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
		socket_forget(sh->client, s);
	return 0;
}

/* A socket has events. */
void http_socket_ready(struct http_client *c, int fd, uint32_t events)
{
	struct http_socket *s = http_socket_get(c, fd);
	struct http_shard *sh = s->shard;
	int mask = 0, running;

	/* Closed since, and perhaps opened anew, by what came before. */
	if (!s->watched_events)
		return;
	if (!s->wanted_events) {
		/* The peer has closed an idle connection: seen at its next
		 * use. */
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

/* Free what is known of sockets; all are closed. */
void http_sockets_free(struct http_client *c)
{
	size_t fd;
	for (fd = 0; fd < c->socket_count; fd++)
		free(c->sockets[fd]);
	free(c->sockets);
}
