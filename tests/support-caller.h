/*
 * For tests of the callers' HTTP server (edge-caller): a fake reducer that
 * answers its requests, and a raw HTTP client.
 */
#ifndef SUPPORT_CALLER_H
#define SUPPORT_CALLER_H

#include "../caller.h"
#include "../intake.h"

#include <pthread.h>

#define CALLER_AUTH "Authorization: Bearer " CALLER_KEY "\r\n"
#define INTAKE_BYTES (64 << 20)
#define CALLER_KEY "bf_k1_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"

/*
 * A fake reducer with a thread of its own.  It answers a submission with the
 * payload as the result and the idempotency key as the job id, and a GET of
 * job "not-run" or "lost" with a problem document.  A GET of job "held" and a
 * submission with the label "held" get no answer until reducer_answer().
 * lock guards the members below it.
 */
struct reducer {
	struct mailbox *inbox;
	struct intake *intake;
	struct edge_caller *edge;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint64_t held[256]; /* ids of unanswered calls, oldest first */
	unsigned held_count;
	uint64_t held_last; /* latest held call, even if abandoned since */
	unsigned held_total;
	unsigned calls;		  /* EV_CALL events received */
	unsigned answers;	  /* answers sent, also to abandoned calls */
	unsigned gone_held;	  /* EV_CALL_GONE for held calls */
	unsigned gone_unexpected; /* EV_CALL_GONE for other calls */
	bool paused;
	bool idle; /* paused, and no event is being handled */
	bool stop;
};

/* Fills in settings for an edge on 127.0.0.1 with small limits. */
void caller_settings(struct settings *s);

/*
 * Starts an edge and its reducer; t overrides the edge's timing if it is not
 * NULL, and inbox is the capacity of the reducer's mailbox.
 */
struct reducer *reducer_start(const struct settings *s,
			      const struct caller_timing *t, unsigned inbox);
void reducer_stop(struct reducer *r);

/*
 * Pauses or resumes the handling of events; after a pause it returns once no
 * event is being handled.
 */
void reducer_pause(struct reducer *r, bool paused);

/*
 * Waits until *counter, a counter of r such as &r->held_total, reaches n;
 * returns false after 10 s.
 */
bool reducer_await(struct reducer *r, const unsigned *counter, unsigned n);

/* Answers a call with status 200 and the state done for the given job. */
void reducer_answer(struct reducer *r, uint64_t call, const char *job);

/* Connects to a port on 127.0.0.1; returns -1 on failure. */
int client_connect(uint16_t port);
void client_send(int fd, const char *text, size_t len);

/*
 * Returns one response, head and body, or what was received before the
 * connection was closed.  The caller frees it.
 */
char *client_read(int fd);

/* Sends a request on a new connection and returns its response. */
char *client_round_trip(uint16_t port, const char *text, size_t len);

unsigned response_status(const char *response);
const char *response_body(const char *response);

#endif
