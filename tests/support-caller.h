/* A small reducer behind the callers' edge, and a raw client before it. */
#ifndef SUPPORT_CALLER_H
#define SUPPORT_CALLER_H

#include "../caller.h"

#include <pthread.h>

#define CALLER_AUTH "Authorization: Bearer " CALLER_KEY "\r\n"
#define CALLER_KEY "bf_k1_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"

/*
 * Answers a submission with its own payload as result and its key as job; a
 * get of job "held" or a submission labelled "held" not at all until
 * reducer_release; a get of "not-run" and "lost" with a problem.
 */
struct reducer {
	struct mailbox *inbox;
	struct edge_caller *edge;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint64_t held[256]; /* calls without an answer, oldest first */
	unsigned held_count;
	uint64_t held_last; /* also if it has been given up since */
	unsigned held_total;
	unsigned calls;		  /* EV_CALLs */
	unsigned answers;	  /* sent, to whomever */
	unsigned gone_held;	  /* EV_CALL_GONE of calls that were held */
	unsigned gone_unexpected; /* of any other */
	bool paused;
	bool idle; /* frozen, and nothing is being taken */
	bool stop;
};
void caller_settings(struct settings *s);
struct reducer *reducer_start(const struct settings *s,
			      const struct caller_timing *t, unsigned inbox);
void reducer_stop(struct reducer *r);
/* Returns when nothing is taken any more. */
void reducer_pause(struct reducer *r, bool frozen);
/* Wait until so many were held, or gone; false after 10 s. */
bool reducer_await(struct reducer *r, const unsigned *what, unsigned n);
void reducer_answer(struct reducer *r, uint64_t call, const char *job);

/* A connection, or -1. */
int client_connect(uint16_t port);
void client_send(int fd, const char *text, size_t len);
/* One whole response, head and body, or all there is until the end. */
char *client_read(int fd);
char *client_round_trip(uint16_t port, const char *text, size_t len);
unsigned response_status(const char *response);
const char *response_body(const char *response);

#endif
