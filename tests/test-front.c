/*
 * Tests of the platform's listener for callers, in one process: requests that
 * arrive while the VM stops as planned.
 */
#include "../platform/platform.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
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
	struct sockaddr_in address;
	atomic_bool stopped;
};

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
		request_send(&c->address);
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
	/* An address of this process only, so that its ports are free. */
	in_addr_t ip = htonl(0x7f400000 | ((uint32_t)getpid() & 0x3fffff));
	struct client_load c = {.address = {.sin_family = AF_INET,
					    .sin_port = htons(CALLERS_PORT),
					    .sin_addr = {ip}}};
	struct mailbox *inbox = mailbox_new(INBOX);
	pthread_t threads[CLIENTS];
	struct front_options o = {.callers = {.port = CALLERS_PORT},
				  .readiness = {.port = READINESS_PORT}};
	struct error e = {0};
	struct front *f;
	unsigned i, round;

	o.callers.host = o.readiness.host = inet_ntoa(c.address.sin_addr);
	for (round = 0; round < ROUNDS; round++) {
		f = front_start(&o, inbox, &e);
		cr_assert_not_null(f);
		atomic_store(&c.stopped, false);
		for (i = 0; i < CLIENTS; i++)
			pthread_create(&threads[i], NULL, client_run, &c);
		usleep(2000 + 20 * round);
		front_stop(f);
		atomic_store(&c.stopped, true);
		for (i = 0; i < CLIENTS; i++)
			pthread_join(threads[i], NULL);
		inbox_drain(inbox);
	}
	mailbox_free(inbox);
}
