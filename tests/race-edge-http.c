#include "support-fake.h"

#include <pthread.h>
#include <sched.h>
#include <stdlib.h>

#define SENDERS 4
#define REQUESTS_EACH 150
#define TOTAL (2 * SENDERS * REQUESTS_EACH)

/* The two edges, and the port of the server that they connect to. */
struct fixture {
	struct edge_platform *platform;
	struct edge_worker *worker;
	uint16_t port;
};

struct sender {
	struct fixture *fixture;
	uint64_t first; /* first request ID */
};

/* Returns a command or a watch for a worker. */
static effect *worker_effect(const struct fixture *b, uint64_t req)
{
	effect *fx = effect_new(FX_WORKER);
	fx_worker *w = &fx->effect_u.worker;

	w->req = req;
	w->vm = bstr_new("w1");
	w->address = bstr_printf("127.0.0.1:%u", b->port);
	w->watch = req % 2;
	return fx;
}

/* Returns a request for an object. */
static effect *platform_effect(uint64_t req)
{
	effect *fx = effect_new(FX_OBJECT_GET);

	fx->effect_u.object.req = req;
	fx->effect_u.object.name = bstr_new("o");
	return fx;
}

/*
 * The thread of a sender: sends to both edges in turn and retries while a queue
 * is full.
 */
static void *sender_run(void *arg)
{
	struct sender *s = arg;
	struct fixture *b = s->fixture;
	uint64_t req = s->first;
	effect *fx;
	int i;

	for (i = 0; i < REQUESTS_EACH; i++) {
		fx = worker_effect(b, req++);
		while (!edge_worker_send(b->worker, fx))
			sched_yield();
		fx = platform_effect(req++);
		while (!edge_platform_send(b->platform, fx))
			sched_yield();
	}
	return NULL;
}

/* The thread that stops both edges, while the test still reads their events. */
static void *stop_run(void *arg)
{
	struct fixture *b = arg;

	edge_platform_stop(b->platform);
	edge_worker_stop(b->worker);
	return NULL;
}

/* Returns the request ID of an event's effect. */
static uint64_t event_req(const event *ev)
{
	return ev->body.kind == EV_WORKER ? ev->body.event_body_u.worker.req
					  : ev->body.event_body_u.platform.req;
}

/*
 * Reads events until a thread has ended.  Returns how many were duplicates or
 * belong to no effect.
 */
static int events_read(struct mailbox *inbox, bool *got, pthread_t thread)
{
	bool ended = false;
	uint64_t req;
	int bad = 0;
	event *ev;

	while (!ended) {
		ended = !pthread_tryjoin_np(thread, NULL);
		while ((ev = mailbox_take(inbox))) {
			req = event_req(ev);
			bad += req >= TOTAL || got[req];
			got[req % TOTAL] = true;
			event_free(ev);
		}
		sched_yield();
	}
	return bad;
}

/*
 * Several threads send to both edges while a server answers, resets
 * connections, truncates answers or goes silent, and the edges are stopped
 * meanwhile.  Each effect must become exactly one event.  If an event is lost,
 * its request ID is missing at the end; if one is duplicated, its request ID
 * comes twice.
 */
int main(void)
{
	static const enum fake_action actions[] = {
		FAKE_ANSWER, FAKE_ANSWER_TWICE, FAKE_TRUNCATE,
		FAKE_RESET,  FAKE_ANSWER_CLOSE, FAKE_RAW,
		FAKE_ANSWER, FAKE_NO_ANSWER};
	struct settings s = {
		.platform = {.timeout_ms = 300, .max_in_flight = 8},
		.workers = {.timeout_ms = 300, .max_connections = 16}};
	struct mailbox *inbox = mailbox_new(64);
	struct fake_step steps[TOTAL] = {{0}};
	bool got[TOTAL] = {false};
	struct sender senders[SENDERS];
	pthread_t threads[SENDERS], stopper;
	int i, bad = 0;
	struct fake *f;
	struct fixture b;
	struct error e;

	log_open("race-edge-http", LEVEL_ERR);
	error_init(&e);
	for (i = 0; i < TOTAL; i++) {
		steps[i].action = actions[(i / 16) % NELEMS(actions)];
		steps[i].status = 200;
		steps[i].body = "x";
	}
	f = fake_start(steps, TOTAL);
	b.port = fake_port(f);
	s.platform.url = xasprintf("http://127.0.0.1:%u", b.port);
	b.platform = edge_platform_start(&s, inbox, &e);
	b.worker = edge_worker_start(&s, inbox, &e);
	if (!b.platform || !b.worker)
		return 1;
	for (i = 0; i < SENDERS; i++) {
		senders[i] = (struct sender){&b,
					     (uint64_t)i * 2 * REQUESTS_EACH};
		pthread_create(&threads[i], NULL, sender_run, &senders[i]);
	}
	for (i = 0; i < SENDERS; i++)
		bad += events_read(inbox, got, threads[i]);
	/*
	 * Some requests are still queued or in flight; the stop has to end
	 * them.
	 */
	pthread_create(&stopper, NULL, stop_run, &b);
	bad += events_read(inbox, got, stopper);
	for (i = 0; i < TOTAL; i++)
		bad += !got[i];
	fake_stop(f);
	mailbox_free(inbox);
	free(s.platform.url);
	printf("%d passed, %d failed\n", bad ? 0 : 1, bad ? 1 : 0);
	return bad != 0;
}
