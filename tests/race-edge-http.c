#include "support-fake.h"

#include <pthread.h>
#include <sched.h>
#include <stdlib.h>

#define SENDERS 4
#define EACH 150
#define TOTAL (2 * SENDERS * EACH)

/* The two edges, and the server that they talk to. */
struct bench {
	struct edge_platform *platform;
	struct edge_worker *worker;
	uint16_t port;
};

struct sender {
	struct bench *bench;
	uint64_t first; /* its reqs */
};

static effect *worker_effect(const struct bench *b, uint64_t req)
{
	effect *fx = effect_new(FX_WORKER);
	fx_worker *w = &fx->effect_u.worker;

	w->req = req;
	w->vm = bstr_new("w1");
	w->address = bstr_printf("127.0.0.1:%u", b->port);
	w->watch = req % 2;
	return fx;
}

static effect *platform_effect(uint64_t req)
{
	effect *fx = effect_new(FX_OBJECT_GET);

	fx->effect_u.object.req = req;
	fx->effect_u.object.name = bstr_new("o");
	return fx;
}

/* Send to both edges in turn; a full queue is tried again. */
static void *sender_run(void *arg)
{
	struct sender *s = arg;
	struct bench *b = s->bench;
	uint64_t req = s->first;
	effect *fx;
	int i;

	for (i = 0; i < EACH; i++) {
		fx = worker_effect(b, req++);
		while (!edge_worker_send(b->worker, fx))
			sched_yield();
		fx = platform_effect(req++);
		while (!edge_platform_send(b->platform, fx))
			sched_yield();
	}
	return NULL;
}

/* Stop both edges while their events are still being read. */
static void *stop_run(void *arg)
{
	struct bench *b = arg;

	edge_platform_stop(b->platform);
	edge_worker_stop(b->worker);
	return NULL;
}

/* The id of an event's effect. */
static uint64_t event_req(const event *ev)
{
	return ev->body.kind == EV_WORKER ? ev->body.event_body_u.worker.req
					  : ev->body.event_body_u.platform.req;
}

/* Read events until a thread has ended; how many came twice or of nothing. */
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
 * Several threads send to both edges while a server answers, resets, cuts
 * short and falls silent, and the edges are stopped under way.  Each effect
 * must become exactly one event; a lost one shows as a wait that ends
 * without, a doubled one as a req that comes twice.
 */
int main(void)
{
	static const enum fake_action acts[] = {
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
	struct bench b;
	struct error e;

	log_open("race-edge-http", LEVEL_ERR);
	error_init(&e);
	for (i = 0; i < TOTAL; i++) {
		steps[i].action = acts[(i / 16) % NELEMS(acts)];
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
		senders[i] = (struct sender){&b, (uint64_t)i * 2 * EACH};
		pthread_create(&threads[i], NULL, sender_run, &senders[i]);
	}
	for (i = 0; i < SENDERS; i++)
		bad += events_read(inbox, got, threads[i]);
	/* Some are still waiting or under way: the stop has to end them. */
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
