#include "support-caller.h"

#include <poll.h>
#include <sched.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 6
#define REQUESTS_EACH 400

struct client {
	struct reducer *reducer;
	unsigned index;
	unsigned bad;
	unsigned seed;
};

struct answerer {
	struct reducer *reducer;
	bool stop;
};

/*
 * Sends a request for a job of this client.  The answer must name that job, or
 * be 504; an answer to another client is the fault that the test looks for.
 */
static int client_request_own(struct client *c, int fd, unsigned i, bool submit)
{
	char request[512], job[64], want[80], *response;
	unsigned http;

	if (fd < 0)
		fd = client_connect(edge_caller_port(c->reducer->edge));
	snprintf(job, sizeof(job), "own-%u-%u", c->index, i);
	snprintf(want, sizeof(want), "\"job\":\"%s\"", job);
	if (submit)
		snprintf(request, sizeof(request),
			 "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" CALLER_AUTH
			 "Idempotency-Key: %s\r\nContent-Length: 24\r\n\r\n"
			 "{\"pool\":\"p\",\"payload\":1}",
			 job);
	else
		snprintf(request, sizeof(request),
			 "GET /v1/jobs/%s HTTP/1.1\r\nHost: x\r\n" CALLER_AUTH
			 "\r\n",
			 job);
	client_send(fd, request, strlen(request));
	response = client_read(fd);
	http = response_status(response);
	if (http == 200 ? !strstr(response, want) : http != 504) {
		fprintf(stderr, "%s: %s\n", job, response);
		c->bad++;
	}
	free(response);
	return fd;
}

/*
 * Sends a request that the reducer holds, and closes the connection or waits
 * for the answer or 504.
 */
static void client_request_held(struct client *c, bool leave)
{
	static const char request[] =
		"GET /v1/jobs/held HTTP/1.1\r\nHost: x\r\n" CALLER_AUTH "\r\n";
	int fd = client_connect(edge_caller_port(c->reducer->edge));
	char *response;
	unsigned http;

	client_send(fd, request, sizeof(request) - 1);
	if (!leave) {
		response = client_read(fd);
		http = response_status(response);
		if (http != 504 &&
		    (http != 200 || !strstr(response, "\"job\":\"held\""))) {
			fprintf(stderr, "held: %s\n", response);
			c->bad++;
		}
		free(response);
	}
	close(fd);
}

/*
 * The thread of a client: random requests, some on a connection that is kept.
 */
static void *client_run(void *arg)
{
	struct client *c = arg;
	unsigned i, kind;
	int fd = -1;

	for (i = 0; i < REQUESTS_EACH; i++) {
		kind = (unsigned)rand_r(&c->seed) % 8;
		if (kind == 0) {
			client_request_held(c, true);
		} else if (kind == 1) {
			client_request_held(c, false);
		} else if (kind == 2 && fd >= 0) {
			close(fd);
			fd = -1;
		} else {
			fd = client_request_own(c, fd, i, kind % 2);
		}
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/*
 * The thread that answers held calls in random order, some twice and some of
 * clients that have left.
 */
static void *answerer_run(void *arg)
{
	struct answerer *a = arg;
	struct reducer *r = a->reducer;
	unsigned seed = 7, n;
	bool stop = false;
	uint64_t call;

	while (!stop) {
		call = 0;
		pthread_mutex_lock(&r->lock);
		stop = a->stop;
		if (r->held_count > 2) {
			n = (unsigned)rand_r(&seed) % r->held_count;
			call = r->held[n];
			r->held[n] = r->held[--r->held_count];
		}
		pthread_mutex_unlock(&r->lock);
		if (!call) {
			sched_yield();
			continue;
		}
		reducer_answer(r, call, "held");
		if (rand_r(&seed) % 4 == 0)
			reducer_answer(r, call, "twice");
	}
	return NULL;
}

/*
 * Returns the number of calls with neither an accepted answer nor an
 * EV_CALL_GONE.
 */
static int calls_open(struct reducer *r)
{
	int n;

	pthread_mutex_lock(&r->lock);
	n = (int)(r->calls - r->gone_held - r->gone_unexpected - r->answers) +
	    (int)counter_get(COUNT_DROPPED_LATE);
	pthread_mutex_unlock(&r->lock);
	return n;
}

/*
 * Clients send requests, disconnect or wait, while answers come late or twice.
 * A client must get the answer to its own request or 504; if answers are
 * confused, it sees a job that isn't its own.  Each call must end in exactly
 * one of an accepted answer and an EV_CALL_GONE; if both or neither happen, the
 * number of open calls doesn't return to zero.
 */
int main(void)
{
	static const struct caller_timing fast = {20000, 30, 5};
	pthread_t t[CLIENTS + 1];
	struct client c[CLIENTS];
	struct answerer a = {0};
	unsigned bad = 0, i;
	struct reducer *r;
	struct settings s;

	caller_settings(&s);
	s.callers.threads = 4;
	r = reducer_start(&s, &fast, 1024);
	a.reducer = r;
	pthread_create(&t[CLIENTS], NULL, answerer_run, &a);
	for (i = 0; i < CLIENTS; i++) {
		c[i] = (struct client){r, i, 0, i + 1};
		pthread_create(&t[i], NULL, client_run, &c[i]);
	}
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(t[i], NULL);
		bad += c[i].bad;
	}
	for (i = 0; i < 1000 && calls_open(r); i++)
		poll(NULL, 0, 10);
	pthread_mutex_lock(&r->lock);
	a.stop = true;
	pthread_mutex_unlock(&r->lock);
	pthread_join(t[CLIENTS], NULL);
	fprintf(stderr, "%u calls, %u answers, %u gone, %d open\n", r->calls,
		r->answers, r->gone_held + r->gone_unexpected, calls_open(r));
	bad += calls_open(r) != 0;
	reducer_stop(r);
	printf("%d passed, %d failed\n", bad ? 0 : 1, bad ? 1 : 0);
	return bad != 0;
}
