/*
 * Entry point of the reducer: takes one event, updates the state and returns
 * the effects.
 */
#include "reduce.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Initialises an empty list of effects. */
void effects_init(struct effects *fx)
{
	memset(fx, 0, sizeof(*fx));
}

/* Frees all effects of a list and leaves it empty. */
void effects_free(struct effects *fx)
{
	size_t i;

	for (i = 0; i < fx->count; i++)
		xdr_free(XDR_PROC(xdr_effect), (char *)&fx->list[i]);
	free(fx->list);
	effects_init(fx);
}

/*
 * Appends a zeroed effect of the given kind.  The returned pointer is valid
 * until the next effect is added.
 */
effect *effect_add(struct state *st, effect_kind kind)
{
	struct effects *out = st->out;
	effect *fx;

	if (out->count == out->capacity) {
		out->capacity = out->capacity ? out->capacity * 2 : 16;
		out->list = xrealloc(out->list, out->capacity,
				     sizeof(*out->list));
	}
	fx = &out->list[out->count++];
	memset(fx, 0, sizeof(*fx));
	fx->kind = kind;
	return fx;
}

/* Adds n to a counter. */
void effect_count(struct state *st, enum counter_id id, uint64_t n)
{
	effect *fx = effect_add(st, FX_COUNT);

	fx->effect_u.count.counter = id;
	fx->effect_u.count.amount = n;
}

/* Logs an event of log.def with a formatted text. */
void effect_log(struct state *st, uint32_t number, const char *fmt, ...)
{
	effect *fx = effect_add(st, FX_LOG);
	va_list ap;

	fx->effect_u.log.number = number;
	va_start(ap, fmt);
	fx->effect_u.log.text = bstr_vprintf(fmt, ap);
	va_end(ap);
}

/* Requests a tick at a time, unless a regular tick comes before it. */
void effect_wake(struct state *st, int64_t at)
{
	effect *fx;

	if (at >= st->now + st->tick_ms)
		return;
	fx = effect_add(st, FX_WAKE);
	fx->effect_u.wake = at;
}

/*
 * Returns the next number of the seeded generator (splitmix64), less than
 * below; 0 means no bound.
 */
uint64_t state_random(struct state *st, uint64_t below)
{
	uint64_t z = random_next(&st->random);

	return below ? z % below : z;
}

/* Hashes two strings; the result is the same on every VM. */
uint64_t hash64(bstr a, bstr b)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES] = "bamboo";
	unsigned char buf[512], out[crypto_shorthash_BYTES];
	size_t n = 0;
	uint64_t h;

	if (a.bstr_len > 255)
		a.bstr_len = 255;
	if (b.bstr_len > 255)
		b.bstr_len = 255;
	buf[n++] = (unsigned char)a.bstr_len;
	if (a.bstr_len)
		memcpy(buf + n, a.bstr_val, a.bstr_len);
	n += a.bstr_len;
	if (b.bstr_len)
		memcpy(buf + n, b.bstr_val, b.bstr_len);
	n += b.bstr_len;
	crypto_shorthash(out, buf, n, key);
	memcpy(&h, out, sizeof(h));
	return h;
}

/* Allocates the initial state of a reducer. */
struct state *state_new(const struct settings *s, uint64_t seed,
			const char *peer_address)
{
	struct state *st = xcalloc(1, sizeof(*st));

	st->vm = bstr_copy(s->vm);
	st->dc = bstr_copy(s->dc);
	st->address = bstr_new(peer_address);
	st->random = seed;
	st->incarnation = state_random(st, 0);
	st->tick_ms = s->timing.tick_ms;
	st->member_renew_ms = s->timing.member_renew_ms;
	st->member_lease_ms = s->timing.member_lease_ms;
	st->ping_ms = s->timing.ping_ms;
	st->fresh_ms = s->timing.fresh_ms;
	st->commit_window_ms = s->timing.commit_window_ms;
	st->task_lease_ms = s->timing.task_lease_ms;
	st->config_poll_ms = s->timing.config_poll_ms;
	st->list_poll_ms = s->timing.list_poll_ms;
	st->stop_ms = s->timing.stop_ms;
	st->watch_ms = s->workers.watch_ms;
	st->queue_per_cell = s->limits.queue_per_cell;
	st->queue_per_team = s->limits.queue_per_team;
	st->retention_ms = s->limits.retention_ms;
	st->attempts = s->limits.attempts;
	TAILQ_INIT(&st->local);
	TAILQ_INIT(&st->changes);
	TAILQ_INIT(&st->edits);
	TAILQ_INIT(&st->wave_changes);
	TAILQ_INIT(&st->active);
	TAILQ_INIT(&st->finished);
	TAILQ_INIT(&st->forwards);
	TAILQ_INIT(&st->why_requests);
	TAILQ_INIT(&st->asks);
	/*
	 * No event, proof, answer or lease yet.  Half of INT64_MIN lies far in
	 * the past, and a difference to it does not overflow.
	 */
	st->last_event_at = -1;
	st->proof_at = INT64_MIN / 2;
	st->platform_answered_at = INT64_MIN / 2;
	st->lease_until = INT64_MIN / 2;
	return st;
}

/* Frees a state and everything that it owns. */
void state_free(struct state *st)
{
	struct request *rq, *rn;
	struct run_time *rt, *rtn;
	struct change *c;
	struct job *j, *jn;

	if (!st)
		return;
	HASH_ITER(hh, st->jobs, j, jn)
		job_free(st, j);
	units_free(st);
	HASH_ITER(hh, st->requests, rq, rn)
		request_free(st, rq);
	HASH_ITER(hh, st->run_times, rt, rtn) {
		HASH_DEL(st->run_times, rt);
		bstr_free(&rt->name);
		free(rt);
	}
	while ((c = TAILQ_FIRST(&st->changes)))
		change_free(st, c);
	forwards_free(st);
	why_requests_free(st);
	asks_free(st);
	edits_free(st);
	waves_free(st);
	vms_free(st);
	member_free_all(st);
	config_free(st->config);
	bstr_free(&st->head_value);
	bstr_free(&st->vm);
	bstr_free(&st->dc);
	bstr_free(&st->address);
	free(st);
}

/* Dispatches a message from a peer or from this VM itself. */
static void reduce_message(struct state *st, bstr from, const peer_message *m)
{
	switch (m->kind) {
	case PM_PING:
		member_ping(st, from, &m->peer_message_u.ping, false);
		break;
	case PM_PONG:
		member_ping(st, from, &m->peer_message_u.ping, true);
		break;
	case PM_FORWARD:
		call_forwarded(st, from, &m->peer_message_u.forward);
		break;
	case PM_ANSWER:
		call_answered(st, &m->peer_message_u.answer);
		break;
	case PM_DISPATCH:
		cell_dispatch(st, from, &m->peer_message_u.dispatch);
		break;
	case PM_UPDATE:
		job_update(st, from, &m->peer_message_u.update);
		break;
	case PM_CANCEL:
		cell_cancel(st, from, &m->peer_message_u.attempt);
		break;
	case PM_QUERY:
		cell_query(st, from, &m->peer_message_u.attempt);
		break;
	case PM_ACK:
		cell_ack(st, &m->peer_message_u.attempt);
		break;
	case PM_LIMIT_REQUEST:
		allowance_requested(st, &m->peer_message_u.limit_request);
		break;
	case PM_UNOWNED:
		if (m->peer_message_u.unowned.kind == PM_FORWARD)
			call_unowned(st, from, &m->peer_message_u.unowned);
		else
			job_unowned(st, &m->peer_message_u.unowned);
		break;
	case PM_LEAVING:
		member_leaving(st, from);
		break;
	case PM_OPERATE:
		op_forwarded(st, from, &m->peer_message_u.operate);
		break;
	case PM_OP_REPLY:
		ask_answered(st, from, &m->peer_message_u.op_reply);
		break;
	}
}

/* Delivers the messages that this VM has sent to itself. */
static void reduce_deliver_local(struct state *st)
{
	struct local_message *lm;

	while ((lm = TAILQ_FIRST(&st->local))) {
		TAILQ_REMOVE(&st->local, lm, entry);
		reduce_message(st, st->vm, &lm->message);
		xdr_free(XDR_PROC(xdr_peer_message), (char *)&lm->message);
		free(lm);
	}
}

/* Handles an unreachable peer; recent messages to it may be lost. */
static void reduce_peer_lost(struct state *st, bstr vm)
{
	effect_count(st, COUNT_RETRY_PEER, 1);
	call_peer_lost(st, vm);
	jobs_peer_lost(st, vm);
}

/*
 * Detects that this process or its VM was paused.  Meanwhile other VMs may have
 * taken over its units, and its state is out of date; without this check it
 * could decide a start or an answer on an expired lease.  Ticks come every
 * tick_ms, so a longer gap between events shows a pause.  Units owned before it
 * act only after their rows have been read again.
 */
static void reduce_detect_pause(struct state *st)
{
	int64_t gap = st->now - st->last_event_at;

	if (st->last_event_at >= 0 && gap > PAUSE_DETECT_MS + st->tick_ms) {
		st->resumed_at = st->now;
		effect_log(st, LOG_PAUSED, "no event for %lld ms",
			   (long long)gap);
		effect_count(st, COUNT_PAUSES, 1);
		units_mark_unverified(st);
		members_paused(st);
		jobs_paused(st);
	}
	st->last_event_at = st->now;
}

/*
 * Begins a planned stop.  Readiness is withdrawn first, so that the load
 * balancer sends no new calls.
 */
static void reduce_stop(struct state *st)
{
	peer_message msg = {.kind = PM_LEAVING};
	struct member *m, *next;
	effect *fx;

	if (st->stopping)
		return;
	st->stopping = true;
	st->stop_at = st->now + st->stop_ms;
	effect_log(st, LOG_STOPPING, "planned stop, at most %u ms",
		   st->stop_ms);
	fx = effect_add(st, FX_READY);
	fx->effect_u.ready = false;
	/* Peers choose new owners now instead of when the lease expires. */
	HASH_ITER(hh, st->members, m, next)
		peer_send(st, m->vm, &msg);
	st->renew_at = st->now;
}

/*
 * Ends the process once all units are released and all callers and operators
 * answered; the lease is renewed until then.  At the deadline of the stop, it
 * exits regardless; the peers then take over the remaining units as after a
 * crash.
 */
static void reduce_stop_check(struct state *st)
{
	struct unit *u, *un;
	bool idle = TAILQ_EMPTY(&st->forwards) && !ops_pending(st);
	struct job *j;

	if (!st->stopping || st->stopped)
		return;
	HASH_ITER(hh, st->units, u, un)
		idle = idle && u->state != UNIT_OWNED &&
		       u->state != UNIT_RELEASING;
	TAILQ_FOREACH(j, &st->active, entry)
		idle = idle && j->shard;
	if (!idle && st->now < st->stop_at)
		return;
	calls_stop(st);
	ops_stop(st);
	st->stopped = true;
	effect_log(st, LOG_STOPPED, "%s",
		   idle ? "all handed over" : "the stop's deadline passed");
	effect_add(st, FX_EXIT);
}

/* Runs the periodic work of all parts of the reducer. */
static void reduce_tick(struct state *st)
{
	requests_tick(st);
	member_tick(st);
	config_tick(st);
	vms_tick(st);
	proof_update(st);
	units_tick(st);
	shards_tick(st);
	cells_tick(st);
	jobs_tick(st);
	calls_tick(st);
	edits_tick(st);
	waves_tick(st);
	why_requests_tick(st);
	asks_tick(st);
}

/*
 * Applies one event and appends its effects to out.  The clock never goes back,
 * even if an event carries an older time.
 */
void reduce(struct state *st, const event *ev, struct effects *out)
{
	const event_body *b = &ev->body;

	st->out = out;
	if (ev->now > st->now)
		st->now = ev->now;
	reduce_detect_pause(st);
	switch (b->kind) {
	case EV_TICK:
		reduce_tick(st);
		break;
	case EV_CALL:
		call_event(st, b->event_body_u.call.call,
			   &b->event_body_u.call.request);
		break;
	case EV_CALL_GONE:
		call_gone(st, b->event_body_u.gone);
		break;
	case EV_OPERATE:
		op_event(st, b->event_body_u.operate.call,
			 &b->event_body_u.operate.request);
		break;
	case EV_PEER:
		reduce_message(st, b->event_body_u.peer.from,
			       &b->event_body_u.peer.message);
		break;
	case EV_PEER_LOST:
		reduce_peer_lost(st, b->event_body_u.lost);
		break;
	case EV_PLATFORM:
		platform_event(st, &b->event_body_u.platform);
		break;
	case EV_WORKER:
		worker_event(st, &b->event_body_u.worker);
		break;
	case EV_STOP:
		reduce_stop(st);
		break;
	}
	reduce_deliver_local(st);
	cells_schedule(st);
	reduce_deliver_local(st);
	reduce_stop_check(st);
	/* A stop may have answered callers of this VM. */
	reduce_deliver_local(st);
	st->out = NULL;
}
