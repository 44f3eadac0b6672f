/*
 * Tests of the platform's listener for callers, in one process: requests that
 * arrive while the VM stops as planned, and more of them than there is memory
 * for while the scheduler is busy.
 */
#include "../platform/platform.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define CLIENTS 6
#define ROUNDS 300
#define INBOX 1024
#define CALLERS_PORT 7001
#define READINESS_PORT 7002

static const char request[] = "GET /q/00000000000000aa HTTP/1.1\r\n"
			      "Host: h\r\nContent-Length: 0\r\n\r\n";

struct client_load {
	const struct sockaddr_in *address;
	atomic_bool stopped;
};

/* A listener and its scheduler's inbox. */
struct listener {
	struct sockaddr_in address; /* of the callers */
	struct front_options options;
	struct mailbox *inbox;
	struct front *front; /* NULL: not started */
};

/*
 * Prepares a listener of a machine with so much memory. Its address is of this
 * process only, so that its ports are free.
 */
static void listener_init(struct listener *l, uint32_t memory_mb)
{
	in_addr_t ip = htonl(0x7f400000 | ((uint32_t)getpid() & 0x3fffff));

	*l = (struct listener){.address = {.sin_family = AF_INET,
					   .sin_port = htons(CALLERS_PORT),
					   .sin_addr = {ip}}};
	l->options.callers.port = CALLERS_PORT;
	l->options.readiness.port = READINESS_PORT;
	l->options.callers.host = inet_ntoa(l->address.sin_addr);
	l->options.readiness.host = l->options.callers.host;
	l->options.memory_mb = memory_mb;
	l->inbox = mailbox_new(INBOX);
}

static void listener_start(struct listener *l)
{
	struct error e = {0};

	l->front = front_start(&l->options, l->inbox, &e);
	cr_assert_not_null(l->front);
}

/*
 * Sends one request on a connection of its own, and waits briefly for the
 * answer.
 */
static void request_send(const struct sockaddr_in *to)
{
	struct timeval timeout = {.tv_usec = 2000};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char text[256];

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) == 0 &&
	    send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0)
		(void)!recv(fd, text, sizeof(text), 0);
	close(fd);
}

/* Sends one request after another. */
static void *client_run(void *arg)
{
	struct client_load *c = arg;

	while (!atomic_load(&c->stopped))
		request_send(c->address);
	return NULL;
}

/* Drops the events for the scheduler. */
static void inbox_drain(struct mailbox *m)
{
	struct sched_event *ev;

	while ((ev = mailbox_take(m)))
		sched_event_free(ev);
}

/*
 * A VM that stops as planned must answer its callers and must exit by itself. A
 * request that arrives after the waiting ones were answered, and before the
 * listener has stopped, would wait for ever, and the HTTP library doesn't stop
 * while connections wait. Its caller would lose the connection without an
 * answer, and the VM would have to be killed by a signal.
 */
Test(front, requests_while_it_stops)
{
	struct client_load c;
	pthread_t threads[CLIENTS];
	struct listener l;
	unsigned i, round;

	listener_init(&l, 160);
	c.address = &l.address;
	for (round = 0; round < ROUNDS; round++) {
		listener_start(&l);
		atomic_store(&c.stopped, false);
		for (i = 0; i < CLIENTS; i++)
			pthread_create(&threads[i], NULL, client_run, &c);
		usleep(2000 + 20 * round);
		front_stop(l.front);
		atomic_store(&c.stopped, true);
		for (i = 0; i < CLIENTS; i++)
			pthread_join(threads[i], NULL);
		inbox_drain(l.inbox);
	}
	mailbox_free(l.inbox);
}

#define WAITING_BODY 262144
#define WAITING_CALLERS 60

/* Connects to the listener, and sends a job with so many bytes of filler. */
static int job_send(const struct sockaddr_in *to, size_t filler)
{
	static const char begin[] =
		"{\"specification\":\"\",\"steps\":[{\"count\":1}],\"x\":\"";
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t i, size;
	char *text;
	FILE *f = open_memstream(&text, &size);

	fprintf(f,
		"POST /q/00000000000000aa HTTP/1.1\r\nHost: h\r\n"
		"X-Deadline-Remaining-Ms: 60000\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		strlen(begin) + filler + 2, begin);
	for (i = 0; i < filler; i++)
		fputc('x', f);
	fputs("\"}", f);
	fclose(f);
	cr_assert_eq(connect(fd, (const struct sockaddr *)to, sizeof(*to)), 0);
	/* fails if the connection has been closed to make room */
	(void)!send(fd, text, size, MSG_NOSIGNAL);
	free(text);
	return fd;
}

/* Returns the status of the answer to a request. */
static unsigned answer_read(int fd)
{
	char text[256] = "";
	unsigned status = 0;

	if (recv(fd, text, sizeof(text) - 1, 0) > 0)
		sscanf(text, "HTTP/1.1 %u ", &status);
	close(fd);
	return status;
}

/* Returns true if a request was answered, or its connection closed. */
static bool is_over(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       errno != EAGAIN;
}

/*
 * The scheduler doesn't come to its inbox, and large whole requests arrive.
 * What waits must stay within the budget, the others must be refused at once,
 * and a small request must find room.
 */
Test(front, waiting_requests_are_bounded)
{
	struct reply r = {.status = 503, .kind = REPLY_ERROR, .text = "x"};
	unsigned refused = 0, waiting = 0, status, i;
	int fds[WAITING_CALLERS], small;
	struct sched_event *ev;
	struct listener l;

	listener_init(&l, 16);
	listener_start(&l);
	for (i = 0; i < WAITING_CALLERS; i++)
		fds[i] = job_send(&l.address, WAITING_BODY);
	small = job_send(&l.address, 1);
	while (refused + waiting < WAITING_CALLERS + 1) {
		ev = mailbox_take(l.inbox);
		if (!ev) {
			for (i = 0, refused = 0; i < WAITING_CALLERS; i++)
				refused += is_over(fds[i]);
			usleep(1000);
			continue;
		}
		waiting++;
		cr_assert_not_null(ev->call.body);
		sched_event_free(ev);
	}
	/* a quarter of the memory, each body at least once, and the small one
	 */
	cr_expect_leq(waiting, (16 << 20) / 4 / WAITING_BODY + 1);
	for (r.call = 1; r.call <= waiting; r.call++)
		front_reply(l.front, &r);
	cr_expect_eq(answer_read(small), 503);
	for (i = 0; i < WAITING_CALLERS; i++) {
		status = answer_read(fds[i]);
		cr_expect(status == 503 || !status, "status %u", status);
	}
	front_stop(l.front);
	mailbox_free(l.inbox);
}

#define UNREAD_MAX (65536 - 24576) /* of a connection, beside its buffers */
#define UNREAD_MS 500		   /* without a further byte */

/* Sends on and on; returns how many bytes the other side's kernel took. */
static long unread_send(int fd)
{
	int64_t moved_at = clock_now();
	char text[4096] = {0};
	int queued = 0;
	long sent = 0;
	ssize_t n;

	while (clock_now() < moved_at + UNREAD_MS) {
		n = send(fd, text, sizeof(text), MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n <= 0)
			continue;
		sent += n;
		moved_at = clock_now();
	}
	ioctl(fd, SIOCOUTQ, &queued);
	return sent - queued;
}

/*
 * A client sends on while its call waits for a reply, when nothing reads. The
 * kernel must not take more of it than is counted for a connection.
 */
Test(front, what_stays_unread_is_bounded)
{
	struct sched_event *ev;
	struct listener l;
	int fd;

	listener_init(&l, 160);
	listener_start(&l);
	fd = job_send(&l.address, 1);
	while (!(ev = mailbox_take(l.inbox)))
		usleep(1000);
	sched_event_free(ev);
	cr_expect_leq(unread_send(fd), UNREAD_MAX);
	front_stop(l.front);
	close(fd);
	mailbox_free(l.inbox);
}
