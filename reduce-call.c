/*
 * Callers' requests.  A request is handled at the home of its job; if that is
 * another VM, the request is forwarded to it and the answer passed back.
 */
#include "reduce.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* A forwarded request outlives the caller's deadline by this, for transit. */
#define FORWARD_MARGIN_MS 1500
#define FORWARD_RETRY_MS 100
/* A request that no owner was found for is refused after this. */
#define OWNER_SEARCH_MS 1000
/* Time for all VMs to answer a cancellation by label. */
#define GATHER_TIMEOUT_MS 2000
/* Longest time that a caller may wait for an answer. */
#define WAIT_MAX_MS 600000

/*
 * Answers a caller of this VM (vm is empty) or the VM that forwarded the
 * request, which may be this one.  call is the number of the call at that VM.
 */
void answer_send(struct state *st, bstr vm, uint64_t call,
		 const caller_answer *a)
{
	peer_message msg = {.kind = PM_ANSWER};
	effect *fx;

	if (vm.bstr_len) {
		msg.peer_message_u.answer.call = call;
		msg.peer_message_u.answer.answer = *a;
		peer_send(st, vm, &msg);
		return;
	}
	fx = effect_add(st, FX_ANSWER);
	fx->effect_u.answer.call = call;
	xdr_copy(XDR_PROC(xdr_caller_answer), &fx->effect_u.answer.answer, a,
		 sizeof(*a));
}

/* Refuses a request.  retry_after_ms is the retry hint, 0 if there is none. */
void answer_refuse(struct state *st, bstr vm, uint64_t call, uint32_t http,
		   enum counter_id counter, const char *detail,
		   uint32_t retry_after_ms)
{
	caller_answer a = {.http = http, .retry_after_ms = retry_after_ms};

	a.reason = bstr_lit(counter_entries[counter].value);
	a.detail = bstr_lit(detail);
	effect_count(st, counter, 1);
	answer_send(st, vm, call, &a);
}

/*
 * Returns the id of a job, a hash of its team and idempotency key, so that
 * every VM computes the same id and shard for a repeated request.  The id of a
 * soft job also names its home, the only VM that knows it.
 */
static bstr call_job_id(const struct state *st, const job_spec *s, bool soft)
{
	unsigned char h[JOB_ID_LEN / 2];
	bstr hex, id;
	bstr text = bstr_printf("%.*s\n%.*s", BSTR_ARG(s->team),
				BSTR_ARG(s->key));

	crypto_generichash(h, sizeof(h), (unsigned char *)text.bstr_val,
			   text.bstr_len, NULL, 0);
	bstr_free(&text);
	hex = hex_encode(h, sizeof(h));
	if (!soft)
		return hex;
	id = bstr_printf("%.*s.%.*s", BSTR_ARG(hex), BSTR_ARG(st->vm));
	bstr_free(&hex);
	return id;
}

/*
 * Returns a digest of a submission, to tell a retry from a reused idempotency
 * key.  A retry may differ in how long the caller waits.
 */
static bstr call_digest(const job_spec *spec)
{
	job_spec plain = *spec;
	unsigned char h[16];
	bstr bytes;

	plain.wait = FALSE;
	plain.timeout_ms = 0;
	bytes = xdr_encode(XDR_PROC(xdr_job_spec), &plain);
	crypto_generichash(h, sizeof(h), (unsigned char *)bytes.bstr_val,
			   bytes.bstr_len, NULL, 0);
	bstr_free(&bytes);
	return bstr_from_bytes(h, sizeof(h));
}

/*
 * Returns true if some VM of the pool is large enough for the job, or if the
 * pool has no VMs yet.
 */
static bool call_job_fits(struct state *st, const job_spec *s)
{
	struct vm *v, *next;
	bool any = false;

	HASH_ITER(hh, st->vms, v, next) {
		if (!bstr_eq(v->row.pool, s->pool))
			continue;
		any = true;
		if ((!v->row.cpu_milli || s->cpu_milli <= v->row.cpu_milli) &&
		    (!v->row.memory_mb || s->memory_mb <= v->row.memory_mb) &&
		    s->accelerators <= v->row.accelerators)
			return true;
	}
	return !any;
}

/* Checks a submission.  Returns true if it was refused. */
static bool call_refuse_submit(struct state *st, uint64_t call,
			       const job_spec *s)
{
	if (st->stopping) {
		answer_refuse(st, BSTR_NONE, call, 503, COUNT_REFUSED_STOPPING,
			      "this VM is stopping; nothing was run", 100);
		return true;
	}
	if (!config_find_pool(st->config, s->pool)) {
		answer_refuse(st, BSTR_NONE, call, 422, COUNT_REFUSED_POOL,
			      "there is no such pool", 0);
		return true;
	}
	if (!call_job_fits(st, s)) {
		answer_refuse(st, BSTR_NONE, call, 422,
			      COUNT_REFUSED_NEVER_FITS,
			      "no VM of the pool is large enough: the work "
			      "can never run there",
			      0);
		return true;
	}
	return false;
}

/* Handles a request at the home of its job. */
static void call_handle_at_home(struct state *st, bstr vm, uint64_t call,
				const caller_request *rq, bstr team,
				struct shard *shard, int64_t deadline)
{
	const caller_body *b = &rq->body;
	struct job *j;
	bstr digest, id;

	if (b->kind == CALL_SUBMIT) {
		id = call_job_id(st, &b->caller_body_u.spec, !shard);
		digest = call_digest(&b->caller_body_u.spec);
		job_submit(st, shard, id, &b->caller_body_u.spec, digest, vm,
			   call);
		bstr_free(&digest);
		bstr_free(&id);
		return;
	}
	j = job_find(st, b->caller_body_u.job.job);
	/* Without a lease, another VM may own the shard and know the job. */
	if (!j && shard && !lease_valid(st)) {
		answer_refuse(st, vm, call, 503, COUNT_REFUSED_NO_OWNER,
			      "this VM may have been replaced and does not "
			      "know the job; ask again",
			      RETRY_AFTER_MS);
		return;
	}
	/* Another team's job gets the same answer, to reveal nothing. */
	if (!j || !bstr_eq(j->spec.team, team)) {
		answer_refuse(st, vm, call, 404, COUNT_REFUSED_JOB,
			      "no such job is known: it was never accepted, "
			      "or its answer is no longer kept",
			      0);
		return;
	}
	if (b->kind == CALL_CANCEL)
		job_cancel(st, j);
	job_wait(st, j, vm, call, deadline,
		 b->kind == CALL_CANCEL || b->caller_body_u.job.wait_ms, false);
}

/* Returns the time until which the caller waits at most. */
static int64_t call_deadline(const struct state *st, const caller_request *rq)
{
	const caller_body *b = &rq->body;
	uint32_t ms = GATHER_TIMEOUT_MS;

	if (b->kind == CALL_SUBMIT)
		ms = b->caller_body_u.spec.timeout_ms;
	else if (b->kind == CALL_GET)
		ms = b->caller_body_u.job.wait_ms;
	return st->now + (ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms);
}

/*
 * Creates a forwarded request, which is kept until it is answered.  vm is the
 * only VM that can answer it; empty means the owner of the shard.
 */
static struct forward *forward_new(struct state *st, uint64_t call,
				   const caller_request *rq, bstr team,
				   uint32_t shard, bstr vm, int64_t deadline)
{
	struct forward *f = xcalloc(1, sizeof(*f));

	f->id = ++st->next_serial;
	f->call = call;
	xdr_copy(XDR_PROC(xdr_caller_request), &f->request, rq, sizeof(*rq));
	f->team = bstr_copy(team);
	f->shard = shard;
	f->vm = bstr_copy(vm);
	f->created_at = st->now;
	f->deadline = deadline + FORWARD_MARGIN_MS;
	f->resend_at = st->now;
	TAILQ_INSERT_TAIL(&st->forwards, f, entry);
	return f;
}

static void forward_free(struct state *st, struct forward *f)
{
	TAILQ_REMOVE(&st->forwards, f, entry);
	xdr_free(XDR_PROC(xdr_caller_request), (char *)&f->request);
	bstr_free(&f->team);
	bstr_free(&f->to);
	bstr_free(&f->vm);
	free(f);
}

/* Frees all forwarded requests without answering them. */
void forwards_free(struct state *st)
{
	struct forward *f;

	while ((f = TAILQ_FIRST(&st->forwards))) {
		if (f->gather && !--f->gather->pending) {
			xdr_free(XDR_PROC(xdr_caller_answer),
				 (char *)&f->gather->answer);
			free(f->gather);
		}
		forward_free(st, f);
	}
}

/* Returns the VM to send a forwarded request to, empty if none is reachable. */
static bstr forward_target(struct state *st, const struct forward *f)
{
	struct member *m;
	struct unit *u = unit_of_shard(st, f->shard);
	bstr to = f->vm;

	if (!to.bstr_len && u)
		to = unit_choose_next(st, u, f->skipped);
	if (!to.bstr_len || bstr_eq(to, st->vm))
		return to;
	m = member_find(st, to);
	return m && member_reachable(st, m) ? to : BSTR_NONE;
}

/*
 * Sends a forwarded request to the VM that should handle it, or retries later.
 * The key is left out, as it has been checked here.
 */
static void forward_send(struct state *st, struct forward *f)
{
	peer_message msg = {.kind = PM_FORWARD};
	pm_forward *m = &msg.peer_message_u.forward;
	bstr to = forward_target(st, f);

	f->resend_at = st->now + FORWARD_RETRY_MS;
	if (!to.bstr_len) {
		f->skipped = 0;
		return;
	}
	bstr_set(&f->to, to);
	m->call = f->id;
	m->team = f->team;
	m->shard = f->shard;
	m->remaining_ms = f->deadline - FORWARD_MARGIN_MS > st->now
				  ? (uint32_t)(f->deadline - FORWARD_MARGIN_MS -
					       st->now)
				  : 0;
	m->request = f->request;
	m->request.key_id = m->request.key_digest = BSTR_NONE;
	f->sent = true;
	f->copies_sent++;
	f->resend_at = 0;
	peer_send(st, f->to, &msg);
}

/*
 * Adds a VM's answer, or NULL if there will be none.  The last one completes
 * the answer to the caller.
 */
static void gather_add_answer(struct state *st, struct gather *g,
			      const caller_answer *a)
{
	caller_answer *all = &g->answer;
	char *detail;
	u_int i;

	for (i = 0; a && i < a->jobs.jobs_len; i++) {
		all->jobs.jobs_val = xrealloc(all->jobs.jobs_val,
					      all->jobs.jobs_len + 1,
					      sizeof(job_view));
		xdr_copy(XDR_PROC(xdr_job_view),
			 &all->jobs.jobs_val[all->jobs.jobs_len++],
			 &a->jobs.jobs_val[i], sizeof(job_view));
	}
	g->missing += !a;
	if (--g->pending)
		return;
	if (g->missing) {
		detail = xasprintf("%u VMs did not answer: jobs there may be "
				   "uncancelled; ask again",
				   g->missing);
		all->http = 503;
		all->reason = bstr_new("partial");
		all->detail = bstr_new(detail);
		all->retry_after_ms = RETRY_AFTER_MS;
		free(detail);
	}
	answer_send(st, BSTR_NONE, g->call, all);
	xdr_free(XDR_PROC(xdr_caller_answer), (char *)all);
	free(g);
}

/* Cancels a team's jobs with a label whose home is this VM. */
static void call_cancel_label(struct state *st, bstr vm, uint64_t call,
			      bstr team, bstr label)
{
	caller_answer a = {.http = 200};
	struct job *j, *next;
	job_view *v;

	for (j = TAILQ_FIRST(&st->active); j; j = next) {
		next = TAILQ_NEXT(j, entry);
		if (!bstr_eq(j->spec.team, team) ||
		    !bstr_eq(j->spec.label, label))
			continue;
		a.jobs.jobs_val = xrealloc(a.jobs.jobs_val, a.jobs.jobs_len + 1,
					   sizeof(job_view));
		job_cancel(st, j);
		v = &a.jobs.jobs_val[a.jobs.jobs_len++];
		xdr_copy(XDR_PROC(xdr_job_view), v, &j->view, sizeof(job_view));
		/* "Not run" may be reported only once it is durable. */
		if (v->state == JOB_NOT_RUN && !job_final_ready(j))
			v->state = JOB_QUEUED;
	}
	answer_send(st, vm, call, &a);
	xdr_free(XDR_PROC(xdr_caller_answer), (char *)&a);
}

/* Sends a cancellation by label to every VM, this one included. */
static void call_cancel_label_all(struct state *st, uint64_t call,
				  const caller_request *rq, bstr team)
{
	struct gather *g = xcalloc(1, sizeof(*g));
	int64_t deadline = st->now + GATHER_TIMEOUT_MS;
	struct member *m, *next;
	struct forward *f;

	g->call = call;
	g->answer.http = 200;
	f = forward_new(st, call, rq, team, 0, st->vm, deadline);
	f->gather = g;
	g->pending = 1;
	HASH_ITER(hh, st->members, m, next) {
		if (!member_alive(m))
			continue;
		f = forward_new(st, call, rq, team, 0, m->vm, deadline);
		f->gather = g;
		g->pending++;
	}
	for (f = TAILQ_FIRST(&st->forwards); f; f = TAILQ_NEXT(f, entry))
		if (f->gather == g)
			forward_send(st, f);
}

/* Handles a request that a caller sent to this VM. */
void call_event(struct state *st, uint64_t call, const caller_request *rq)
{
	caller_answer refusal = {0};
	const struct team *t = key_check(st, rq, &refusal);
	caller_request full = *rq;
	const job_spec *spec;
	struct unit *u;
	uint32_t shard;
	bstr id, vm;
	bool soft;

	if (!t) {
		answer_send(st, BSTR_NONE, call, &refusal);
		xdr_free(XDR_PROC(xdr_caller_answer), (char *)&refusal);
		return;
	}
	if (rq->body.kind == CALL_CANCEL_LABEL) {
		call_cancel_label_all(st, call, rq, t->name);
		return;
	}
	if (rq->body.kind == CALL_SUBMIT) {
		spec = &full.body.caller_body_u.spec;
		full.body.caller_body_u.spec.team = t->name;
		if (call_refuse_submit(st, call, spec))
			return;
		soft = spec->may_repeat && spec->wait;
		id = call_job_id(st, spec, soft);
		vm = soft ? bstr_copy(st->vm) : BSTR_NONE;
	} else {
		id = bstr_copy(rq->body.caller_body_u.job.job);
		soft = job_id_is_soft(id, &vm);
	}
	shard = job_shard(id);
	u = soft ? NULL : unit_of_shard(st, shard);
	if (soft && bstr_eq(vm, st->vm))
		call_handle_at_home(st, BSTR_NONE, call, &full, t->name, NULL,
				    call_deadline(st, rq));
	else if (!soft && unit_is_active(st, u) && u->shard)
		call_handle_at_home(st, BSTR_NONE, call, &full, t->name,
				    u->shard, call_deadline(st, rq));
	else
		forward_send(st, forward_new(st, call, &full, t->name, shard,
					     vm, call_deadline(st, rq)));
	bstr_free(&vm);
	bstr_free(&id);
}

/* Replies that this VM does not own the shard and ignored the request. */
static void call_reply_unowned(struct state *st, bstr from, uint64_t call)
{
	peer_message msg = {.kind = PM_UNOWNED};

	msg.peer_message_u.unowned.kind = PM_FORWARD;
	msg.peer_message_u.unowned.call = call;
	msg.peer_message_u.unowned.leaving = st->stopping;
	peer_send(st, from, &msg);
}

/*
 * Handles a request that another VM has forwarded.  That VM has checked the
 * key, so the message does not contain the digest of its secret.
 */
void call_forwarded(struct state *st, bstr from, const pm_forward *m)
{
	const caller_body *b = &m->request.body;
	struct unit *u;
	bool soft;
	bstr vm;

	if (b->kind == CALL_CANCEL_LABEL) {
		call_cancel_label(st, from, m->call, m->team,
				  b->caller_body_u.label);
		return;
	}
	soft = b->kind != CALL_SUBMIT &&
	       job_id_is_soft(b->caller_body_u.job.job, &vm);
	if (soft)
		bstr_free(&vm);
	u = soft ? NULL : unit_of_shard(st, m->shard);
	if (soft || (unit_is_active(st, u) && u->shard))
		call_handle_at_home(st, from, m->call, &m->request, m->team,
				    u ? u->shard : NULL,
				    st->now + m->remaining_ms);
	else
		call_reply_unowned(st, from, m->call);
}

static struct forward *forward_find(struct state *st, uint64_t id)
{
	struct forward *f;

	TAILQ_FOREACH(f, &st->forwards, entry)
		if (f->id == id)
			return f;
	return NULL;
}

/*
 * Handles the answer to a request that this VM has forwarded.  If the request
 * was sent more than once, a refusal is valid for one copy only: another copy
 * may have been accepted by this home or the next.  So the caller must not be
 * told that the job was not run.
 */
void call_answered(struct state *st, const pm_answer *m)
{
	struct forward *f = forward_find(st, m->call);

	if (!f) {
		effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	if (f->gather)
		gather_add_answer(st, f->gather, &m->answer);
	else if (f->copies_sent > 1 && m->answer.http >= 500 &&
		 !m->answer.jobs.jobs_len)
		answer_refuse(st, BSTR_NONE, f->call, 504,
			      COUNT_REFUSED_DEADLINE,
			      "asked more than once and refused once: the work "
			      "may have been accepted; ask again with the same "
			      "key",
			      RETRY_AFTER_MS);
	else
		answer_send(st, BSTR_NONE, f->call, &m->answer);
	forward_free(st, f);
}

/*
 * Handles the reply that a VM does not own the shard of a forwarded request.
 * The request goes to the next candidate: a VM that has only just joined would
 * refuse all requests until the present owner hands the shard over to it.  If
 * all VMs have refused, the shard is changing hands and they are tried again
 * after a delay.
 */
void call_unowned(struct state *st, bstr from, const pm_unowned *m)
{
	struct forward *f = forward_find(st, m->call);
	struct member *p = member_find(st, from);

	if (m->leaving && p)
		p->leaving = true;
	if (!f)
		return;
	/* This copy had no effect. */
	f->sent = f->copies_sent && --f->copies_sent;
	f->skipped++;
	f->resend_at = st->now;
	effect_wake(st, st->now);
	effect_count(st, COUNT_RETRY_OWNER_CHANGED, 1);
}

/*
 * Has the requests forwarded to a VM sent again, as they may have been lost.
 * This is safe because the home recognises a request by its job's id and runs
 * the job once.
 */
void call_peer_lost(struct state *st, bstr vm)
{
	struct forward *f;

	TAILQ_FOREACH(f, &st->forwards, entry)
		if (!f->resend_at && bstr_eq(f->to, vm))
			f->resend_at = st->now + FORWARD_RETRY_MS;
}

/* Drops the waiters of a caller that has disconnected; its job goes on. */
void call_gone(struct state *st, uint64_t call)
{
	struct waiter *w, *wn;
	struct forward *f, *fn;
	struct job *j;

	for (f = TAILQ_FIRST(&st->forwards); f; f = fn) {
		fn = TAILQ_NEXT(f, entry);
		if (f->call == call && !f->gather)
			forward_free(st, f);
	}
	TAILQ_FOREACH(j, &st->active, entry) {
		for (w = TAILQ_FIRST(&j->waiters); w; w = wn) {
			wn = TAILQ_NEXT(w, entry);
			if (w->vm.bstr_len || w->call != call)
				continue;
			waiter_free(j, w);
		}
	}
}

/*
 * Gives up a forwarded request and answers its caller.  If it was never sent,
 * it had no effect; but an earlier request with the same key may have run the
 * job, so the answer does not say "not run".
 */
static void forward_give_up(struct state *st, struct forward *f)
{
	if (f->gather)
		gather_add_answer(st, f->gather, NULL);
	else if (f->sent)
		answer_refuse(st, BSTR_NONE, f->call, 504,
			      COUNT_REFUSED_DEADLINE,
			      "the VM that decides did not answer: the work "
			      "may have been accepted; ask again with the "
			      "same key",
			      RETRY_AFTER_MS);
	else
		answer_refuse(st, BSTR_NONE, f->call, 503,
			      COUNT_REFUSED_NO_OWNER,
			      "no VM can decide this now; this request was "
			      "not accepted",
			      RETRY_AFTER_MS * 2);
	forward_free(st, f);
}

/* Sends forwarded requests again, or gives them up, when due. */
void calls_tick(struct state *st)
{
	struct forward *f, *next;
	bool lost;

	for (f = TAILQ_FIRST(&st->forwards); f; f = next) {
		next = TAILQ_NEXT(f, entry);
		lost = !f->sent && st->now - f->created_at >= OWNER_SEARCH_MS;
		if (st->now >= f->deadline || lost)
			forward_give_up(st, f);
		else if (f->resend_at && st->now >= f->resend_at)
			forward_send(st, f);
	}
}

/*
 * Redirects a waiter when its job's home changes to another VM.  If the waiter
 * came from another VM, that VM is told to find the new owner.  One of this VM
 * becomes a forwarded request.
 */
void call_redirect(struct state *st, struct job *j, struct waiter *w)
{
	caller_request rq = {.body.kind = CALL_GET};
	int64_t left = w->deadline - st->now;

	if (w->vm.bstr_len) {
		call_reply_unowned(st, w->vm, w->call);
		return;
	}
	rq.body.caller_body_u.job.job = j->id;
	if (w->until_final && left > 0)
		rq.body.caller_body_u.job.wait_ms = (uint32_t)left;
	forward_new(st, w->call, &rq, j->spec.team, job_shard(j->id), BSTR_NONE,
		    left > OWNER_SEARCH_MS * 8 ? w->deadline
					       : st->now + OWNER_SEARCH_MS * 8)
		->sent = true;
}

/* Answers all callers that still wait, as the process stops. */
void calls_stop(struct state *st)
{
	struct forward *f, *next;
	struct waiter *w;
	struct job *j;

	for (f = TAILQ_FIRST(&st->forwards); f; f = next) {
		next = TAILQ_NEXT(f, entry);
		forward_give_up(st, f);
	}
	TAILQ_FOREACH(j, &st->active, entry) {
		while ((w = TAILQ_FIRST(&j->waiters))) {
			answer_refuse(st, w->vm, w->call, 503,
				      COUNT_REFUSED_STOPPING,
				      "this VM stops; the work was accepted "
				      "and may run: ask for it by its id",
				      RETRY_AFTER_MS);
			waiter_free(j, w);
		}
	}
}
