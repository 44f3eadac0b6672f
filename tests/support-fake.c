#include "support-fake.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 128
#define REQUESTS_MAX 4096
#define WAIT_S 10

struct connection {
	int fd;
	unsigned number;
	bool no_read;
	char *in;
	size_t len;
};

struct fake {
	const struct fake_step *steps;
	size_t step_count;
	bool *taken;
	int listener;
	int wake;
	uint16_t port;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool stop;
	struct connection connections[CONNECTIONS_MAX];
	size_t connection_count;
	unsigned accepted;
	struct fake_request requests[REQUESTS_MAX];
	const struct fake_step *held[REQUESTS_MAX];
	bool released[REQUESTS_MAX];
	size_t request_count;
	size_t no_read_bytes;
	bool no_read_closed;
};

/* Binds a socket to a loopback port that the kernel chooses. */
static int loopback_bind(uint16_t *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&a, len) ||
	    getsockname(fd, (struct sockaddr *)&a, &len))
		abort();
	*port = ntohs(a.sin_port);
	return fd;
}

/* The socket is bound and doesn't listen, so the kernel refuses connections. */
uint16_t fake_refusing_port(int *fd)
{
	uint16_t port;

	*fd = loopback_bind(&port);
	return port;
}

/*
 * One connection fills the backlog, so the kernel drops the SYNs of further
 * ones and connecting hangs.
 */
uint16_t fake_hanging_port(int fd[2])
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	uint16_t port;

	fd[0] = loopback_bind(&port);
	a.sin_port = htons(port);
	fd[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (listen(fd[0], 0) ||
	    connect(fd[1], (struct sockaddr *)&a, sizeof(a)))
		abort();
	return port;
}

/* Sends all bytes; ignores a peer that has closed the connection. */
static void send_all(int fd, const char *p, size_t len)
{
	ssize_t n;

	while (len && (n = send(fd, p, len, MSG_NOSIGNAL)) > 0)
		p += n, len -= (size_t)n;
}

/* Closes a connection with a reset. */
static void reset_close(int fd)
{
	struct linger now = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

/* Removes a connection from the list; the last one takes its place. */
static void connection_remove(struct fake *f, struct connection *c)
{
	free(c->in);
	*c = f->connections[--f->connection_count];
}

/*
 * Sends the answer of a step; returns false if the connection is to be closed
 * after it.
 */
static bool step_send_answer(const struct fake_step *s, int fd)
{
	const char *body = s->body ? s->body : "";
	size_t len = strlen(body) + s->pad, i;
	char *head, *text;
	int one = 1;

	if (s->action == FAKE_RAW) {
		send_all(fd, body, len);
		return false;
	}
	if (s->action == FAKE_ANSWER_CLOSE)
		head = xasprintf("HTTP/1.1 %d X\r\n%s\r\n", s->status,
				 s->headers ? s->headers : "");
	else
		head = xasprintf("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
				 "%s\r\n",
				 s->status, len + (s->action == FAKE_TRUNCATE),
				 s->headers ? s->headers : "");
	len += strlen(head);
	text = xmalloc(2 * len + 1);
	sprintf(text, "%s%s%*s", head, body, (int)s->pad, "");
	memcpy(text + len, text, len);
	free(head);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (s->action == FAKE_ANSWER_BYTEWISE)
		for (i = 0; i < len; i++)
			send_all(fd, text + i, 1);
	else
		send_all(fd, text,
			 s->action == FAKE_ANSWER_TWICE ? 2 * len : len);
	free(text);
	return s->action != FAKE_TRUNCATE && s->action != FAKE_ANSWER_CLOSE;
}

/*
 * Uses up the first unused step for a request.  With line NULL, at accept,
 * returns a step only if the next unused one acts before a request is read.
 */
static const struct fake_step *step_take(struct fake *f, const char *line)
{
	static const struct fake_step none = {FAKE_ANSWER, 500,	 "no step",
					      NULL,	   NULL, 0};
	const struct fake_step *s;
	bool early;
	size_t i;

	for (i = 0; i < f->step_count; i++) {
		s = &f->steps[i];
		early = s->action == FAKE_RESET_ACCEPT ||
			s->action == FAKE_NO_READ;
		if (f->taken[i])
			continue;
		if (!line && !early)
			return NULL;
		if (early == !line &&
		    (!line || !s->path || strstr(line, s->path))) {
			f->taken[i] = true;
			return s;
		}
	}
	return line ? &none : NULL;
}

/*
 * Carries out the step of a request; returns false if the connection was
 * closed.
 */
static bool request_run_step(struct fake *f, struct connection *c, size_t n)
{
	const struct fake_step *s = step_take(f, f->requests[n].head);

	switch (s->action) {
	case FAKE_ANSWER_AGAIN:
		step_send_answer(s, c->fd);
		/* fall through */
	case FAKE_HOLD:
	case FAKE_HOLD_RESET:
		f->held[n] = s;
		return true;
	case FAKE_NO_ANSWER:
		return true;
	case FAKE_RESET:
		reset_close(c->fd);
		return false;
	default:
		if (step_send_answer(s, c->fd))
			return true;
		close(c->fd);
		return false;
	}
}

/* Returns the Content-Length of a head, or 0 if it is missing. */
static size_t content_length(const char *head)
{
	const char *p = strcasestr(head, "\r\nContent-Length:");

	return p ? strtoul(p + 17, NULL, 10) : 0;
}

/*
 * Handles a complete request in the buffer.  Returns false if there is none, or
 * if the connection was closed, which sets *closed.
 */
static bool request_handle(struct fake *f, struct connection *c, bool *closed)
{
	struct fake_request *r = &f->requests[f->request_count];
	char *end = memmem(c->in, c->len, "\r\n\r\n", 4);
	size_t head, body;

	if (!end)
		return false;
	head = (size_t)(end - c->in) + 4;
	end[3] = '\0';
	body = content_length(c->in);
	if (c->len < head + body) {
		end[3] = '\n';
		return false;
	}
	if (f->request_count == REQUESTS_MAX)
		abort();
	r->head = xstrdup(c->in);
	r->body = bstr_from_bytes(c->in + head, body);
	r->connection = c->number;
	c->len -= head + body;
	memmove(c->in, c->in + head + body, c->len);
	*closed = !request_run_step(f, c, f->request_count++);
	pthread_cond_broadcast(&f->changed);
	return !*closed;
}

/*
 * Reads from a connection and handles complete requests; closes it at its end.
 */
static void connection_read(struct fake *f, struct connection *c)
{
	char buffer[16384];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	bool closed = false;

	if (n <= 0) {
		if (c->no_read)
			f->no_read_closed = true;
		pthread_cond_broadcast(&f->changed);
		close(c->fd);
		connection_remove(f, c);
		return;
	}
	if (c->no_read) {
		f->no_read_bytes += (size_t)n;
		return;
	}
	c->in = xrealloc(c->in, c->len + (size_t)n, 1);
	memcpy(c->in + c->len, buffer, (size_t)n);
	c->len += (size_t)n;
	while (request_handle(f, c, &closed))
		;
	if (closed)
		connection_remove(f, c);
}

/* Accepts a connection; resets it if its step is FAKE_RESET_ACCEPT. */
static void connection_accept(struct fake *f)
{
	struct connection *c = &f->connections[f->connection_count];
	const struct fake_step *s;
	int fd = accept4(f->listener, NULL, NULL, SOCK_CLOEXEC);

	if (fd < 0)
		return;
	if (f->connection_count == CONNECTIONS_MAX)
		abort();
	f->accepted++;
	s = step_take(f, NULL);
	if (s && s->action == FAKE_RESET_ACCEPT) {
		reset_close(fd);
		return;
	}
	*c = (struct connection){
		.fd = fd, .number = f->accepted, .no_read = s != NULL};
	f->connection_count++;
}

/* Sends a held answer on a connection, or resets the connection instead. */
static void held_answer_send(struct fake *f, struct connection *c,
			     const struct fake_step *s)
{
	if (s->action != FAKE_HOLD_RESET) {
		step_send_answer(s, c->fd);
		return;
	}
	reset_close(c->fd);
	connection_remove(f, c);
}

/* Sends the held answers that have been released. */
static void held_answers_send(struct fake *f)
{
	size_t i, n;

	for (n = 0; n < f->request_count; n++) {
		if (!f->held[n] || !f->released[n])
			continue;
		for (i = f->connection_count; i-- > 0;)
			if (f->connections[i].number ==
			    f->requests[n].connection)
				held_answer_send(f, &f->connections[i],
						 f->held[n]);
		f->held[n] = NULL;
		pthread_cond_broadcast(&f->changed);
	}
}

/* The server's thread; it holds the lock except in poll(). */
static void *fake_run(void *arg)
{
	struct pollfd p[CONNECTIONS_MAX + 2];
	struct connection *c;
	struct fake *f = arg;
	uint64_t count;
	size_t i, n;

	pthread_mutex_lock(&f->lock);
	while (!f->stop) {
		held_answers_send(f);
		p[0] = (struct pollfd){f->listener, POLLIN, 0};
		p[1] = (struct pollfd){f->wake, POLLIN, 0};
		n = f->connection_count;
		for (i = 0; i < n; i++) {
			c = &f->connections[i];
			p[i + 2] = (struct pollfd){c->fd, POLLIN, 0};
			if (c->no_read && !f->released[c->number - 1])
				p[i + 2].fd = -1;
		}
		pthread_mutex_unlock(&f->lock);
		poll(p, n + 2, -1);
		pthread_mutex_lock(&f->lock);
		if (p[1].revents && read(f->wake, &count, sizeof(count)) < 0)
			abort();
		/*
		 * From last to first, as the last connection takes the place of
		 * one that is removed.
		 */
		for (i = n; i-- > 0;)
			if (p[i + 2].revents)
				connection_read(f, &f->connections[i]);
		if (p[0].revents)
			connection_accept(f);
	}
	pthread_mutex_unlock(&f->lock);
	return NULL;
}

/* Wakes the server's thread from poll(). */
static void fake_wake(struct fake *f)
{
	uint64_t one = 1;

	if (write(f->wake, &one, sizeof(one)) < 0)
		abort();
}

/* Starts a server that follows a table of steps. */
struct fake *fake_start(const struct fake_step *steps, size_t count)
{
	struct fake *f = xcalloc(1, sizeof(*f));

	f->steps = steps;
	f->step_count = count;
	f->taken = xcalloc(count, sizeof(*f->taken));
	f->listener = loopback_bind(&f->port);
	f->wake = eventfd(0, EFD_CLOEXEC);
	pthread_mutex_init(&f->lock, NULL);
	pthread_cond_init(&f->changed, NULL);
	if (listen(f->listener, 64) ||
	    pthread_create(&f->thread, NULL, fake_run, f))
		abort();
	return f;
}

/* Returns the server's port. */
uint16_t fake_port(const struct fake *f)
{
	return f->port;
}

/* Returns the deadline of a wait that begins now. */
static struct timespec wait_deadline(void)
{
	struct timespec deadline;

	clock_gettime(CLOCK_REALTIME, &deadline);
	deadline.tv_sec += WAIT_S;
	return deadline;
}

/* Waits, with the lock held, for a change; returns false at the deadline. */
static bool wait_change(struct fake *f, const struct timespec *deadline)
{
	return !pthread_cond_timedwait(&f->changed, &f->lock, deadline);
}

/* Waits for request n, counted from 0; returns NULL after WAIT_S. */
const struct fake_request *fake_wait(struct fake *f, size_t n)
{
	struct timespec deadline = wait_deadline();
	bool there;

	pthread_mutex_lock(&f->lock);
	while (f->request_count <= n && wait_change(f, &deadline))
		;
	there = f->request_count > n;
	pthread_mutex_unlock(&f->lock);
	return there ? &f->requests[n] : NULL;
}

/* Returns the number of requests received. */
size_t fake_request_count(struct fake *f)
{
	size_t n;

	pthread_mutex_lock(&f->lock);
	n = f->request_count;
	pthread_mutex_unlock(&f->lock);
	return n;
}

/*
 * Releases a held answer, and returns once it is in the client's socket or the
 * connection has closed.
 */
void fake_release(struct fake *f, size_t n)
{
	struct timespec deadline = wait_deadline();

	pthread_mutex_lock(&f->lock);
	f->released[n] = true;
	fake_wake(f);
	while (f->held[n] && wait_change(f, &deadline))
		;
	pthread_mutex_unlock(&f->lock);
}

/*
 * Waits until a released connection of FAKE_NO_READ closes; returns the bytes
 * that were read from it, or SIZE_MAX after WAIT_S.
 */
size_t fake_bytes_read(struct fake *f)
{
	struct timespec deadline = wait_deadline();
	size_t n;

	pthread_mutex_lock(&f->lock);
	while (!f->no_read_closed && wait_change(f, &deadline))
		;
	n = f->no_read_closed ? f->no_read_bytes : SIZE_MAX;
	pthread_mutex_unlock(&f->lock);
	return n;
}

/* Stops the server and frees it. */
void fake_stop(struct fake *f)
{
	size_t i;

	pthread_mutex_lock(&f->lock);
	f->stop = true;
	pthread_mutex_unlock(&f->lock);
	fake_wake(f);
	pthread_join(f->thread, NULL);
	for (i = 0; i < f->connection_count; i++) {
		close(f->connections[i].fd);
		free(f->connections[i].in);
	}
	for (i = 0; i < f->request_count; i++) {
		free(f->requests[i].head);
		bstr_free(&f->requests[i].body);
	}
	close(f->listener);
	close(f->wake);
	free(f->taken);
	free(f);
}

/* Returns the next event of an inbox, or NULL after WAIT_S. */
event *fake_next_event(struct mailbox *inbox)
{
	event *ev = mailbox_take(inbox);

	while (!ev && mailbox_wait(inbox, WAIT_S * 1000))
		ev = mailbox_take(inbox);
	return ev;
}
