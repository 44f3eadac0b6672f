/*
 * Connections of the HTTP client's own, to numeric addresses and without TLS.
 * A request on an open one costs a write and a read, where libcurl sets up a
 * transfer. The responses are parsed by the library http-parser.
 *
 * A request is sent at most once, also if its connection turns out to be
 * closed: whether it was carried out is then not known, and is reported so.
 */
#ifndef HTTP_DIRECT_H
#define HTTP_DIRECT_H

#include "bamboofront.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <uthash.h>

struct http_client;
struct http_transfer;

struct http_conn;
TAILQ_HEAD(http_conn_list, http_conn);

/* The parts of a request's URL; they point into it. */
struct http_url {
	const char *host; /* with the port */
	size_t host_length;
	const char *path;
	struct sockaddr_in address;
};

/* A server, while connections to it exist. */
struct http_peer {
	uint64_t key;		    /* of the address */
	struct http_conn_list idle; /* the latest used first */
	unsigned conn_count;
	UT_hash_handle hh;
};

/* Room for the headers that are read: Retry-After and its value. */
#define HTTP_NAME_MAX 16
#define HTTP_VALUE_MAX 32

/* The response that is being received on a connection. */
struct http_reply {
	http_parser parser;
	bool interim; /* 1xx: the final response follows */
	bool complete;
	bool keep_alive;
	bool value_begun; /* of the current header */
	size_t name_length;
	size_t value_length;
	char name[HTTP_NAME_MAX]; /* of a header, cut if longer */
	char value[HTTP_VALUE_MAX];
};

/* A connection of the client's own. */
struct http_conn {
	TAILQ_ENTRY(http_conn) entry;	   /* in idle of its peer */
	TAILQ_ENTRY(http_conn) idle_entry; /* in idle_conns of the client */
	struct http_client *client;
	struct http_peer *peer;
	struct http_transfer *transfer; /* NULL: idle */
	uint64_t serial;		/* as of struct http_socket */
	int64_t opened_at;		/* 0: not established yet */
	int64_t idle_until;		/* then closed */
	int fd;
	bool awaits_write;
	struct http_url url; /* of the transfer */
	bstr request;	     /* being sent */
	size_t request_sent;
	struct http_reply reply;
};

/* http-direct.c */
bool http_direct_start(struct http_transfer *t);
void http_direct_abort(struct http_transfer *t);
void http_direct_ready(struct http_conn *n, uint32_t events);
void http_direct_expire(struct http_client *c, int64_t now);

/* http-reply.c: reads a response with http-parser */
enum http_reply_state { REPLY_PARTIAL, REPLY_COMPLETE, REPLY_INVALID };
void http_reply_begin(struct http_reply *r, struct http_transfer *t);
enum http_reply_state http_reply_read(struct http_reply *r, const char *data,
				      size_t length);

#endif
