/*
 * The platform's side of callers' requests, in one process: what becomes of
 * requests that come while the VM stops by plan.
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

struct crowd {
	struct sockaddr_in address;
	atomic_bool over;
};

/* Send one request on a connection of its own, and wait for a moment. */
static void request_send(const struct sockaddr_in *to)
{
	struct timeval patience = {.tv_usec = 2000};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char text[256];

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) == 0 &&
	    send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0)
		(void)!recv(fd, text, sizeof(text), 0);
	close(fd);
}

/* Send one request after another. */
static void *client_run(void *arg)
{
	struct crowd *c = arg;

	while (!atomic_load(&c->over))
		request_send(&c->address);
	return NULL;
}

/* Throw away what would go to the scheduler. */
static void inbox_empty(struct mailbox *m)
{
	struct sched_event *ev;

	while ((ev = mailbox_take(m)))
		sched_event_free(ev);
}

/*
 * Callers of a VM that stops by plan lose their connections without an answer,
 * and the VM ends by a signal: a request that comes after the ones that wait
 * were answered, and before the listener has stopped, would wait for ever, and
 * the HTTP library does not stop with connections that wait.
 */
Test(front, requests_while_it_stops)
{
	/* An address of this process: its ports are nobody else's. */
	in_addr_t ip = htonl(0x7f400000 | ((uint32_t)getpid() & 0x3fffff));
	struct crowd c = {.address = {.sin_family = AF_INET,
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
		atomic_store(&c.over, false);
		for (i = 0; i < CLIENTS; i++)
			pthread_create(&threads[i], NULL, client_run, &c);
		usleep(2000 + 20 * round);
		front_stop(f);
		atomic_store(&c.over, true);
		for (i = 0; i < CLIENTS; i++)
			pthread_join(threads[i], NULL);
		inbox_empty(inbox);
	}
	mailbox_free(inbox);
}
