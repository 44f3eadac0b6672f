/*
 * What the stand-ins and their tests share: one event loop with a timer
 * heap and any number of libmicrohttpd servers, all in one thread, so that
 * no state needs a lock and a silent request blocks nobody; and, for tests,
 * a small HTTP client and the start of a stand-in as a child process.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include "../bamboofront.h"
#include "../heap.h"

#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Timers of the loop; deadlines are clock_now() values. */
struct timer {
	struct heap_node due;
	void (*fire)(void *arg);
	void *arg;
};
void timer_set(struct timer *t, int64_t deadline);
void timer_clear(struct timer *t);

/* Servers. */
struct request;
struct route {
	const char *method;
	const char *path; /* ends in '/': whatever starts with it */
	const char *op;	  /* its name in a fault; NULL: never faulted */
	void (*handle)(struct request *rq);
};
struct server;
struct connection {
	TAILQ_ENTRY(connection) entry;
	struct server *server;
	bool silent; /* nothing on it is answered any more */
};
TAILQ_HEAD(request_list, request);
struct server {
	struct MHD_Daemon *daemon;
	const struct route *routes;	    /* ends with a NULL method */
	bool (*filter)(struct request *rq); /* may answer in its place */
	void *arg;
	uint16_t port;
	unsigned max_connections; /* connections; a further one is closed at
				     once */
	unsigned connection_count;
	TAILQ_HEAD(, connection) connections;
	struct request_list held;
	bool frozen;
	bool needs_run; /* libmicrohttpd has to run again */
	TAILQ_ENTRY(server) entry;
};
enum fault_mode {
	FAULT_NONE,
	FAULT_DOWN,	/* no answer */
	FAULT_REFUSE,	/* 503 */
	FAULT_SLOW,	/* an answer after a delay */
	FAULT_LOSE,	/* the effect, and the connection dropped */
	FAULT_TRUNCATE, /* the effect, and half an answer */
	FAULT_GARBAGE	/* the effect, and an answer that is no JSON */
};
struct request {
	TAILQ_ENTRY(request) entry;
	struct server *server;
	struct connection *connection;
	struct MHD_Connection *conn;
	const struct route *route;
	char *method;
	char *path;
	char *body;
	size_t body_len;
	json_t *json;	     /* of a POST */
	int64_t received_at; /* when it was whole */
	struct timer timer;
	enum fault_mode fault;
	bool dispatched;
	bool held; /* suspended, on the server's list */
	bool answered;
	bool drop;
	unsigned status;
	char *answer;
	size_t answer_len;
	char retry_after[24];
	void (*on_free)(struct request *rq); /* called before it is freed */
	void *arg;
};
struct server *server_start(const struct route *routes, uint16_t port,
			    unsigned limit, bool (*gate)(struct request *rq),
			    void *arg);
void server_silence(struct server *sv); /* the connections open now */
void server_freeze(struct server *sv);
void server_thaw(struct server *sv);
void server_drop_held(struct server *sv);
void server_loop(void);			 /* never returns */
uint32_t standin_random(uint32_t below); /* fixed seed */
void standin_seed(uint64_t seed);

void request_answer(struct request *rq, unsigned status, json_t *j);
void request_answer_bytes(struct request *rq, unsigned status, const void *p,
			  size_t len);
void request_refuse(struct request *rq, unsigned status, int64_t retry_ms);
void request_reject(struct request *rq, const char *what);
void request_drop(struct request *rq);
const char *request_query_arg(struct request *rq, const char *name);
void control_fault(struct request *rq); /* a handler */

bool json_list_has(const json_t *list, const char *s); /* NULL has all */
bstr json_ref(const json_t *j, const char *name);
bool json_bytes(const json_t *j, const char *name, bstr *bytes);
int64_t json_int(const json_t *j, const char *name);

/* For tests: a stand-in as a child process. */
struct standin_port {
	char *name; /* of the worker; "" for the platform and for control */
	uint16_t port;
};
struct standin {
	pid_t pid;
	uint16_t port; /* the platform's, or the workers' control port */
	struct standin_port *workers;
	size_t worker_count;
};
/* Start build/V/program beside the test; args end with NULL. */
void standin_start(struct standin *si, const char *program,
		   const char *const *args);
void standin_stop(struct standin *si);

/* For tests: HTTP on a connection of one's own. */
int http_connect(uint16_t port, const char *from); /* from: an IP or NULL */
bool http_send(int fd, const char *method, const char *path, const char *body);
/* With an organisation's key; NULL: with none. */
bool http_send_as(int fd, const char *key, const char *method, const char *path,
		  const char *body);
/* The status, 0 if the connection ended first; *text is malloced. */
int http_recv(int fd, char **text);
bool http_silent(int fd);
/* A whole exchange on a fresh connection; answer may be NULL. */
int http_call(uint16_t port, const char *method, const char *path,
	      const char *body, json_t **answer);
/* A step of a table; body and want are read by http_expand. */
struct http_step {
	const char *method;
	const char *path;
	const char *body;
	int status;	  /* 0: the connection ends */
	const char *want; /* a part of the answer, its head included */
	const char *from;
};
char *http_expand(const char *s);
bool http_step(uint16_t port, const struct http_step *st, bool tell);
int http_steps(uint16_t port, const struct http_step *steps, size_t count);
/* A table of steps, for cr_expect_eq(HTTP_STEPS(port, {...}, {...}), 0). */
#define HTTP_STEPS(port, ...)                                        \
	http_steps(port, (const struct http_step[]){__VA_ARGS__},    \
		   sizeof((const struct http_step[]){__VA_ARGS__}) / \
			   sizeof(struct http_step))

#ifdef __cplusplus
}
#endif
#endif
