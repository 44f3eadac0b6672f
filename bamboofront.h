/*
 * bamboofront: the main header.  Every source file includes it first.
 *
 * The library is one reducer (reduce.c, reduce-*.c) that takes every
 * decision, edges (edge-*.c) that turn its effects into traffic and traffic
 * into events, and the plumbing declared here.
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

/* xmalloc.c: allocation that ends the process when memory is gone. */
void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *p, size_t count, size_t size);
char *xstrdup(const char *s);
char *xasprintf(const char *fmt, ...) PRINTF_LIKE(1, 2);

/*
 * bstr.c: length-counted strings.  A bstr owns its bytes unless it was made
 * by bstr_lit or bstr_ref.
 */
#define BSTR_ARG(b) (int)(b).bstr_len, ((b).bstr_val ? (b).bstr_val : "")
#define BSTR_NONE ((bstr){0, NULL})
bstr bstr_lit(const char *s); /* refers to s; never freed */
bstr bstr_ref(const void *p, size_t len);
bstr bstr_new(const char *s);
bstr bstr_copy(bstr b);
bstr bstr_from_bytes(const void *p, size_t len);
bstr bstr_printf(const char *fmt, ...) PRINTF_LIKE(1, 2);
bstr bstr_vprintf(const char *fmt, va_list ap);
void bstr_set(bstr *dst, bstr src); /* frees the old, copies the new */
void bstr_free(bstr *b);
int bstr_cmp(bstr a, bstr b);
bool bstr_eq(bstr a, bstr b);
bool bstr_eq_str(bstr a, const char *s);
bool bstr_is_name(bstr b, size_t max); /* [a-z0-9._-]+, starts alnum */
char *bstr_cstr(bstr b);	       /* malloced, NUL terminated */
json_t *bstr_to_json(bstr b);	       /* a JSON string; bad UTF-8 replaced */
bstr bstr_from_json(const json_t *j);  /* copies; empty if no string */

/* codec.c: XDR values to and from bytes, copying, comparing. */
bstr xdr_encode(xdrproc_t proc, const void *value);
bool xdr_decode(xdrproc_t proc, bstr bytes, void *value, size_t size);
void xdr_copy(xdrproc_t proc, void *dst, const void *src, size_t size);
bool xdr_equal(xdrproc_t proc, const void *a, const void *b);
#define XDR_PROC(f) ((xdrproc_t)(void *)(f))
bstr base64_encode(bstr bytes);
bool base64_decode(bstr text, bstr *bytes);
bstr hex_encode(const void *p, size_t len);
bool hex_decode(bstr text, void *p, size_t len); /* exactly len bytes */

/*
 * error.c: findings, each with its place ("file.json: $.peers.key"), so that
 * everything that is wrong with an input is reported together.
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
void error_add(struct error *e, const char *place, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
void error_print(const struct error *e, FILE *f);
char *error_text(const struct error *e); /* malloced, one line */
void error_free(struct error *e);

/* log.c: numbered events (log.def) as syslog-style lines on stderr. */
enum log_number {
#define LOG_EVENT(name, number, level, what) LOG_##name = (number),
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
struct log_entry {
	uint32_t number;
	enum log_level level;
	const char *name;
	const char *description;
};
extern const struct log_entry log_entries[];
extern const size_t log_entry_count;
void log_open(const char *program, enum log_level most);
void log_event(uint32_t number, const char *fmt, ...) PRINTF_LIKE(2, 3);
void log_debug(const char *fmt, ...) PRINTF_LIKE(1, 2);
void log_open_structured(int fd, int vm_len,
			 const char *vm); /* structured from now on */
void log_flush(void);			  /* never blocks */

/* counter.c: every counter of the process (counter.def). */
enum counter_id {
#define COUNTER(name, family, label, value, help) COUNT_##name,
#include "counter.def"
#undef COUNTER
	COUNTER_MAX
};
struct counter_entry {
	const char *family; /* Prometheus name */
	const char *label;  /* label name, or NULL */
	const char *value;  /* its value */
	const char *help;
};
extern const struct counter_entry counter_entries[COUNTER_MAX];
void counter_add(enum counter_id id, uint64_t n);
void counter_set(enum counter_id id, uint64_t n); /* gauges */
uint64_t counter_get(enum counter_id id);
bstr counter_text(void); /* Prometheus text exposition format */
json_t *counter_json(void);

/* histogram.c: every latency histogram of the process (histogram.def). */
enum histogram_id {
#define HISTOGRAM(name, family, help) HISTOGRAM_##name,
#include "histogram.def"
#undef HISTOGRAM
	HISTOGRAM_MAX
};
void histogram_observe(enum histogram_id id, int64_t ms);
void histograms_print(FILE *f); /* text exposition format */

/* clock.c: the only place where time is read. */
int64_t clock_now(void);		    /* monotonic, ms */
int64_t clock_wall(void);		    /* since 1970, ms */
int64_t clock_thread_cpu(pthread_t thread); /* its processor time, ms */

/* random.c: numbers that a seed gives. */
uint64_t random_next(uint64_t *state);

/*
 * mailbox.c: a bounded queue of pointers, any number of writers and one
 * reader, over a Concurrency Kit ring, with an eventfd to sleep on.
 */
struct mailbox;
struct mailbox *mailbox_new(unsigned size);   /* a power of two */
bool mailbox_put(struct mailbox *m, void *p); /* false: full */
void *mailbox_take(struct mailbox *m);	      /* NULL: empty */
int mailbox_fd(struct mailbox *m);	      /* readable: look again */
void mailbox_clear_wakeup(struct mailbox *m); /* before draining it */
void mailbox_wake(struct mailbox *m);	      /* with nothing to take */
bool mailbox_wait(struct mailbox *m, int timeout_ms);
void mailbox_free(struct mailbox *m);

/* Events put into the daemon's inbox become the reducer's. */
event *event_new(event_kind kind); /* now is stamped when it is taken */
void event_free(event *ev);
effect *effect_new(effect_kind kind);
void effect_free(effect *fx);
uint64_t effect_request_id(const effect *fx); /* of a request to the platform */

/*
 * settings.c: one JSON file, checked whole.  Lengths of time are in
 * milliseconds; docs/SETTINGS.md gives unit, default and range of each.
 */
struct address {
	char *host; /* an IP number */
	uint16_t port;
};
struct operator_key {
	char *name;
	uint8_t key[32];
};
struct settings {
	bstr vm; /* this entry VM */
	bstr dc; /* its data centre */
	struct {
		struct address listen;
		char *tls_cert; /* files, or NULL */
		char *tls_key;
		uint32_t threads;
		uint32_t max_connections;
		uint32_t max_body; /* bytes */
		uint32_t max_wait_ms;
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
		char *token; /* or NULL */
		char *tls_ca;
		uint32_t timeout_ms;
		uint32_t max_in_flight;
	} platform;
	struct {
		char *tls_ca;
		uint32_t timeout_ms;
		uint32_t watch_ms;	  /* longest long poll */
		uint32_t max_connections; /* per worker */
	} workers;
	struct {
		uint32_t tick_ms;
		uint32_t member_renew_ms;
		uint32_t member_lease_ms;
		uint32_t ping_ms;
		uint32_t fresh_ms; /* age at which a proof is too old */
		uint32_t commit_window_ms;
		uint32_t task_lease_ms;
		uint32_t config_poll_ms;
		uint32_t list_poll_ms;
		uint32_t stop_ms; /* a planned stop takes at most this */
	} timing;
	struct {
		uint32_t queue_per_cell;
		uint32_t queue_per_team;
		uint32_t retention_ms; /* final answers are kept for */
		uint32_t attempts;     /* of work that may be repeated */
	} limits;
	enum log_level log_level;
};
bool settings_load(const char *path, struct settings *s, struct error *e);
bool settings_parse(const char *place, const char *text, size_t len,
		    struct settings *s, struct error *e);
void settings_free(struct settings *s);

/*
 * The reducer.  It takes an event, returns effects, does no I/O, reads no
 * clock and draws no random number of its own.
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
void reduce(struct state *st, const event *ev, struct effects *out);
void effects_init(struct effects *fx);
void effects_free(struct effects *fx); /* with what they hold */

/*
 * The edges.  Each runs threads of its own, puts events into inbox, and
 * takes ownership of the effects it is sent.  send returns false if the
 * edge's queue is full: nothing was sent then and the caller still owns fx.
 * stop joins the threads; nothing is put into inbox afterwards.
 */
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
				      struct mailbox *inbox, struct error *e);
uint16_t edge_caller_port(const struct edge_caller *edge);
bool edge_caller_send(struct edge_caller *edge, effect *fx); /* FX_ANSWER */
void edge_caller_ready(struct edge_caller *edge, bool ready);
void edge_caller_stop(struct edge_caller *edge);

struct edge_peer;
struct edge_peer *edge_peer_start(const struct settings *s,
				  struct mailbox *inbox, struct error *e);
uint16_t edge_peer_port(const struct edge_peer *edge);
bool edge_peer_send(struct edge_peer *edge, effect *fx); /* FX_PEER */
void edge_peer_stop(struct edge_peer *edge);

struct edge_operator;
struct edge_operator *edge_operator_start(const struct settings *s,
					  struct mailbox *inbox,
					  struct error *e);
uint16_t edge_operator_port(const struct edge_operator *edge);
bool edge_operator_send(struct edge_operator *edge, effect *fx);
void edge_operator_stop(struct edge_operator *edge);

/*
 * sealed.c: a keyed MAC around what travels by RPC.  purpose names program
 * and direction, so that an envelope fits one procedure only.
 */
#define SEAL_KEY_BYTES 32
struct replay_guard; /* nonces seen, bounded, until their deadlines */
struct replay_guard *replay_guard_new(size_t max);
void replay_guard_free(struct replay_guard *g);
void seal(sealed *out, const char *purpose, bstr from, bstr body,
	  int64_t deadline, const uint8_t key[SEAL_KEY_BYTES]);
enum seal_result { SEAL_OK, SEAL_BAD_MAC, SEAL_EXPIRED, SEAL_REPLAYED };
enum seal_result seal_open(const sealed *s, const char *purpose, int64_t wall,
			   const uint8_t key[SEAL_KEY_BYTES],
			   struct replay_guard *g);

/* secret.c: team keys.  A secret reads bf_<key id>_<43 characters>. */
void secret_new(bstr key_id, bstr *secret, bstr *salt, bstr *hash);
bool secret_split(bstr secret, bstr *key_id, bstr *digest);
bool secret_matches(bstr digest, bstr salt, bstr hash); /* constant time */

#ifdef __cplusplus
}
#endif
#endif
