/*
 * The entry VMs: their processes, the messages between them, and the effects of
 * their reducers.
 */
#include "support-fleet-state.h"

/* Timeout of the edge for a message to a peer. */
#define PEER_TIMEOUT_MS 1000

/* Returns the index of a running entry VM by its name, or -1. */
static int entry_named(const struct fleet *f, bstr name)
{
	int i;

	for (i = 0; i < FLEET_ENTRIES; i++)
		if (f->entries[i].up && bstr_eq_str(name, f->entries[i].name))
			return i;
	return -1;
}

/* Reports to an entry VM that a message to a peer was lost. */
static void peer_report_lost(struct fleet *f, unsigned slot, bstr to)
{
	event *ev = event_new(EV_PEER_LOST);

	ev->body.event_body_u.lost = bstr_copy(to);
	fleet_entry_post(f, slot, f->entries[slot].generation,
			 PEER_TIMEOUT_MS / 2 +
				 (int64_t)fleet_random(f, PEER_TIMEOUT_MS / 2),
			 ev);
}

/*
 * Sends a message to a peer.  The receiving edge drops it if it arrives after
 * its deadline.
 */
static void peer_send(struct fleet *f, unsigned slot, const fx_peer *p)
{
	int to = entry_named(f, p->to);
	int64_t delay = 1 + (int64_t)fleet_random(f, 3);
	event *ev;

	if (p->message.kind == PM_DISPATCH)
		TRACE(f, "%s dispatches %.*s to %.*s", f->entries[slot].name,
		      BSTR_ARG(p->message.peer_message_u.dispatch.job),
		      BSTR_ARG(p->to));
	if (p->message.kind == PM_UPDATE)
		TRACE(f, "%s reports %.*s to %.*s: known %d state %d %.*s",
		      f->entries[slot].name,
		      BSTR_ARG(p->message.peer_message_u.update.job),
		      BSTR_ARG(p->to),
		      (int)p->message.peer_message_u.update.known,
		      (int)p->message.peer_message_u.update.view.state,
		      BSTR_ARG(p->message.peer_message_u.update.view.reason));
	if (p->message.kind == PM_QUERY)
		TRACE(f, "%s queries %.*s about %.*s", f->entries[slot].name,
		      BSTR_ARG(p->to),
		      BSTR_ARG(p->message.peer_message_u.attempt.job));
	if (p->message.kind == PM_FORWARD)
		TRACE(f, "%s forwards call %llu to %.*s", f->entries[slot].name,
		      (unsigned long long)
			      p->message.peer_message_u.forward.call,
		      BSTR_ARG(p->to));
	if (p->message.kind == PM_ANSWER)
		TRACE(f, "%s answers call %llu of %.*s: %u",
		      f->entries[slot].name,
		      (unsigned long long)p->message.peer_message_u.answer.call,
		      BSTR_ARG(p->to),
		      p->message.peer_message_u.answer.answer.http);
	if (to < 0 || (f->dc_cut && slot % 2 != (unsigned)to % 2)) {
		peer_report_lost(f, slot, p->to);
		return;
	}
	if (f->entries[to].frozen)
		peer_report_lost(f, slot, p->to);
	if (f->late && !fleet_random(f, 4))
		delay += (int64_t)fleet_random(f, 1900);
	/* the edge drops duplicates, but may report a delivered message lost */
	if (f->late && !fleet_random(f, 4))
		peer_report_lost(f, slot, p->to);
	ev = event_new(EV_PEER);
	ev->body.event_body_u.peer.from = bstr_new(f->entries[slot].name);
	xdr_copy(XDR_PROC(xdr_peer_message),
		 &ev->body.event_body_u.peer.message, &p->message,
		 sizeof(p->message));
	/* the deadline, until the event is handled */
	ev->now = p->deadline - f->entries[slot].clock_offset;
	fleet_entry_post(f, (unsigned)to, f->entries[to].generation, delay, ev);
}

/* Fills in the settings of an entry VM. */
static void entry_settings(struct settings *s, const struct entry *e,
			   unsigned slot)
{
	memset(s, 0, sizeof(*s));
	s->vm = bstr_lit(e->name);
	s->dc = bstr_lit(fleet_dc_names[slot % 2]);
	s->workers.watch_ms = 5000;
	s->timing.tick_ms = 100;
	s->timing.member_renew_ms = 1500;
	s->timing.member_lease_ms = 4000;
	s->timing.ping_ms = 500;
	s->timing.fresh_ms = FRESH_MS;
	s->timing.commit_window_ms = 50;
	s->timing.task_lease_ms = 10000;
	s->timing.config_poll_ms = 1000;
	s->timing.list_poll_ms = 1000;
	s->timing.stop_ms = 10000;
	s->limits.queue_per_cell = 64;
	s->limits.queue_per_team = 40;
	s->limits.retention_ms = 600000;
	s->limits.attempts = 3;
}

/* Starts a new entry VM under a name that wasn't used before. */
void fleet_entry_boot(struct fleet *f, unsigned slot)
{
	struct entry *e = &f->entries[slot];
	struct settings s;

	e->generation++;
	e->up = true;
	e->frozen = e->stopping = false;
	e->revision = 0;
	e->stop_at = INT64_MAX;
	e->clock_offset = (int64_t)fleet_random(f, 1000000);
	snprintf(e->name, sizeof(e->name), "e%u-%u", slot, e->generation);
	entry_settings(&s, e, slot);
	e->st = state_new(&s, fleet_random(f, UINT64_MAX), e->name);
	fleet_queue_put(f, (struct queue_item){.at = f->now,
					       .kind = Q_TICK,
					       .index = slot,
					       .generation = e->generation,
					       .n = 1});
}

/* Kills an entry VM; a new one replaces it after ms milliseconds. */
void fleet_entry_kill(struct fleet *f, unsigned slot, int64_t ms)
{
	struct entry *e = &f->entries[slot];

	if (!e->up)
		return;
	e->up = false;
	state_free(e->st);
	e->st = NULL;
	while (e->inbox_count)
		event_free(e->inbox[--e->inbox_count]);
	fleet_fault_begin(f);
	fleet_queue_put(f, (struct queue_item){.at = f->now + ms,
					       .kind = Q_BOOT,
					       .index = slot});
}

/* Checks that a VM that ends a planned stop has answered all its calls. */
static void check_stopped(struct fleet *f, unsigned slot)
{
	const struct fake_call *c;
	unsigned i;

	for (i = 0; i < f->call_count; i++) {
		c = &f->calls[i];
		if (c->slot == slot &&
		    c->generation == f->entries[slot].generation &&
		    c->received && !c->answered)
			VIOLATION(f, "stop: %s ends with call %u unanswered",
				  f->entries[slot].name, i);
	}
}

/* Executes the effects of one step of an entry VM's reducer. */
static void entry_execute(struct fleet *f, unsigned slot, struct effects *out)
{
	struct entry *e = &f->entries[slot];
	bool leaves = false;
	effect *fx, *own;
	size_t i;

	for (i = 0; i < out->count; i++) {
		fx = &out->list[i];
		switch (fx->kind) {
		case FX_ANSWER:
			fleet_answer_record(f, slot, &fx->effect_u.answer);
			break;
		case FX_OP_REPLY:
			fleet_reply_record(f, slot, &fx->effect_u.op_reply);
			break;
		case FX_PEER:
			peer_send(f, slot, &fx->effect_u.peer);
			break;
		case FX_COUNT:
			if (fx->effect_u.count.counter != COUNT_CONFIG_REVISION)
				break;
			if (fx->effect_u.count.amount <= e->revision)
				VIOLATION(f,
					  "config: %s goes back to revision %u",
					  e->name,
					  (unsigned)fx->effect_u.count.amount);
			e->revision = fx->effect_u.count.amount;
			break;
		case FX_LOG:
			TRACE(f, "%s log %u %.*s", e->name,
			      fx->effect_u.log.number,
			      BSTR_ARG(fx->effect_u.log.text));
			break;
		case FX_WAKE:
			fleet_queue_put(f,
					(struct queue_item){
						.at = fx->effect_u.wake -
						      e->clock_offset,
						.kind = Q_TICK,
						.index = slot,
						.generation = e->generation});
			break;
		case FX_COMMIT:
		case FX_READ:
		case FX_SCAN:
		case FX_OBJECT_PUT:
		case FX_OBJECT_GET:
		case FX_VM_LIST:
		case FX_WORKER:
			own = effect_new(FX_EXIT);
			*own = *fx;
			fx->kind = FX_EXIT;
			if (own->kind == FX_WORKER)
				fleet_exchange_send(f, slot, own);
			else
				fleet_platform_send(f, slot, own);
			break;
		case FX_EXIT:
			leaves = true;
			break;
		default:
			break;
		}
	}
	if (leaves && e->stopping)
		check_stopped(f, slot);
	if (leaves)
		fleet_entry_kill(f, slot, 500);
}

/* Runs the reducer of an entry VM on an event, which is freed. */
static void entry_handle(struct fleet *f, unsigned slot, event *ev)
{
	struct entry *e = &f->entries[slot];
	struct effects out;

	ev->now = f->now + e->clock_offset;
	if (ev->body.kind == EV_STOP)
		e->stop_at = f->now;
	if (ev->body.kind == EV_CALL)
		f->calls[ev->body.event_body_u.call.call].received = true;
	if (ev->body.kind == EV_OPERATE)
		f->calls[ev->body.event_body_u.operate.call].received = true;
	f->events++;
	effects_init(&out);
	reduce(e->st, ev, &out);
	event_free(ev);
	entry_execute(f, slot, &out);
	effects_free(&out);
}

/* Delivers an event to an entry VM; a frozen one handles it later. */
void fleet_entry_receive(struct fleet *f, unsigned slot, unsigned generation,
			 event *ev)
{
	struct entry *e = &f->entries[slot];

	if (!e->up || e->generation != generation ||
	    (ev->body.kind == EV_PEER && f->now > ev->now)) {
		event_free(ev);
		return;
	}
	if (!e->frozen) {
		entry_handle(f, slot, ev);
		return;
	}
	/*
	 * Messages that arrive within 10 ms of the freeze count as read by the
	 * edge already.  Later ones stay in the sockets, and the edge checks
	 * their deadlines when the VM resumes.
	 */
	if (f->now - e->frozen_at <= 10)
		ev->now = INT64_MAX;
	e->inbox = xrealloc(e->inbox, e->inbox_count + 1, sizeof(event *));
	e->inbox[e->inbox_count++] = ev;
}

/* Resumes a frozen entry VM, which then handles the held events. */
void fleet_entry_thaw(struct fleet *f, unsigned slot)
{
	struct entry *e = &f->entries[slot];
	event **inbox = e->inbox;
	size_t n = e->inbox_count, i;

	e->frozen = false;
	if (e->stop_at < f->now)
		e->stop_at = f->now;
	e->inbox = NULL;
	e->inbox_count = 0;
	for (i = 0; i < n; i++)
		fleet_entry_receive(f, slot, e->generation, inbox[i]);
	free(inbox);
}

/* Runs a tick of an entry VM; a planned stop must end within 12 seconds. */
void fleet_entry_tick(struct fleet *f, const struct queue_item *q)
{
	struct entry *e = &f->entries[q->index];
	struct queue_item again = *q;

	if (!e->up || e->generation != q->generation)
		return;
	again.at = f->now + 100;
	if (q->n)
		fleet_queue_put(f, again);
	if (!e->frozen)
		entry_handle(f, q->index, event_new(EV_TICK));
	if (e->up && e->generation == q->generation && e->stopping &&
	    f->now - 12000 > e->stop_at && !e->frozen) {
		VIOLATION(f, "stop: %s does not end", e->name);
		e->stopping = false;
	}
}
