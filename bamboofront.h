/*
 * The main header of bamboofront, included by every source file.
 *
 * The library has three parts.  The reducer (reduce.c, reduce-*.c) is a
 * deterministic state machine that makes all decisions: it consumes events
 * and produces effects.  The edges (edge-*.c) are its I/O adapters: they
 * carry out effects over the network and turn incoming traffic into events.
 * The rest is the utility code declared here.
 */
#ifndef BAMBOOFRONT_H
#define BAMBOOFRONT_H

#include <sys/queue.h>
#include <sys/types.h>

#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "event.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BAMBOOFRONT_VERSION "0.1.0"

#define NELEMS(a) (sizeof(a) / sizeof((a)[0]))
#define PRINTF_LIKE(f, a) __attribute__((format(printf, f, a)))

/* xmalloc.c: allocation functions that abort the process on failure. */
void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *p, size_t count, size_t size);
char *xstrdup(const char *s);
char *xasprintf(const char *fmt, ...) PRINTF_LIKE(1, 2);

/*
 * bstr.c: length-counted strings, which may contain NUL bytes.  A bstr owns
 * its bytes and is released with bstr_free, unless it comes from bstr_lit or
 * bstr_ref, which only point to memory of the caller.
 */
/* The arguments for a "%.*s" conversion. */
#define BSTR_ARG(b) (int)(b).bstr_len, ((b).bstr_val ? (b).bstr_val : "")
#define BSTR_NONE ((bstr){0, NULL})
bstr bstr_lit(const char *s);
bstr bstr_ref(const void *p, size_t len);
bstr bstr_new(const char *s); /* copies s */
bstr bstr_copy(bstr b);
bstr bstr_from_bytes(const void *p, size_t len);
bstr bstr_printf(const char *fmt, ...) PRINTF_LIKE(1, 2);
bstr bstr_vprintf(const char *fmt, va_list ap);
/* Replaces the value of dst with a copy of src and frees the old value. */
void bstr_set(bstr *dst, bstr src);
void bstr_free(bstr *b);
/* Compares bytewise, with a result like that of memcmp. */
int bstr_cmp(bstr a, bstr b);
bool bstr_eq(bstr a, bstr b);
bool bstr_eq_str(bstr a, const char *s);
bool bstr_is_name(bstr b, size_t max);
/* Returns a NUL-terminated copy, to be released with free. */
char *bstr_cstr(bstr b);
/* Returns a JSON string; non-ASCII bytes become '?' if b is not UTF-8. */
json_t *bstr_to_json(bstr b);
/* Copies the value of a JSON string; empty if j is not a string. */
bstr bstr_from_json(const json_t *j);

/*
 * codec.c: encoding, deep copies and comparison of XDR values.  proc is the
 * generated codec of the type, wrapped in XDR_PROC; size is that of the type.
 * xdr_decode returns false if bytes are not exactly one value of the type.
 */
bstr xdr_encode(xdrproc_t proc, const void *value);
bool xdr_decode(xdrproc_t proc, bstr bytes, void *value, size_t size);
void xdr_copy(xdrproc_t proc, void *dst, const void *src, size_t size);
bool xdr_equal(xdrproc_t proc, const void *a, const void *b);
#define XDR_PROC(f) ((xdrproc_t)(void *)(f))
bstr base64_encode(bstr bytes);
bool base64_decode(bstr text, bstr *bytes);
bstr hex_encode(const void *p, size_t len);
/* Returns false unless text stands for exactly len bytes. */
bool hex_decode(bstr text, void *p, size_t len);

/*
 * error.c: a list of errors found in an input, each with its location
 * ("file.json: $.peers.key"), so that all of them are reported at once.
 */
struct finding {
	TAILQ_ENTRY(finding) entry;
	char *location;
	char *text;
};
struct error {
	TAILQ_HEAD(finding_list, finding) findings;
	unsigned count;
};
void error_init(struct error *e);
void error_add(struct error *e, const char *location, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
void error_print(const struct error *e, FILE *f);
/* Returns all findings on one line, to be released with free. */
char *error_text(const struct error *e);
void error_free(struct error *e);

/*
 * log.c: numbered events (log.def), written to stderr as syslog-style lines
 * or, after log_open_structured, to a descriptor as key=value lines.
 */
enum log_number {
#define LOG_EVENT(name, number, level, description) LOG_##name = (number),
#include "log.def"
#undef LOG_EVENT
};
enum log_level {
	LEVEL_ERR = 3,
	LEVEL_WARNING,
	LEVEL_NOTICE,
	LEVEL_INFO,
	LEVEL_DEBUG
};
struct log_event_def {
	uint32_t number;
	enum log_level level;
	const char *name;
	const char *description;
};
extern const struct log_event_def log_event_defs[];
extern const size_t log_event_def_count;
void log_open(const char *program, enum log_level max_level);
void log_event(uint32_t number, const char *fmt, ...) PRINTF_LIKE(2, 3);
void log_debug(const char *fmt, ...) PRINTF_LIKE(1, 2);
/*
 * Switches to structured lines, which are buffered in memory until log_flush
 * writes them.  log_flush never blocks; it leaves what the reader of the
 * descriptor does not accept at once in the buffer.
 */
void log_open_structured(int fd, int vm_len, const char *vm);
void log_flush(void);

/* counter.c: the counters and gauges of the process (counter.def). */
enum counter_id {
#define COUNTER(name, family, label, value, help) COUNT_##name,
#include "counter.def"
#undef COUNTER
	COUNTER_MAX
};
struct counter_entry {
	const char *family; /* Prometheus metric name */
	const char *label;  /* name of the label, or NULL */
	const char *value;  /* value of the label */
	const char *help;
};
extern const struct counter_entry counter_entries[COUNTER_MAX];
void counter_add(enum counter_id id, uint64_t n);
void counter_set(enum counter_id id, uint64_t n); /* for gauges */
uint64_t counter_get(enum counter_id id);
bstr counter_text(void); /* Prometheus text exposition format */
json_t *counter_json(void);

/* histogram.c: latency histograms of the process (histogram.def). */
enum histogram_id {
#define HISTOGRAM(name, family, help) HISTOGRAM_##name,
#include "histogram.def"
#undef HISTOGRAM
	HISTOGRAM_MAX
};
void histogram_observe(enum histogram_id id, int64_t ms);
void histograms_print(FILE *f); /* Prometheus text exposition format */

/*
 * clock.c: the only code that reads a clock, in milliseconds.  clock_now is
 * monotonic and includes time during which the VM was suspended, clock_wall
 * counts from the Unix epoch, and clock_thread_cpu is the processor time that
 * a thread has used.
 */
int64_t clock_now(void);
int64_t clock_wall(void);
int64_t clock_thread_cpu(pthread_t thread);

/* random.c: a seeded, reproducible generator of pseudo-random numbers. */
uint64_t random_next(uint64_t *state);

/*
 * mailbox.c: a bounded queue of pointers with any number of producers and
 * one consumer, built on a Concurrency Kit ring.  An eventfd lets the
 * consumer poll for new entries.
 */
struct mailbox;
/* Holds up to size - 1 pointers; size is a power of two. */
struct mailbox *mailbox_new(unsigned size);
bool mailbox_put(struct mailbox *m, void *p); /* false if full */
void *mailbox_take(struct mailbox *m);	      /* NULL if empty */
/* Returns the eventfd, which becomes readable when entries were added. */
int mailbox_fd(struct mailbox *m);
/* Resets the eventfd; the consumer calls this before it empties the queue. */
void mailbox_clear_wakeup(struct mailbox *m);
/* Makes the eventfd readable without adding an entry. */
void mailbox_wake(struct mailbox *m);
/* Waits for a wake-up and resets the eventfd; false on timeout. */
bool mailbox_wait(struct mailbox *m, int timeout_ms);
void mailbox_free(struct mailbox *m);

/*
 * codec.c: allocation of events and effects.  An event that is put into the
 * daemon's inbox belongs to the daemon, which sets its time (now) when it
 * takes the event out.
 */
event *event_new(event_kind kind);
void event_free(event *ev);
effect *effect_new(effect_kind kind);
void effect_free(effect *fx);
uint64_t effect_request_id(const effect *fx);

/*
 * settings.c: settings of the daemon, read from one JSON file that is
 * validated as a whole.  Members ending in _ms are in milliseconds.
 * docs/SETTINGS.md gives the unit, default and range of each setting.
 */
struct address {
	char *host; /* a numeric IP address */
	uint16_t port;
};
struct operator_key {
	char *name;
	uint8_t key[32];
};
struct settings {
	bstr vm; /* name of this entry VM */
	bstr dc; /* data centre of this entry VM */
	struct {
		struct address listen;
		char *tls_cert; /* path, or NULL for no TLS */
		char *tls_key;	/* path, or NULL for no TLS */
		uint32_t threads;
		uint32_t max_connections;
		uint32_t max_body;    /* bytes */
		uint32_t max_wait_ms; /* longest wait for a result */
	} callers;
	struct {
		struct address listen;
		struct operator_key *keys;
		size_t key_count;
		uint32_t max_connections;
	} operators;
	struct {
		struct address listen;
		uint8_t key[32];
		uint32_t max_connections;
		uint32_t timeout_ms;
	} peers;
	struct {
		char *url;
		char *token;  /* or NULL */
		char *tls_ca; /* path, or NULL */
		uint32_t timeout_ms;
		uint32_t max_in_flight;
	} platform;
	struct {
		char *tls_ca; /* path, or NULL */
		uint32_t timeout_ms;
		uint32_t watch_ms;	  /* limit of a long poll */
		uint32_t max_connections; /* per worker */
	} workers;
	struct {
		uint32_t tick_ms;	  /* interval of EV_TICK */
		uint32_t member_renew_ms; /* interval of lease renewals */
		uint32_t member_lease_ms; /* lease of an entry VM */
		uint32_t ping_ms;	  /* between entry VMs */
		/*
		 * Age up to which an entry VM's proof that it knows all
		 * withdrawn keys is valid.
		 */
		uint32_t fresh_ms;
		/*
		 * A journal shard batches its records this long between
		 * commits, except for a planned stop.
		 */
		uint32_t commit_window_ms;
		uint32_t task_lease_ms; /* lease of a running task */
		uint32_t config_poll_ms;
		uint32_t list_poll_ms; /* of the platform's list of VMs */
		uint32_t stop_ms;      /* time limit of a planned stop */
	} timing;
	struct {
		uint32_t queue_per_cell;
		uint32_t queue_per_team;
		uint32_t retention_ms; /* of final job results */
		uint32_t attempts;     /* for jobs with may_repeat */
		uint32_t memory_mb;    /* of the process */
	} limits;
	enum log_level log_level;
};
bool settings_load(const char *path, struct settings *s, struct error *e);
/* source names the text in findings, such as the path of its file. */
bool settings_parse(const char *source, const char *text, size_t len,
		    struct settings *s, struct error *e);
void settings_free(struct settings *s);

/*
 * The reducer.  It turns an event into effects and is deterministic: it does
 * no I/O, reads no clock and takes random numbers only from its seed.
 */
struct state;
struct effects {
	effect *list;
	size_t count;
	size_t capacity;
};
struct state *state_new(const struct settings *s, uint64_t seed,
			const char *peer_address);
void state_free(struct state *st);
/* Applies ev to the state and appends the resulting effects to out. */
void reduce(struct state *st, const event *ev, struct effects *out);
void effects_init(struct effects *fx);
void effects_free(struct effects *fx); /* frees the effects as well */

/*
 * The edges, the I/O adapters of the reducer.  Each runs its own threads and
 * puts events into inbox.
 *
 * send takes ownership of the effect and returns true, or returns false if
 * the edge's queue is full: then nothing was sent and the caller still owns
 * the effect.  stop joins the threads, after which the edge puts nothing
 * into inbox.  port returns the port that the edge listens on.  The edges that
 * listen share the intake, which limits what their clients take.
 */
struct intake;
struct edge_platform;
struct edge_platform *edge_platform_start(const struct settings *s,
					  struct mailbox *inbox,
					  struct error *e);
bool edge_platform_send(struct edge_platform *edge, effect *fx);
void edge_platform_stop(struct edge_platform *edge);

struct edge_worker;
struct edge_worker *edge_worker_start(const struct settings *s,
				      struct mailbox *inbox, struct error *e);
bool edge_worker_send(struct edge_worker *edge, effect *fx);
void edge_worker_stop(struct edge_worker *edge);

struct edge_caller;
struct edge_caller *edge_caller_start(const struct settings *s,
				      struct intake *intake,
				      struct mailbox *inbox, struct error *e);
uint16_t edge_caller_port(const struct edge_caller *edge);
/* Takes FX_ANSWER only. */
bool edge_caller_send(struct edge_caller *edge, effect *fx);
/* To be called when the reducer has handled an EV_CALL_GONE. */
void edge_caller_gone(struct edge_caller *edge, uint64_t call);
/* Sets whether the readiness check for load balancers succeeds. */
void edge_caller_ready(struct edge_caller *edge, bool ready);
void edge_caller_stop(struct edge_caller *edge);

struct edge_peer;
struct edge_peer *edge_peer_start(const struct settings *s,
				  struct intake *intake, struct mailbox *inbox,
				  struct error *e);
uint16_t edge_peer_port(const struct edge_peer *edge);
/* Takes FX_PEER only. */
bool edge_peer_send(struct edge_peer *edge, effect *fx);
void edge_peer_stop(struct edge_peer *edge);

struct edge_operator;
struct edge_operator *edge_operator_start(const struct settings *s,
					  struct intake *intake,
					  struct mailbox *inbox,
					  struct error *e);
uint16_t edge_operator_port(const struct edge_operator *edge);
bool edge_operator_send(struct edge_operator *edge, effect *fx);
void edge_operator_stop(struct edge_operator *edge);

/*
 * sealed.c: authenticated envelopes for RPC messages.  The MAC covers the
 * purpose, which names the program and the direction, so that an envelope is
 * valid for one procedure only.
 */
#define SEAL_KEY_BYTES 32
/* The nonces of accepted envelopes, at most max of them. */
struct replay_guard;
struct replay_guard *replay_guard_new(size_t max);
void replay_guard_free(struct replay_guard *g);
void seal(sealed *out, const char *purpose, bstr from, bstr body,
	  int64_t deadline, const uint8_t key[SEAL_KEY_BYTES]);
enum seal_result {
	SEAL_OK,
	SEAL_BAD_MAC,
	SEAL_EXPIRED, /* the deadline has passed or is too far ahead */
	SEAL_REPLAYED /* the nonce was seen before, or the guard is full */
};
/* Verifies an envelope; g may be NULL to skip the replay check. */
enum seal_result seal_open(const sealed *s, const char *purpose, int64_t wall,
			   const uint8_t key[SEAL_KEY_BYTES],
			   struct replay_guard *g);

/*
 * secret.c: secrets of team keys, in the form bf_<key id>_<43 characters>.
 * Only a salted hash of a secret's digest is stored.
 */
void secret_new(bstr key_id, bstr *secret, bstr *salt, bstr *hash);
bool secret_split(bstr secret, bstr *key_id, bstr *digest);
bool secret_matches(bstr digest, bstr salt, bstr hash);

#ifdef __cplusplus
}
#endif
#endif
