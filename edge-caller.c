/*
 * Starts and stops the callers' HTTP server, which is built on libmicrohttpd
 * (MHD), and delivers the reducer's answers to suspended connections.
 */
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

#define CALLER_IO_TIMEOUT_MS 30000
#define CALLER_ANSWER_MARGIN_MS 5000
#define CALLER_SWEEP_MS 250
#define CALLER_SPARE_SLOTS 64	 /* for connections to refuse with 503 */
#define CALLER_CONN_MEMORY 32768 /* bytes per connection, for MHD */
#define CALLER_DRAIN_MS 2000	 /* time limit to send answers during a stop */

/*
 * Logger callback of MHD, which counts refusals. MHD refuses requests that
 * it cannot parse without calling the request handler. Its log message is then
 * the only sign of the refusal.
 */
static void mhd_log_callback(void *cls, const char *fmt, va_list ap)
{
	static const char refusal[] =
		"Error processing request (HTTP response code is %u";
	unsigned http;

	(void)cls;
	if (strncmp(fmt, refusal, strlen(refusal)) != 0)
		return;
	http = va_arg(ap, unsigned);
	counter_add(http == 431 || http == 414 ? COUNT_REFUSED_HEADER_TOO_LARGE
					       : COUNT_REFUSED_MALFORMED,
		    1);
}

/* Returns the text of a file. NULL: it is unreadable, empty or too long. */
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

/* Starts the MHD daemon. On failure adds errors and leaves daemon NULL. */
static void mhd_start(struct edge_caller *edge, const struct settings *s,
		      struct error *e)
{
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			 MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
	struct MHD_OptionItem options[4] = {{MHD_OPTION_END, 0, NULL}};
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
		error_add(e, "callers.listen", "%s is not an IP address", host);
		return;
	}
	if (s->callers.tls_cert && s->callers.tls_key) {
		cert = file_read(s->callers.tls_cert);
		key = file_read(s->callers.tls_key);
		if (!cert)
			error_add(e, "callers.tls_cert", "cannot read %s",
				  s->callers.tls_cert);
		if (!key)
			error_add(e, "callers.tls_key", "cannot read %s",
				  s->callers.tls_key);
		flags |= MHD_USE_TLS;
		options[n++] = (struct MHD_OptionItem){
			MHD_OPTION_HTTPS_MEM_CERT, 0, cert};
		options[n++] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_KEY,
						       0, key};
	}
	if (threads > 1)
		options[n++] = (struct MHD_OptionItem){
			MHD_OPTION_THREAD_POOL_SIZE, threads, NULL};
	options[n] = (struct MHD_OptionItem){MHD_OPTION_END, 0, NULL};
	if (!e->count) {
		edge->daemon = MHD_start_daemon(
			flags, 0, edge_caller_accept, edge, edge_caller_handle,
			edge, MHD_OPTION_EXTERNAL_LOGGER, mhd_log_callback,
			edge, MHD_OPTION_SOCK_ADDR, &addr.sa,
			MHD_OPTION_CONNECTION_MEMORY_LIMIT,
			(size_t)CALLER_CONN_MEMORY, MHD_OPTION_CONNECTION_LIMIT,
			edge->slot_total * (threads ? threads : 1),
			MHD_OPTION_STRICT_FOR_CLIENT, 1,
			MHD_OPTION_NOTIFY_CONNECTION, edge_caller_connection,
			edge, MHD_OPTION_NOTIFY_COMPLETED,
			edge_caller_completed, edge, MHD_OPTION_ARRAY, options,
			MHD_OPTION_END);
		if (!edge->daemon)
			error_add(e, "callers.listen",
				  "cannot listen on %s port %u%s", host,
				  s->callers.listen.port,
				  cert ? ", or the certificate and key do not "
					 "match"
				       : "");
	}
	free(cert);
	if (key)
		sodium_memzero(key, strlen(key));
	free(key);
}

/* Frees an edge whose threads have ended. */
static void edge_caller_free(struct edge_caller *edge)
{
	struct gone_call *gone, *next;
	uint32_t i;

	free(edge->unsent_gone);
	HASH_ITER(hh, edge->gone_calls, gone, next) {
		HASH_DEL(edge->gone_calls, gone);
		intake_settle(edge->intake, gone->bytes);
		free(gone);
	}
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

/* Creates an edge with free slots only and with the watcher's descriptors. */
static struct edge_caller *edge_caller_new(const struct settings *s,
					   const struct caller_timing *t,
					   struct intake *intake,
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
	if (edge->max_connections > SLOT_MASK - CALLER_SPARE_SLOTS)
		edge->max_connections = SLOT_MASK - CALLER_SPARE_SLOTS;
	edge->intake = intake;
	/* The deadlines of connections are the watcher's. */
	edge->gate = intake_gate_new(intake, edge->max_connections, 0);
	edge->slot_total = edge->max_connections + CALLER_SPARE_SLOTS;
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

/* Starts the edge with the given timeouts, which tests shorten. */
struct edge_caller *edge_caller_start_timed(const struct settings *s,
					    const struct caller_timing *t,
					    struct intake *intake,
					    struct mailbox *inbox,
					    struct error *e)
{
	const union MHD_DaemonInfo *info;
	struct edge_caller *edge;

	if (sodium_init() < 0)
		abort();
	edge = edge_caller_new(s, t, intake, inbox);
	mhd_start(edge, s, e);
	if (!edge->daemon) {
		edge_caller_free(edge);
		return NULL;
	}
	info = MHD_get_daemon_info(edge->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	intake_limit_unread(info->listen_fd);
	info = MHD_get_daemon_info(edge->daemon, MHD_DAEMON_INFO_BIND_PORT);
	edge->port = info ? info->port : 0;
	if (pthread_create(&edge->watcher, NULL, edge_caller_watch, edge))
		abort();
	return edge;
}

/* Starts the edge. Returns NULL with errors if it cannot listen. */
struct edge_caller *edge_caller_start(const struct settings *s,
				      struct intake *intake,
				      struct mailbox *inbox, struct error *e)
{
	const struct caller_timing t = {
		CALLER_IO_TIMEOUT_MS, CALLER_ANSWER_MARGIN_MS, CALLER_SWEEP_MS};

	return edge_caller_start_timed(s, &t, intake, inbox, e);
}

uint16_t edge_caller_port(const struct edge_caller *edge)
{
	return edge->port;
}

/* Sets the state that the readiness check of load balancers reports. */
void edge_caller_ready(struct edge_caller *edge, bool ready)
{
	ck_pr_store_int(&edge->ready, ready);
}

/*
 * Delivers an answer to the connection of its call. Does not block for long:
 * locks are held only for a few assignments and MHD's threads encode the
 * answer. There is no queue that could be full, so it always takes the effect
 * and returns true.
 */
bool edge_caller_send(struct edge_caller *edge, effect *fx)
{
	uint64_t call = fx->effect_u.answer.call;
	uint64_t slot = call & SLOT_MASK;
	bool delivered = false;
	struct conn *cn;

	if (fx->kind == FX_ANSWER && slot < edge->slot_total) {
		cn = &edge->conns[slot];
		pthread_mutex_lock(&cn->lock);
		delivered = cn->state == CONN_PENDING &&
			    cn->generation == call >> SLOT_BITS;
		if (delivered) {
			cn->answer = fx;
			caller_conn_resume(edge, cn, CONN_ANSWERED);
		}
		pthread_mutex_unlock(&cn->lock);
	}
	if (!delivered) {
		counter_add(COUNT_DROPPED_LATE, 1);
		effect_free(fx);
	}
	return true;
}

/* Waits until no request is active, for at most CALLER_DRAIN_MS. */
static void edge_caller_drain(struct edge_caller *edge)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += CALLER_DRAIN_MS / 1000;
	pthread_mutex_lock(&edge->lock);
	while (edge->active_requests &&
	       !pthread_cond_timedwait(&edge->idle_cond, &edge->lock, &until))
		;
	pthread_mutex_unlock(&edge->lock);
}

/*
 * Stops the edge. Pending calls are answered with an unknown outcome, because
 * MHD must not have suspended connections when it stops.
 */
void edge_caller_stop(struct edge_caller *edge)
{
	uint64_t wakeup = 1;
	struct conn *cn;
	int listener;
	uint32_t i;

	ck_pr_store_int(&edge->stopping, 1);
	if (write(edge->wake, &wakeup, sizeof(wakeup)) < 0)
		log_debug("cannot wake the watcher before its next sweep");
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
