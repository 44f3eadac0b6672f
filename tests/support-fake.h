/*
 * A scripted HTTP server on 127.0.0.1 that injects faults.  Each request uses
 * up the first unused step with its path; a request without a step left is
 * answered with 500.  Tests wait for events, never for a fixed time.
 */
#ifndef SUPPORT_FAKE_H
#define SUPPORT_FAKE_H

#include "../bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

enum fake_action {
	FAKE_ANSWER,	      /* send status, headers and body */
	FAKE_ANSWER_TWICE,    /* send the answer twice, at once */
	FAKE_ANSWER_AGAIN,    /* send it again when released */
	FAKE_ANSWER_BYTEWISE, /* send it one byte at a time */
	FAKE_ANSWER_CLOSE,    /* no Content-Length, then close */
	FAKE_RAW,	      /* send only the body, then close */
	FAKE_TRUNCATE,	      /* Content-Length one too high, then close */
	FAKE_HOLD,	      /* answer when released */
	FAKE_NO_ANSWER,	      /* read the request, don't answer */
	FAKE_RESET,	      /* read the request, then reset the connection */
	FAKE_HOLD_RESET,      /* the same, when released */
	FAKE_RESET_ACCEPT,    /* reset before reading anything */
	FAKE_NO_READ,	      /* accept, don't read until released */
};

struct fake_step {
	enum fake_action action;
	int status;
	const char *body;
	const char *headers; /* complete lines, or NULL */
	const char *path;    /* NULL: any path */
	size_t pad;	     /* number of spaces after the body */
};

struct fake_request {
	char *head; /* request line and headers */
	bstr body;
	unsigned connection; /* numbered from 1 as accepted */
};

struct fake;

struct fake *fake_start(const struct fake_step *steps, size_t count);
uint16_t fake_port(const struct fake *f);

/* Waits for request n, counted from 0; returns NULL after 10 s. */
const struct fake_request *fake_wait(struct fake *f, size_t n);
size_t fake_request_count(struct fake *f);

/*
 * Lets a step continue that waits for its release: sends the answer of request
 * n, or reads from connection n of FAKE_NO_READ, both counted from 0.
 */
void fake_release(struct fake *f, size_t n);

/* Bytes read from a released FAKE_NO_READ connection, once it is closed. */
size_t fake_bytes_read(struct fake *f);
void fake_stop(struct fake *f);

/* Returns a port that refuses connections while *fd is open. */
uint16_t fake_refusing_port(int *fd);

/* Returns a port on which connecting hangs while both fds are open. */
uint16_t fake_hanging_port(int fd[2]);

/* Returns the next event of an inbox, or NULL after 10 s. */
event *fake_next_event(struct mailbox *inbox);

#ifdef __cplusplus
}
#endif

#endif
