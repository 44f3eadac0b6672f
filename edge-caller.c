#include "edge-caller.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLER_IDLE_MS 30000
#define CALLER_MARGIN_MS 5000
#define CALLER_SWEEP_MS 250
#define CALLER_SPARE 64	    /* connections that are told of the limit */
#define CALLER_MEMORY 32768 /* libmicrohttpd's, a connection */
#define CALLER_STOP_MS 2000 /* answers leave within, at a stop */

/*
 * MHD refuses by itself what it can't parse, and calls no handler then; the
 * line it logs is the only trace, so the refusal is counted here.
 */
static void edge_caller_logged(void *cls, const char *fmt, va_list ap)
{
	static const char refused[] =
		"Error processing request (HTTP response code is %u";
	unsigned http;

	(void)cls;
	if (strncmp(fmt, refused, strlen(refused)) != 0)
		return;
	http = va_arg(ap, unsigned);
	counter_add(http == 431 || http == 414 ? COUNT_REFUSED_HEADER_TOO_LARGE
					       : COUNT_REFUSED_MALFORMED,
		    1);
}

/* Read the whole of a file; NULL if it can't be read. */
static char *file_read(const char *path)
{
	char *text = xcalloc(1, 65536);
	size_t n = 0;
	FILE *f;

	f = fopen(path, "re");
	if (f) {
		n = fread(text, 1, 65535, f);
		fclose(f);
	}
	if (n && n < 65535)
		return text;
	free(text);
	return NULL;
}

/* Start libmicrohttpd's daemon. */
static void daemon_start(struct edge_caller *edge, const struct settings *s,
			 struct error *e)
{
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			 MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
	struct MHD_OptionItem ops[4] = {{MHD_OPTION_END, 0, NULL}};
	union {
		struct sockaddr sa;
		struct sockaddr_in in;
		struct sockaddr_in6 in6;
	} addr = {0};
	const char *host = s->callers.listen.host;
	unsigned threads = s->callers.threads, n = 0;
	char *cert = NULL, *key = NULL;

	if (inet_pton(AF_INET, host, &addr.in.sin_addr) == 1) {
		addr.in.sin_family = AF_INET;
		addr.in.sin_port = htons(s->callers.listen.port);
	} else if (inet_pton(AF_INET6, host, &addr.in6.sin6_addr) == 1) {
		addr.in6.sin6_family = AF_INET6;
		addr.in6.sin6_port = htons(s->callers.listen.port);
		flags |= MHD_USE_IPv6;
	} else {
		error_add(e, "callers.listen", "%s is no IP number", host);
		return;
	}
	if (s->callers.tls_cert && s->callers.tls_key) {
		cert = file_read(s->callers.tls_cert);
		key = file_read(s->callers.tls_key);
		if (!cert)
			error_add(e, "callers.tls_cert", "can't read %s",
				  s->callers.tls_cert);
		if (!key)
			error_add(e, "callers.tls_key", "can't read %s",
				  s->callers.tls_key);
		flags |= MHD_USE_TLS;
		ops[n++] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_CERT, 0,
						   cert};
		ops[n++] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_KEY, 0,
						   key};
	}
	if (threads > 1)
		ops[n++] = (struct MHD_OptionItem){MHD_OPTION_THREAD_POOL_SIZE,
						   threads, NULL};
	ops[n] = (struct MHD_OptionItem){MHD_OPTION_END, 0, NULL};
	if (!e->count) {
		edge->daemon = MHD_start_daemon(
			flags, 0, edge_caller_accept, edge, edge_caller_handle,
			edge, MHD_OPTION_EXTERNAL_LOGGER, edge_caller_logged,
			edge, MHD_OPTION_SOCK_ADDR, &addr.sa,
			MHD_OPTION_CONNECTION_MEMORY_LIMIT,
			(size_t)CALLER_MEMORY, MHD_OPTION_CONNECTION_LIMIT,
			edge->slot_total * (threads ? threads : 1),
			MHD_OPTION_STRICT_FOR_CLIENT, 1,
			MHD_OPTION_NOTIFY_CONNECTION, edge_caller_connection,
			edge, MHD_OPTION_NOTIFY_COMPLETED,
			edge_caller_completed, edge, MHD_OPTION_ARRAY, ops,
			MHD_OPTION_END);
		if (!edge->daemon)
			error_add(e, "callers.listen",
				  "can't listen on %s port %u%s", host,
				  s->callers.listen.port,
				  cert ? ", or the certificate and key don't "
					 "fit"
				       : "");
	}
	free(cert);
	if (key)
		sodium_memzero(key, strlen(key));
	free(key);
}

/* Free an edge whose threads have ended. */
static void edge_caller_free(struct edge_caller *edge)
{
	uint32_t i;

	free(edge->unsent_gone);
	for (i = 0; i < edge->slot_total; i++)
		pthread_mutex_destroy(&edge->conns[i].lock);
	pthread_mutex_destroy(&edge->lock);
	pthread_cond_destroy(&edge->idle_cond);
	close(edge->epoll);
	close(edge->wake);
	free(edge->conns);
	free(edge->free_slots);
	free(edge);
}

/* Make an edge with all its slots free, and the watcher's descriptors. */
static struct edge_caller *edge_caller_new(const struct settings *s,
					   const struct caller_timing *t,
					   struct mailbox *inbox)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.u64 = UINT64_MAX};
	struct edge_caller *edge = xcalloc(1, sizeof(*edge));
	pthread_condattr_t attr;
	uint32_t i;

	edge->inbox = inbox;
	edge->timing = *t;
	edge->limits.max_body = s->callers.max_body;
	edge->limits.max_wait_ms = s->callers.max_wait_ms;
	edge->max_connections = s->callers.max_connections;
	if (edge->max_connections > SLOT_MASK - CALLER_SPARE)
		edge->max_connections = SLOT_MASK - CALLER_SPARE;
	edge->slot_total = edge->max_connections + CALLER_SPARE;
	edge->conns = xcalloc(edge->slot_total, sizeof(*edge->conns));
	edge->free_slots = xcalloc(edge->slot_total, sizeof(*edge->free_slots));
	for (i = edge->slot_total; i-- > 0;) {
		edge->free_slots[edge->free_slot_count++] = i;
		pthread_mutex_init(&edge->conns[i].lock, NULL);
	}
	pthread_mutex_init(&edge->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&edge->idle_cond, &attr);
	pthread_condattr_destroy(&attr);
	edge->epoll = epoll_create1(EPOLL_CLOEXEC);
	edge->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (edge->epoll < 0 || edge->wake < 0 ||
	    epoll_ctl(edge->epoll, EPOLL_CTL_ADD, edge->wake, &ev))
		abort();
	return edge;
}

/* Start, with times of one's own. */
struct edge_caller *edge_caller_start_timed(const struct settings *s,
					    const struct caller_timing *t,
					    struct mailbox *inbox,
					    struct error *e)
{
	const union MHD_DaemonInfo *info;
	struct edge_caller *edge;

	if (sodium_init() < 0)
		abort();
	edge = edge_caller_new(s, t, inbox);
	daemon_start(edge, s, e);
	if (!edge->daemon) {
		edge_caller_free(edge);
		return NULL;
	}
	info = MHD_get_daemon_info(edge->daemon, MHD_DAEMON_INFO_BIND_PORT);
	edge->port = info ? info->port : 0;
	if (pthread_create(&edge->watcher, NULL, edge_caller_watch, edge))
		abort();
	return edge;
}

/* Start the callers' edge; NULL and findings if it can't listen. */
struct edge_caller *edge_caller_start(const struct settings *s,
				      struct mailbox *inbox, struct error *e)
{
	const struct caller_timing t = {CALLER_IDLE_MS, CALLER_MARGIN_MS,
					CALLER_SWEEP_MS};

	return edge_caller_start_timed(s, &t, inbox, e);
}

/* The port that is listened on. */
uint16_t edge_caller_port(const struct edge_caller *edge)
{
	return edge->port;
}

/* Say whether the balancer should send callers here. */
void edge_caller_ready(struct edge_caller *edge, bool ready)
{
	ck_pr_store_int(&edge->ready, ready);
}

/*
 * Give an answer to the call that it is for.  Never blocks for long: locks
 * are held for a few assignments, and MHD's thread does the encoding.  There
 * is no queue that could be full, so this always takes the effect.
 */
bool edge_caller_send(struct edge_caller *edge, effect *fx)
{
	uint64_t call = fx->effect_u.answer.call;
	uint64_t slot = call & SLOT_MASK;
	bool taken = false;
	struct conn *cn;

	if (fx->kind == FX_ANSWER && slot < edge->slot_total) {
		cn = &edge->conns[slot];
		pthread_mutex_lock(&cn->lock);
		taken = cn->state == CONN_PENDING &&
			cn->generation == call >> SLOT_BITS;
		if (taken) {
			cn->answer = fx;
			caller_conn_resume(edge, cn, CONN_ANSWERED);
		}
		pthread_mutex_unlock(&cn->lock);
	}
	if (!taken) {
		counter_add(COUNT_DROPPED_LATE, 1);
		effect_free(fx);
	}
	return true;
}

/* Wait until no request is under way, but not long. */
static void edge_caller_drain(struct edge_caller *edge)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += CALLER_STOP_MS / 1000;
	pthread_mutex_lock(&edge->lock);
	while (edge->active_requests &&
	       !pthread_cond_timedwait(&edge->idle_cond, &edge->lock, &until))
		;
	pthread_mutex_unlock(&edge->lock);
}

/*
 * Stop.  Calls still pending are answered as unknown; MHD must have no
 * suspended connection when it stops.
 */
void edge_caller_stop(struct edge_caller *edge)
{
	uint64_t one = 1;
	struct conn *cn;
	int listener;
	uint32_t i;

	ck_pr_store_int(&edge->stopping, 1);
	if (write(edge->wake, &one, sizeof(one)) < 0)
		log_debug("the watcher wakes by its tick");
	pthread_join(edge->watcher, NULL);
	listener = MHD_quiesce_daemon(edge->daemon);
	for (i = 0; i < edge->slot_total; i++) {
		cn = &edge->conns[i];
		pthread_mutex_lock(&cn->lock);
		if (cn->state == CONN_PENDING)
			caller_conn_resume(edge, cn, CONN_STOPPED);
		pthread_mutex_unlock(&cn->lock);
	}
	edge_caller_drain(edge);
	MHD_stop_daemon(edge->daemon);
	if (listener >= 0)
		close(listener);
	edge_caller_free(edge);
}
