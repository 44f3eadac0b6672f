/*
 * A scripted HTTP server on 127.0.0.1 that misbehaves as told.  Each request
 * takes the first step not yet taken whose path it has; with no step left it
 * is answered 500.  Everything is waited for by event, never by time.
 */
#ifndef SUPPORT_FAKE_H
#define SUPPORT_FAKE_H

#include "../bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

enum fake_action {
	FAKE_ANSWER,	      /* answer with status, headers and body */
	FAKE_ANSWER_TWICE,    /* the same again at once */
	FAKE_ANSWER_AGAIN,    /* the same again when released */
	FAKE_ANSWER_BYTEWISE, /* one byte at a time */
	FAKE_ANSWER_CLOSE,    /* answer without a length, then close */
	FAKE_RAW,	      /* send body as it is, then close */
	FAKE_TRUNCATE,	   /* announce one byte more than is sent, then close */
	FAKE_HOLD,	   /* answer when released */
	FAKE_NO_ANSWER,	   /* read the request, never answer */
	FAKE_RESET,	   /* read the request, then reset */
	FAKE_RESET_ACCEPT, /* reset before anything is read */
	FAKE_NO_READ,	   /* accept, read nothing until released */
};

struct fake_step {
	enum fake_action action;
	int status;
	const char *body;
	const char *headers; /* whole lines, or NULL */
	const char *path;    /* NULL: any */
	size_t pad;	     /* spaces after the body */
};

struct fake_request {
	char *head; /* request line and headers */
	bstr body;
	unsigned connection; /* from 1, in the order accepted */
};

struct fake;
struct fake *fake_start(const struct fake_step *steps, size_t count);
uint16_t fake_port(const struct fake *f);
/* Wait for the nth request from 0; NULL if it does not come in 10 s. */
const struct fake_request *fake_wait(struct fake *f, size_t n);
size_t fake_request_count(struct fake *f);
/* Send what request n waits for, or read the deaf connection n from 0. */
void fake_release(struct fake *f, size_t n);
/* Bytes that came on a released deaf connection, once it has ended. */
size_t fake_bytes_read(struct fake *f);
void fake_stop(struct fake *f);

/* A port that refuses connections while *fd is open. */
uint16_t fake_refusing_port(int *fd);
/* A port that lets connections hang while both descriptors are open. */
uint16_t fake_hanging_port(int fd[2]);

/* The next event of an inbox; NULL if none comes in 10 s. */
event *fake_next_event(struct mailbox *inbox);

#ifdef __cplusplus
}
#endif

#endif
