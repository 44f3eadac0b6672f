/*
 * Crowds of clients that send too much, too slowly or never to the end, and the
 * daemons that they are let loose on: release builds as processes of their own
 * on loopback, whose memory and descriptors are read from /proc.
 */
#ifndef SUPPORT_CROWD_H
#define SUPPORT_CROWD_H

#include "../bamboofront.h"

#include <sys/types.h>

enum crowd_daemon { CROWD_ENTRYD, CROWD_DAEMON };
enum crowd_port {
	PORT_CALLERS,
	PORT_READINESS, /* bamboofront-entryd only */
	PORT_METRICS,	/* bamboofront-entryd only */
	PORT_OPERATORS, /* bamboofrontd only */
	PORT_PEERS,	/* bamboofrontd only */
	PORT_MAX
};

struct crowd_target {
	enum crowd_daemon daemon;
	char dir[32];
	uint16_t ports[PORT_MAX];
	pid_t pid;
};

/*
 * Starts a daemon whose platform can't be reached. more is added to its
 * settings: "" or ", \"member\": value".
 */
void crowd_target_start(struct crowd_target *t, enum crowd_daemon daemon,
			const char *more);
/* Ends the daemon as planned; returns its exit status, or -1. */
int crowd_target_stop(struct crowd_target *t);
bool crowd_target_lives(const struct crowd_target *t);
/* Returns the most memory that the process has had resident so far, in KB. */
long crowd_target_peak_kb(const struct crowd_target *t);
long crowd_target_descriptors(const struct crowd_target *t);

/*
 * What each client of a crowd sends: head, body repeated body_count times, and
 * nothing more; it stays open. piece limits what one write takes, 0: all at
 * once. A client with drip sends this byte now and then once it has sent all.
 */
struct crowd_script {
	char *head;
	size_t head_len;
	char *body;
	size_t body_len;
	size_t body_count;
	size_t piece;
	char drip;
};
/* HTTP bodies of about size bytes; all are released by crowd_script_free. */
struct crowd_script crowd_body(enum crowd_daemon daemon, size_t size,
			       size_t sent);
struct crowd_script crowd_chunks(size_t size, size_t chunk);
struct crowd_script crowd_list(enum crowd_daemon daemon, const char *element,
			       size_t size);
struct crowd_script crowd_announced(size_t announced, size_t sent);
struct crowd_script crowd_endless(size_t sent);
struct crowd_script crowd_half_head(void);
struct crowd_script crowd_record(size_t size, size_t sent); /* ONC RPC */
void crowd_script_free(struct crowd_script *s);

struct crowd {
	const struct crowd_script *script;
	struct crowd_client {
		int fd; /* -1: closed by the daemon */
		size_t sent;
		size_t received;
	} * clients;
	size_t count;
};

/*
 * Connects count clients and lets them send until all have sent everything or
 * were closed, or nothing moves any more.
 */
void crowd_send(struct crowd *c, const struct crowd_script *s, size_t count,
		uint16_t port);
/* Lets those that drip send a byte each. */
void crowd_drip(struct crowd *c);
/* Returns how many are still open. */
size_t crowd_open(struct crowd *c);
/* Returns the most that one of the clients could send. */
size_t crowd_sent_most(const struct crowd *c);
void crowd_close(struct crowd *c);

/*
 * Sends one small, whole request on a new connection, and lets the crowds drip
 * meanwhile. Returns the status of the answer, or 0 without any.
 */
unsigned crowd_ordinary(const struct crowd_target *t, enum crowd_port port,
			struct crowd *crowds, size_t crowd_count);

#endif
