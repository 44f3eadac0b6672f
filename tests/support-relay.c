#include "support-relay.h"

#include "../rows.h"
#include "standin.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINKS_MAX 32
#define POLL_MS 50 /* poll interval, in which a change of mode is noticed */
#define PLATFORM "platform"

/* One relay: from a VM to the platform or to another VM. */
struct link {
	struct relay_net *net;
	char from[16], to[16];
	int fd;
	uint16_t port;
	atomic_uint target; /* port; changes when a VM is replaced */
	atomic_uint mode;
	atomic_uint stalled_serial; /* up to this serial */
	pthread_t thread;
};
struct relay_net {
	pthread_mutex_t lock; /* guards links and count */
	struct link links[LINKS_MAX];
	size_t count;
	atomic_uint connections; /* open connections */
	atomic_uint serial;
	atomic_bool ended;
};
/* One direction of a connection. */
struct flow {
	int from, to;
	bool answers, rewrite;
	bstr partial; /* incomplete answer */
};
struct conn {
	struct link *link;
	unsigned serial;
	int fd;
};

static struct link *link_new(struct relay_net *net, const char *from,
			     const char *to, uint16_t target);

/*
 * Returns the link between two ends with its target set; creates it if needed.
 */
static struct link *link_get(struct relay_net *net, const char *from,
			     const char *to, uint16_t target)
{
	struct link *l = NULL;
	size_t i;

	pthread_mutex_lock(&net->lock);
	for (i = 0; i < net->count && !l; i++)
		if (!strcmp(net->links[i].from, from) &&
		    !strcmp(net->links[i].to, to))
			l = &net->links[i];
	if (l)
		atomic_store(&l->target, target);
	else
		l = link_new(net, from, to, target);
	pthread_mutex_unlock(&net->lock);
	return l;
}

/*
 * Replaces the peer address in a member's row by the address of the relay to
 * that VM.
 */
static void member_row_rewrite(struct link *l, json_t *j)
{
	const char *key = json_string_value(json_object_get(j, "key"));
	member_row row;
	bstr bytes, text;
	char *vm, *address;

	if (!key || strncmp(key, "member/", 7) != 0 ||
	    !json_bytes(j, "value", &bytes))
		return;
	if (xdr_decode(XDR_PROC(xdr_member_row), bytes, &row, sizeof(row))) {
		vm = bstr_cstr(row.vm);
		address = bstr_cstr(row.address);
		if (strcmp(vm, l->from) != 0 && strchr(address, ':')) {
			struct link *peer = link_get(
				l->net, l->from, vm,
				(uint16_t)strtoul(strchr(address, ':') + 1,
						  NULL, 10));

			bstr_free(&row.address);
			row.address = bstr_printf("127.0.0.1:%u", peer->port);
		}
		bstr_free(&bytes);
		bytes = xdr_encode(XDR_PROC(xdr_member_row), &row);
		text = base64_encode(bytes);
		json_object_set_new(j, "value", bstr_to_json(text));
		bstr_free(&text);
		free(vm);
		free(address);
		xdr_free(XDR_PROC(xdr_member_row), (char *)&row);
	}
	bstr_free(&bytes);
}

/* Sends all bytes; returns false on failure. */
static bool send_all(int fd, const char *p, size_t len)
{
	ssize_t n;

	for (; len; p += n, len -= (size_t)n)
		if ((n = send(fd, p, len, MSG_NOSIGNAL)) <= 0)
			return false;
	return true;
}

/* Forwards a complete answer, with the member rows in it rewritten. */
static bool answer_forward(struct link *l, int to, const char *text,
			   size_t head, size_t body)
{
	json_t *j = json_loadb(text + head, body, 0, NULL), *row;
	char *out, *dump, *length;
	bool ok;
	size_t i;

	if (!j || !memmem(text + head, body, "member/", 7)) {
		json_decref(j);
		return send_all(to, text, head + body);
	}
	json_array_foreach(json_object_get(j, "rows"), i, row)
		member_row_rewrite(l, row);
	dump = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	length = strcasestr(text, "\r\nContent-Length:");
	out = xasprintf("%.*s\r\nContent-Length: %zu%.*s%s",
			(int)(length - text), text, strlen(dump),
			(int)(text + head - strstr(length + 2, "\r\n")),
			strstr(length + 2, "\r\n"), dump);
	ok = send_all(to, out, strlen(out));
	free(out);
	free(dump);
	return ok;
}

/*
 * Forwards the complete answers; returns false if the connection has to be
 * closed.
 */
static bool answers_forward(struct link *l, struct flow *f)
{
	char *end, *length;
	size_t head, body;
	bool ok = true;

	while (ok && f->partial.bstr_len) {
		f->partial.bstr_val[f->partial.bstr_len] = '\0';
		end = strstr(f->partial.bstr_val, "\r\n\r\n");
		length = strcasestr(f->partial.bstr_val, "\r\nContent-Length:");
		/* The stand-in sends Content-Length in every answer. */
		if (!end || !length || length > end)
			return !end;
		head = (size_t)(end + 4 - f->partial.bstr_val);
		body = strtoul(length + 17, NULL, 10);
		if (f->partial.bstr_len < head + body)
			return true;
		ok = answer_forward(l, f->to, f->partial.bstr_val, head, body);
		f->partial.bstr_len -= (u_int)(head + body);
		memmove(f->partial.bstr_val, f->partial.bstr_val + head + body,
			f->partial.bstr_len);
	}
	return ok;
}

/*
 * Forwards the bytes that have arrived; returns false if the connection has to
 * be closed.
 */
static bool flow_forward(struct link *l, struct flow *f)
{
	char buf[16384];
	ssize_t n = recv(f->from, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	if (f->answers && atomic_load(&l->mode) == RELAY_LOSE_ANSWERS)
		return true;
	if (!f->rewrite)
		return send_all(f->to, buf, (size_t)n);
	f->partial.bstr_val = xrealloc(f->partial.bstr_val,
				       f->partial.bstr_len + (size_t)n + 1, 1);
	memcpy(f->partial.bstr_val + f->partial.bstr_len, buf, (size_t)n);
	f->partial.bstr_len += (u_int)n;
	return answers_forward(l, f);
}

/* Returns true if a connection is stalled. */
static bool conn_is_stalled(const struct conn *c)
{
	return c->serial <= atomic_load(&c->link->stalled_serial);
}

/* Forwards in both directions until one side closes or the link is reset. */
static void conn_forward(struct conn *c, int target)
{
	struct flow flows[2] = {{.from = c->fd, .to = target},
				{.from = target,
				 .to = c->fd,
				 .rewrite = !strcmp(c->link->to, PLATFORM)}};
	struct pollfd p[2];
	bool open = true;
	size_t i;

	while (open && !atomic_load(&c->link->net->ended) &&
	       atomic_load(&c->link->mode) != RELAY_RESET) {
		p[0] = (struct pollfd){.fd = c->fd, .events = POLLIN};
		p[1] = (struct pollfd){.fd = target, .events = POLLIN};
		if (conn_is_stalled(c)) {
			usleep(POLL_MS * 1000);
			continue;
		}
		poll(p, 2, POLL_MS);
		if (conn_is_stalled(c))
			continue;
		for (i = 0; i < 2 && open; i++)
			if (p[i].revents)
				open = flow_forward(c->link, &flows[i]);
	}
	free(flows[1].partial.bstr_val);
}

/* The thread of a connection. */
static void *conn_run(void *arg)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct conn *c = arg;
	struct relay_net *net = c->link->net;
	int target = -1, on = 1;

	if (atomic_load(&c->link->mode) != RELAY_RESET)
		target = http_connect((uint16_t)atomic_load(&c->link->target),
				      NULL);
	if (target >= 0) {
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		conn_forward(c, target);
		close(target);
	}
	if (atomic_load(&c->link->mode) == RELAY_RESET)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(c->fd);
	free(c);
	atomic_fetch_sub(&net->connections, 1);
	return NULL;
}

/* The thread of a link: accepts connections and starts a thread for each. */
static void *link_run(void *arg)
{
	struct link *l = arg;
	struct conn *c;
	pthread_t thread;
	int fd;

	while ((fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		c = xcalloc(1, sizeof(*c));
		c->link = l;
		c->fd = fd;
		c->serial = atomic_fetch_add(&l->net->serial, 1) + 1;
		atomic_fetch_add(&l->net->connections, 1);
		pthread_create(&thread, NULL, conn_run, c);
		pthread_detach(thread);
	}
	return NULL;
}

/* Creates a link; called with the lock held. */
static struct link *link_new(struct relay_net *net, const char *from,
			     const char *to, uint16_t target)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t len = sizeof(addr);
	struct link *l = &net->links[net->count];

	if (net->count++ == LINKS_MAX)
		abort();
	l->net = net;
	snprintf(l->from, sizeof(l->from), "%s", from);
	snprintf(l->to, sizeof(l->to), "%s", to);
	atomic_store(&l->target, target);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(l->fd, (struct sockaddr *)&addr, len) || listen(l->fd, 64) ||
	    getsockname(l->fd, (struct sockaddr *)&addr, &len) ||
	    pthread_create(&l->thread, NULL, link_run, l))
		abort();
	l->port = ntohs(addr.sin_port);
	return l;
}

/* Creates a network of relays to a platform's port. */
struct relay_net *relay_net_new(uint16_t platform)
{
	struct relay_net *net = xcalloc(1, sizeof(*net));

	pthread_mutex_init(&net->lock, NULL);
	net->links[0].port = platform; /* read by the first relay_net_add() */
	return net;
}

/* Adds a VM; returns the port of its relay to the platform. */
uint16_t relay_net_add(struct relay_net *net, const char *vm)
{
	uint16_t platform = net->count ? (uint16_t)atomic_load(
						 &net->links[0].target)
				       : net->links[0].port;

	return link_get(net, vm, PLATFORM, platform)->port;
}

/*
 * Sets the mode of the links between from and to, in both directions; NULL
 * stands for all.
 */
void relay_net_set(struct relay_net *net, const char *from, const char *to,
		   enum relay_mode mode)
{
	struct link *l;
	size_t i;

	pthread_mutex_lock(&net->lock);
	for (i = 0; i < net->count; i++) {
		l = &net->links[i];
		if (!((!from || !strcmp(l->from, from)) &&
		      (!to || !strcmp(l->to, to))) &&
		    !((!from || !strcmp(l->to, from)) &&
		      (!to || !strcmp(l->from, to))))
			continue;
		if (mode == RELAY_STALL)
			atomic_store(&l->stalled_serial,
				     atomic_load(&net->serial));
		atomic_store(&l->mode, mode == RELAY_STALL ? RELAY_PASS : mode);
	}
	pthread_mutex_unlock(&net->lock);
}

/* Stops all relays and waits until their connections are closed. */
void relay_net_free(struct relay_net *net)
{
	size_t i;

	atomic_store(&net->ended, true);
	for (i = 0; i < net->count; i++) {
		shutdown(net->links[i].fd, SHUT_RDWR);
		pthread_join(net->links[i].thread, NULL);
		close(net->links[i].fd);
	}
	while (atomic_load(&net->connections))
		usleep(1000);
	pthread_mutex_destroy(&net->lock);
	free(net);
}
