/*
 * Shared code of the stand-ins (fakes of the users' platform and workers that
 * run as processes of their own) and of their tests.
 *
 * For stand-ins: an event loop with a timer heap and any number of
 * libmicrohttpd servers, all in one thread, so that no state needs a lock and
 * a request without an answer doesn't block others.  For tests: a small HTTP
 * client, and functions that run a stand-in as a child process.
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

/* Sets a timer, or changes its deadline. */
void timer_set(struct timer *t, int64_t deadline);
void timer_clear(struct timer *t);

struct request;

/* A route of a server; a path that ends in '/' matches all paths below it. */
struct route {
	const char *method;
	const char *path;
	const char *op; /* its name in faults; NULL: never has a fault */
	void (*handle)(struct request *rq);
};

struct server;

struct connection {
	TAILQ_ENTRY(connection) entry;
	struct server *server;
	bool silent; /* no request on it is answered any more */
};
TAILQ_HEAD(request_list, request);

struct server {
	struct MHD_Daemon *daemon;
	const struct route *routes;	    /* the last has a NULL method */
	bool (*filter)(struct request *rq); /* false: it answered */
	void *arg;
	uint16_t port;
	unsigned max_connections; /* further ones are closed */
	unsigned connection_count;
	TAILQ_HEAD(, connection) connections;
	struct request_list held;
	bool frozen;
	bool needs_run; /* MHD_run() has to be called again */
	TAILQ_ENTRY(server) entry;
};

/* Faults that POST /control/fault injects into requests. */
enum fault_mode {
	FAULT_NONE,
	FAULT_DOWN,	/* no answer */
	FAULT_REFUSE,	/* status 503 */
	FAULT_SLOW,	/* request is handled after a delay */
	FAULT_LOSE,	/* request is handled, connection is closed */
	FAULT_TRUNCATE, /* request is handled, half an answer is sent */
	FAULT_GARBAGE	/* request is handled, answer isn't JSON */
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
	json_t *json;	     /* body of a POST */
	int64_t received_at; /* when it was complete */
	struct timer timer;
	enum fault_mode fault;
	bool dispatched;
	bool held; /* suspended and in the server's list */
	bool answered;
	bool drop; /* close the connection without an answer */
	unsigned status;
	char *answer;
	size_t answer_len;
	char retry_after[24];
	void (*on_free)(struct request *rq); /* called before it is freed */
	void *arg;
};

/*
 * Starts a server on 127.0.0.1; port 0 lets the kernel choose.  The filter, if
 * not NULL, sees each request before its handler; it returns false if it has
 * answered the request itself.
 */
struct server *server_start(const struct route *routes, uint16_t port,
			    unsigned max_connections,
			    bool (*filter)(struct request *rq), void *arg);

/* Stops answering on the connections that are open now. */
void server_silence(struct server *sv);

/* Hold back the answers of routes that can have faults, and resume. */
void server_freeze(struct server *sv);
void server_thaw(struct server *sv);

/* Closes the connections of all requests that wait for an answer. */
void server_drop_held(struct server *sv);

/* Runs the event loop; never returns. */
void server_loop(void);

/* Random numbers below a bound, from a fixed seed unless one is set. */
uint32_t standin_random(uint32_t below);
void standin_seed(uint64_t seed);

/* Answers with a JSON value, whose reference it takes over. */
void request_answer(struct request *rq, unsigned status, json_t *j);

/* Answers with a copy of some bytes. */
void request_answer_bytes(struct request *rq, unsigned status, const void *p,
			  size_t len);

/* Answers that nothing was done, with a Retry-After header. */
void request_refuse(struct request *rq, unsigned status, int64_t retry_ms);

/* Answers 400: the request is malformed. */
void request_reject(struct request *rq, const char *what);

/* Closes the connection without an answer. */
void request_drop(struct request *rq);

/* Returns an argument of the query, or NULL. */
const char *request_query_arg(struct request *rq, const char *name);

/* Handler of POST /control/fault: replaces the injected faults. */
void control_fault(struct request *rq);

/* Returns true if a list has a string, or if the list is NULL. */
bool json_list_has(const json_t *list, const char *s);

/*
 * Return a member of an object: a reference to a string (empty if missing),
 * the bytes of a base64 string (false if it is invalid), an integer (0 if
 * missing).
 */
bstr json_ref(const json_t *j, const char *name);
bool json_bytes(const json_t *j, const char *name, bstr *bytes);
int64_t json_int(const json_t *j, const char *name);

/* For tests: a stand-in as a child process. */
struct standin_port {
	char *name; /* of the worker; "": of the platform, or for control */
	uint16_t port;
};

struct standin {
	pid_t pid;
	uint16_t port; /* the platform's, or the workers' control port */
	struct standin_port *workers;
	size_t worker_count;
};

/*
 * Starts a program from the directory of the running test, and waits until it
 * listens.  args end with NULL.  The process is killed when the test ends.
 */
void standin_start(struct standin *si, const char *program,
		   const char *const *args);
void standin_stop(struct standin *si);

/* Returns a port of 127.0.0.1 that was free a moment ago. */
uint16_t port_choose(void);

/*
 * For tests: an HTTP client.  http_connect() connects to 127.0.0.1, from
 * another address of this host if from is not NULL; it returns -1 on failure.
 */
int http_connect(uint16_t port, const char *from);
bool http_send(int fd, const char *method, const char *path, const char *body);

/* Sends a request with an organisation's key; NULL: with none. */
bool http_send_as(int fd, const char *key, const char *method, const char *path,
		  const char *body);

/*
 * Receives a response; returns its status, or 0 if the connection ends first.
 * The caller frees *text, which is the head and the body.
 */
int http_recv(int fd, char **text);

/* Returns true if there is nothing to read and the connection is open. */
bool http_silent(int fd);

/*
 * Sends a request on a new connection and returns the response's status, or 0;
 * answer may be NULL.
 */
int http_call(uint16_t port, const char *method, const char *path,
	      const char *body, json_t **answer);

/* A request and its expected response; http_expand() expands body and want. */
struct http_step {
	const char *method;
	const char *path;
	const char *body;
	int status;	  /* 0: no response, the connection is closed */
	const char *want; /* part of the response, head included */
	const char *from; /* address to connect from; NULL: any */
};

/* Replaces ' by " and <text> by the base64 code of text. */
char *http_expand(const char *s);

/*
 * http_step() returns true if the response is as expected, and otherwise
 * prints it if verbose; http_steps() returns the number of failed steps.
 */
bool http_step(uint16_t port, const struct http_step *st, bool verbose);
int http_steps(uint16_t port, const struct http_step *steps, size_t count);

/* Runs a table of steps: cr_expect_eq(HTTP_STEPS(port, {...}, {...}), 0). */
#define HTTP_STEPS(port, ...)                                        \
	http_steps(port, (const struct http_step[]){__VA_ARGS__},    \
		   sizeof((const struct http_step[]){__VA_ARGS__}) / \
			   sizeof(struct http_step))

#ifdef __cplusplus
}
#endif
#endif
