#include "http-state.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define POLL_MS 1000	  /* the loop looks round at least so often */
#define POST_STOP_MS 1000 /* a stop waits for a full inbox */
#define EVENTS_AT_ONCE 256

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

/* libcurl's own set-up is not safe to run twice at once. */
static void curl_setup(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Free what a request holds; the request itself is its owner's. */
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

/* End all that is held: what was sent has no answer, the rest never left. */
static void client_abandon(struct http_client *c)
{
	struct http_request *r;

	http_transfers_abort(c);
	while ((r = mailbox_take(c->mailbox)))
		http_request_enqueue(c, r);
	http_queues_abort(c);
}

/* How long the loop may sleep. */
static int client_sleep_ms(const struct http_client *c)
{
	const struct heap_node *timer = heap_first(&c->shard_timers);
	const struct heap_node *due = heap_first(&c->request_timers);
	int64_t now = clock_now(), at = now + POLL_MS;

	if (!TAILQ_EMPTY(&c->ready))
		return 0;
	if (timer && timer->due < at)
		at = timer->due;
	if (due && due->due < at)
		at = due->due;
	return at > now ? (int)(at - now) : 0;
}

/* Take the requests that were sent, and begin what there are places for. */
static void client_take(struct http_client *c)
{
	struct http_request *r;

	mailbox_clear_wakeup(c->mailbox);
	while ((r = mailbox_take(c->mailbox)))
		http_request_enqueue(c, r);
	http_queues_start(c);
}

/* The client's thread. */
static void *client_run(void *arg)
{
	struct epoll_event events[EVENTS_AT_ONCE];
	struct http_client *c = arg;
	int i, n, inbox = mailbox_fd(c->mailbox);

	while (!atomic_load(&c->stopping)) {
		client_take(c);
		http_shards_run_timers(c, clock_now());
		http_queues_expire(c, clock_now());
		n = epoll_wait(c->epoll, events, EVENTS_AT_ONCE,
			       client_sleep_ms(c));
		for (i = 0; i < n; i++)
			if (events[i].data.fd != inbox)
				http_socket_ready(c, events[i].data.fd,
						  events[i].events);
	}
	client_abandon(c);
	return NULL;
}

/* Free a client whose thread has ended. */
static void client_free(struct http_client *c)
{
	http_queues_expire(c, INT64_MAX);
	http_transfers_free(c);
	http_sockets_free(c);
	heap_free(&c->shard_timers);
	heap_free(&c->request_timers);
	curl_slist_free_all(c->headers);
	mailbox_free(c->mailbox);
	close(c->epoll);
	free(c->tls_ca);
	free(c);
}

/* Add a header that all requests carry. */
static void client_header(struct http_client *c, const char *line)
{
	c->headers = curl_slist_append(c->headers, line);
	if (!c->headers)
		abort(); /* out of memory */
}

/* Make a client that has no thread yet. */
static struct http_client *client_new(const struct http_client_options *o)
{
	struct http_client *c = xcalloc(1, sizeof(*c));
	struct epoll_event e = {.events = EPOLLIN};
	unsigned size = 2;
	char *line;

	while (size <= o->max_requests)
		size *= 2;
	c->options = *o;
	/* These are the caller's. */
	c->options.name = c->options.token = c->options.tls_ca = NULL;
	c->mailbox = mailbox_new(size);
	c->tls_ca = o->tls_ca ? xstrdup(o->tls_ca) : NULL;
	TAILQ_INIT(&c->ready);
	TAILQ_INIT(&c->idle);
	TAILQ_INIT(&c->available_shards);
	TAILQ_INIT(&c->running);
	TAILQ_INIT(&c->free_transfers);
	TAILQ_INIT(&c->unhashed);
	c->epoll = epoll_create1(EPOLL_CLOEXEC);
	e.data.fd = mailbox_fd(c->mailbox);
	if (c->epoll < 0 ||
	    epoll_ctl(c->epoll, EPOLL_CTL_ADD, e.data.fd, &e) != 0)
		abort(); /* out of descriptors or memory */
	client_header(c, "Content-Type: application/json");
	client_header(c, "Expect:");
	if (o->token) {
		line = xasprintf("Authorization: Bearer %s", o->token);
		client_header(c, line);
		free(line);
	}
	return c;
}

/* Start a client. */
struct http_client *http_client_start(const struct http_client_options *o,
				      struct error *e)
{
	struct http_client *c;
	sigset_t all, old;
	int rc;

	pthread_once(&curl_once, curl_setup);
	if (o->tls_ca && access(o->tls_ca, R_OK) != 0) {
		error_add(e, o->tls_ca, "can't be read: %s", strerror(errno));
		return NULL;
	}
	if (o->token && strpbrk(o->token, "\r\n")) {
		error_add(e, "token", "a line break can't be sent");
		return NULL;
	}
	c = client_new(o);
	/* Signals are the main thread's; a broken pipe is an error code here.
	 */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	rc = pthread_create(&c->thread, NULL, client_run, c);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	if (rc) {
		error_add(e, "http client", "no thread: %s", strerror(rc));
		client_free(c);
		return NULL;
	}
	if (o->name)
		pthread_setname_np(c->thread, o->name);
	return c;
}

/* Send a request, from any thread. */
bool http_client_send(struct http_client *c, struct http_request *r)
{
	if (atomic_fetch_add(&c->request_count, 1) < c->options.max_requests &&
	    mailbox_put(c->mailbox, r))
		return true;
	atomic_fetch_sub(&c->request_count, 1);
	return false;
}

/* The processor time that a client's thread has used. */
int64_t http_client_cpu_ms(const struct http_client *c)
{
	return clock_thread_cpu(c->thread);
}

/*
 * A full inbox means that the reducer is behind: this thread waits for it,
 * and its senders are refused meanwhile.  While stopping nobody may be
 * reading any more, so that wait has an end.
 */
void http_client_post(struct http_client *c, struct mailbox *inbox, event *ev)
{
	static const struct timespec pause = {0, 1000000};

	while (!mailbox_put(inbox, ev)) {
		if (atomic_load(&c->stopping) && !c->post_deadline)
			c->post_deadline = clock_now() + POST_STOP_MS;
		if (c->post_deadline && clock_now() > c->post_deadline) {
			log_event(LOG_OVERRUN, "inbox full while stopping");
			event_free(ev);
			return;
		}
		nanosleep(&pause, NULL);
	}
}

/* Stop a client. */
void http_client_stop(struct http_client *c)
{
	atomic_store(&c->stopping, true);
	mailbox_wake(c->mailbox);
	pthread_join(c->thread, NULL);
	client_abandon(c); /* what was sent while the thread ended */
	client_free(c);
}
