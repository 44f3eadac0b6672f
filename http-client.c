/*
 * The interface of the HTTP client and the event loop of its thread. See
 * http-state.h for the other parts.
 */
#include "http-state.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define LOOP_MAX_MS 1000  /* longest sleep of the event loop */
#define STOP_POST_MS 1000 /* wait for a full inbox while stopping */
#define EPOLL_EVENTS_MAX 256

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

/* Initializes libcurl, which is not safe to do in two threads at once. */
static void curl_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Frees the members of a request, but not r itself, which the sender owns. */
void http_request_clear(struct http_request *r)
{
	size_t i;

	for (i = 0; i < HTTP_HEADERS_MAX; i++) {
		free(r->headers[i]);
		r->headers[i] = NULL;
	}
	free(r->url);
	free(r->queue_name);
	r->url = r->queue_name = NULL;
	bstr_free(&r->body);
}

/*
 * Ends all requests: those that were sent have no response, the others are not
 * sent.
 */
static void client_abort(struct http_client *c)
{
	struct http_request *r;

	http_transfers_abort(c);
	while ((r = mailbox_take(c->mailbox)))
		http_request_enqueue(c, r);
	http_queues_abort(c);
}

/*
 * Returns how long the event loop may sleep, in ms: until the first timer is
 * due, or 0 if a queue may have requests to start.
 */
static int client_timeout_ms(const struct http_client *c)
{
	const struct heap_node *timers[] = {heap_first(&c->shard_timers),
					    heap_first(&c->request_timers),
					    heap_first(&c->transfer_timers)};
	int64_t now = clock_now(), at = now + LOOP_MAX_MS;
	size_t i;

	if (!TAILQ_EMPTY(&c->ready))
		return 0;
	for (i = 0; i < NELEMS(timers); i++)
		if (timers[i] && timers[i]->due < at)
			at = timers[i]->due;
	return at > now ? (int)(at - now) : 0;
}

/* Queues new requests and starts those that their queues have capacity for. */
static void client_start_requests(struct http_client *c)
{
	struct http_request *r;

	mailbox_clear_wakeup(c->mailbox);
	while ((r = mailbox_take(c->mailbox)))
		http_request_enqueue(c, r);
	http_queues_start(c);
}

/* The main function of the client's thread. */
static void *client_run(void *arg)
{
	struct epoll_event events[EPOLL_EVENTS_MAX];
	struct http_client *c = arg;
	int i, n, inbox = mailbox_fd(c->mailbox);

	while (!atomic_load(&c->stopping)) {
		client_start_requests(c);
		http_transfers_expire(c, clock_now());
		http_shards_run_timers(c, clock_now());
		http_queues_expire(c, clock_now());
		http_direct_expire(c, clock_now());
		n = epoll_wait(c->epoll, events, EPOLL_EVENTS_MAX,
			       client_timeout_ms(c));
		for (i = 0; i < n; i++)
			if (events[i].data.fd != inbox)
				http_socket_ready(c, events[i].data.fd,
						  events[i].events);
	}
	client_abort(c);
	return NULL;
}

/* Frees a client whose thread has ended or was not created. */
static void client_free(struct http_client *c)
{
	http_queues_expire(c, INT64_MAX);
	http_direct_expire(c, INT64_MAX);
	http_transfers_free(c);
	http_sockets_free(c);
	heap_free(&c->shard_timers);
	heap_free(&c->request_timers);
	heap_free(&c->transfer_timers);
	curl_slist_free_all(c->headers);
	bstr_free(&c->header_lines);
	mailbox_free(c->mailbox);
	close(c->epoll);
	free(c->tls_ca);
	free(c);
}

/* Adds a header that is sent with all requests. */
static void client_add_header(struct http_client *c, const char *line)
{
	bstr lines = bstr_printf("%.*s%s\r\n", BSTR_ARG(c->header_lines), line);

	bstr_free(&c->header_lines);
	c->header_lines = lines;
	c->headers = curl_slist_append(c->headers, line);
	if (!c->headers)
		abort(); /* out of memory */
}

/* Creates a client without its thread. */
static struct http_client *client_new(const struct http_client_options *o)
{
	struct http_client *c = xcalloc(1, sizeof(*c));
	struct epoll_event e = {.events = EPOLLIN};
	unsigned size = 2;
	char *line;

	while (size <= o->max_requests)
		size *= 2;
	c->options = *o;
	/* These strings belong to the caller. */
	c->options.name = c->options.token = c->options.tls_ca = NULL;
	c->mailbox = mailbox_new(size);
	c->tls_ca = o->tls_ca ? xstrdup(o->tls_ca) : NULL;
	TAILQ_INIT(&c->ready);
	TAILQ_INIT(&c->idle);
	TAILQ_INIT(&c->available_shards);
	TAILQ_INIT(&c->running);
	TAILQ_INIT(&c->free_transfers);
	TAILQ_INIT(&c->unhashed);
	TAILQ_INIT(&c->idle_conns);
	c->epoll = epoll_create1(EPOLL_CLOEXEC);
	e.data.fd = mailbox_fd(c->mailbox);
	if (c->epoll < 0 ||
	    epoll_ctl(c->epoll, EPOLL_CTL_ADD, e.data.fd, &e) != 0)
		abort(); /* out of descriptors or memory */
	client_add_header(c, "Content-Type: application/json");
	if (o->token) {
		line = xasprintf("Authorization: Bearer %s", o->token);
		client_add_header(c, line);
		free(line);
	}
	/* Keeps libcurl from sending this header. */
	c->headers = curl_slist_append(c->headers, "Expect:");
	if (!c->headers)
		abort(); /* out of memory */
	return c;
}

/* Starts a client. Returns NULL with an error on failure. */
struct http_client *http_client_start(const struct http_client_options *o,
				      struct error *e)
{
	struct http_client *c;
	sigset_t all, old;
	int rc;

	pthread_once(&curl_once, curl_init);
	if (o->tls_ca && access(o->tls_ca, R_OK) != 0) {
		error_add(e, o->tls_ca, "cannot be read: %s", strerror(errno));
		return NULL;
	}
	if (o->token && strpbrk(o->token, "\r\n")) {
		error_add(e, "token", "must not contain a line break");
		return NULL;
	}
	c = client_new(o);
	/*
	 * The main thread handles signals. With SIGPIPE blocked, a write to a
	 * closed connection returns an error.
	 */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	rc = pthread_create(&c->thread, NULL, client_run, c);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	if (rc) {
		error_add(e, "http client", "cannot create a thread: %s",
			  strerror(rc));
		client_free(c);
		return NULL;
	}
	if (o->name)
		pthread_setname_np(c->thread, o->name);
	return c;
}

/*
 * Sends a request, from any thread. Returns false if the client already has
 * max_requests.
 */
bool http_client_send(struct http_client *c, struct http_request *r)
{
	if (atomic_fetch_add(&c->request_count, 1) < c->options.max_requests &&
	    mailbox_put(c->mailbox, r))
		return true;
	atomic_fetch_sub(&c->request_count, 1);
	return false;
}

/* Returns the CPU time that the client's thread has used. */
int64_t http_client_cpu_ms(const struct http_client *c)
{
	return clock_thread_cpu(c->thread);
}

/*
 * Posts an event to an inbox. A full inbox means that the reducer is
 * overloaded. This thread then waits, which in turn makes http_client_send
 * refuse requests once max_requests are reached. While the client is stopping,
 * the inbox may have no reader any more, so the wait is limited and the event
 * is then dropped.
 */
void http_client_post(struct http_client *c, struct mailbox *inbox, event *ev)
{
	static const struct timespec pause = {0, 1000000};

	while (!mailbox_put(inbox, ev)) {
		if (atomic_load(&c->stopping) && !c->post_deadline)
			c->post_deadline = clock_now() + STOP_POST_MS;
		if (c->post_deadline && clock_now() > c->post_deadline) {
			log_event(LOG_OVERRUN,
				  "inbox full while stopping; event dropped");
			event_free(ev);
			return;
		}
		nanosleep(&pause, NULL);
	}
}

/*
 * Stops a client: ends each remaining request with its outcome, joins the
 * thread and frees the client.
 */
void http_client_stop(struct http_client *c)
{
	atomic_store(&c->stopping, true);
	mailbox_wake(c->mailbox);
	pthread_join(c->thread, NULL);
	client_abort(c); /* requests sent while the thread ended */
	client_free(c);
}
