/*
 * Types shared by the callers' HTTP server and its request decoder and reply
 * encoder. The decoder and encoder do no I/O; docs/API.md describes the API.
 */
#ifndef CALLER_H
#define CALLER_H

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CALLER_HEADER_MAX 16384	  /* bytes of all header fields */
#define CALLER_FIELDS_MAX 64	  /* header fields; also query arguments */
#define CALLER_DEPTH_MAX 32	  /* nesting of JSON arrays and objects */
#define CALLER_FINDINGS_MAX 32	  /* reported in one response */
#define CALLER_KEY_MAX 128	  /* bytes of an idempotency key */
#define CALLER_LABEL_MAX 128	  /* bytes of a label */
#define CALLER_POOL_MAX 64	  /* bytes of a pool name */
#define CALLER_JOB_MAX 128	  /* bytes of a job ID */
#define CALLER_CPU_MAX 1024000	  /* thousandths of a core */
#define CALLER_MEMORY_MAX 4194304 /* MB */
#define CALLER_ACCELERATORS_MAX 64
#define CALLER_RUN_MAX 604800000    /* ms: a week */
#define CALLER_TIMEOUT_MAX 86400000 /* ms: a day */
#define CALLER_TIMEOUT_DEFAULT 60000
#define CALLER_CANCEL_MS 10000 /* time limit to answer a cancellation */

enum caller_route {
	ROUTE_NONE,
	ROUTE_SUBMIT,
	ROUTE_GET,
	ROUTE_CANCEL,
	ROUTE_CANCEL_LABEL,
	ROUTE_HEALTH,
	ROUTE_READY,
	ROUTE_METRICS
};

/* A header field or query argument. */
struct caller_field {
	bstr name;
	bstr value;
};

/*
 * A request without its body. The strings are not owned: they point into the
 * server's memory. The counts may exceed CALLER_FIELDS_MAX, although no more
 * fields than that are stored. The decoder refuses such a header.
 */
struct caller_head {
	bstr method;
	bstr path;
	struct caller_field headers[CALLER_FIELDS_MAX];
	size_t header_count;
	struct caller_field queries[CALLER_FIELDS_MAX];
	size_t query_count;
};

struct caller_limits {
	uint32_t max_body;
	uint32_t max_wait_ms;
};

/*
 * The error of a refused request; http is 0 if it is not refused.
 * outcome_unknown is set if the request may have been carried out all the same.
 */
struct caller_problem {
	uint32_t http;
	const char *reason;
	const char *allow; /* value of the Allow header, or NULL */
	enum counter_id counter;
	char *detail;
	struct error findings;
	uint32_t retry_after_ms;
	bool outcome_unknown;
};

/* A decoded request. */
struct caller_call {
	enum caller_route route;
	caller_request request;
	bstr key;		 /* idempotency key, for the reply */
	uint32_t prefer_wait_ms; /* from Prefer: wait; 0: none */
	uint32_t answer_ms;	 /* time limit for the reducer to answer */
	struct caller_problem problem;
};

/* An HTTP response. body is allocated with malloc. */
struct caller_reply {
	uint32_t http;
	const char *type;
	bstr body;
	bstr location;
	uint32_t retry_after_s; /* 0: no Retry-After header */
};

/*
 * caller-decode.c
 *
 * caller_decode_head and then caller_decode_body fill a call. They return false
 * if the request is refused; the problem of the call says why.
 */
bool caller_decode_head(const struct caller_head *h,
			const struct caller_limits *limits,
			struct caller_call *c);
bool caller_decode_body(bstr body, const struct caller_limits *limits,
			struct caller_call *c);
bool caller_key_is_valid(bstr key);
void caller_refuse(struct caller_problem *p, uint32_t http, const char *reason,
		   enum counter_id counter, const char *fmt, ...)
	PRINTF_LIKE(5, 6);
void caller_problem_free(struct caller_problem *p);
void caller_call_free(struct caller_call *c);

/*
 * caller-encode.c: create a response from the reducer's answer, from a problem
 * or from plain text.
 */
void caller_encode_answer(const struct caller_call *c, const caller_answer *a,
			  struct caller_reply *r);
void caller_encode_problem(const struct caller_call *c,
			   const struct caller_problem *p,
			   struct caller_reply *r);
void caller_encode_text(uint32_t http, bstr text, struct caller_reply *r);

/*
 * edge-caller.c: timeouts of the server, shortened by tests. io_timeout_ms
 * limits the time to receive a complete request and the time to send a reply.
 * If the reducer has not answered a call answer_margin_ms after the call's time
 * limit (answer_ms), the server itself replies that no answer arrived.
 */
struct caller_timing {
	uint32_t io_timeout_ms;
	uint32_t answer_margin_ms;
	uint32_t sweep_ms; /* interval between checks of all deadlines */
};
struct edge_caller *edge_caller_start_timed(const struct settings *s,
					    const struct caller_timing *t,
					    struct intake *intake,
					    struct mailbox *inbox,
					    struct error *e);

#ifdef __cplusplus
}
#endif
#endif
