#include "reduce.h"

#include <stdlib.h>

/* A claim that is not durable by then is given up, if it can be. */
#define CLAIM_MS 1500
#define CHECK_MS 15000
#define CHECK_AGAIN_MS 500
#define PARKED_MS 200
#define CLAIMS_MAX 20000

/* Which shard is a job's home? */
uint32_t job_shard(bstr id)
{
	bstr base = bstr_ref(id.bstr_val, id.bstr_len < JOB_ID_LEN
						  ? id.bstr_len
						  : JOB_ID_LEN);

	return (uint32_t)(hash64(base, BSTR_NONE) % SHARD_COUNT);
}

/* Is it a soft job's id?  Then copy the VM it names. */
bool job_id_soft(bstr id, bstr *vm)
{
	*vm = BSTR_NONE;
	if (id.bstr_len <= JOB_ID_LEN + 1 || id.bstr_val[JOB_ID_LEN] != '.')
		return false;
	*vm = bstr_from_bytes(id.bstr_val + JOB_ID_LEN + 1,
			      id.bstr_len - JOB_ID_LEN - 1);
	return true;
}

/* Find a job that has its home here. */
struct job *job_find(struct state *st, bstr id)
{
	struct job *j;

	HASH_FIND_BSTR(st->jobs, id, j);
	return j;
}

/* Make a job known here. */
struct job *job_new(struct state *st, bstr id, const job_spec *spec,
		    struct shard *shard)
{
	struct job *j = xcalloc(1, sizeof(*j));

	j->id = bstr_copy(id);
	xdr_copy(XDR_PROC(xdr_job_spec), &j->spec, spec, sizeof(*spec));
	j->shard = shard;
	j->attempt = 1;
	j->accepted_at = st->now;
	j->deadline = st->now + spec->timeout_ms;
	TAILQ_INIT(&j->waiters);
	j->view.job = bstr_copy(id);
	j->view.team = bstr_copy(spec->team);
	j->view.pool = bstr_copy(spec->pool);
	j->view.label = bstr_copy(spec->label);
	j->view.state = JOB_QUEUED;
	HASH_ADD_BSTR(st->jobs, id, j);
	TAILQ_INSERT_TAIL(&st->active, j, entry);
	if (shard)
		shard->jobs++;
	return j;
}

/* Note the cell that the job is for. */
void job_set_cell(struct job *j, const cell_id *cell)
{
	xdr_free(XDR_PROC(xdr_cell_id), (char *)&j->cell);
	xdr_copy(XDR_PROC(xdr_cell_id), &j->cell, cell, sizeof(*cell));
}

/* The cell no longer counts the job as sent to it. */
static void job_uncount(struct job *j)
{
	if (j->counted_by)
		j->counted_by->sent_jobs--;
	j->counted_by = NULL;
}

/* Forget a job. */
void job_free(struct state *st, struct job *j)
{
	job_uncount(j);
	waiters_free(j);
	HASH_DEL(st->jobs, j);
	if (j->phase == PHASE_FINAL) {
		TAILQ_REMOVE(&st->finished, j, entry);
		st->finished_count--;
	} else {
		TAILQ_REMOVE(&st->active, j, entry);
	}
	if (j->shard)
		j->shard->jobs--;
	bstr_free(&j->id);
	bstr_free(&j->digest);
	bstr_free(&j->sent_to);
	xdr_free(XDR_PROC(xdr_job_spec), (char *)&j->spec);
	xdr_free(XDR_PROC(xdr_cell_id), (char *)&j->cell);
	xdr_free(XDR_PROC(xdr_job_view), (char *)&j->view);
	free(j);
}

/* Is the answer the last one? */
bool job_is_final(const struct job *j)
{
	return j->phase == PHASE_ENDING || j->phase == PHASE_FINAL;
}

/*
 * May the last answer be given?  "Not run" only once it is durable.  A home
 * that has been replaced without knowing it can't make it so; if it said it
 * all the same, its successor would find no trace of the job in a cell that
 * has changed hands too, and run it.
 */
bool job_final_ready(const struct job *j)
{
	return j->phase == PHASE_FINAL ||
	       (j->phase == PHASE_ENDING &&
		(!j->shard || j->view.state != JOB_NOT_RUN));
}

/* Count a final answer by its state. */
static void job_count(struct state *st, const struct job *j)
{
	switch (j->view.state) {
	case JOB_DONE:
		effect_count(st, COUNT_JOBS_DONE, 1);
		break;
	case JOB_FAILED:
		effect_count(st, COUNT_JOBS_FAILED, 1);
		break;
	case JOB_NOT_RUN:
		effect_count(st, COUNT_JOBS_NOT_RUN, 1);
		break;
	case JOB_UNKNOWN:
		effect_count(st, COUNT_JOBS_UNKNOWN, 1);
		effect_log(st, LOG_JOB_UNKNOWN, "%.*s: %.*s", BSTR_ARG(j->id),
			   BSTR_ARG(j->view.reason));
		break;
	case JOB_QUEUED:
	case JOB_RUNNING:
		break;
	}
}

/* Tell the cell that its final update has been kept. */
static void job_ack(struct state *st, bstr to, const pm_update *m)
{
	peer_message msg = {.kind = PM_ACK};

	msg.peer_message_u.attempt = (pm_attempt){m->cell, m->job, m->attempt,
						  0};
	peer_send(st, to, &msg);
}

/* The final answer is kept: it may be forgotten after the retention. */
void job_final_durable(struct state *st, struct job *j)
{
	pm_update m = {.cell = j->cell, .job = j->id, .attempt = j->attempt};

	if (j->phase != PHASE_ENDING)
		return;
	TAILQ_REMOVE(&st->active, j, entry);
	j->phase = PHASE_FINAL;
	j->expire_at = st->now + st->retention_ms;
	TAILQ_INSERT_TAIL(&st->finished, j, entry);
	st->finished_count++;
	job_answer_due(st, j);
	op_why_job_answer(st, j);
	if (j->sent_to.bstr_len)
		job_ack(st, j->sent_to, &m);
}

/*
 * A job has its final answer.  Callers get it at once, unless it is "not
 * run"; the cell is told only when it is durable here, so that until then a new
 * owner of the shard can ask the cell for it again.
 */
static void job_finish(struct state *st, struct job *j)
{
	record rec = {.kind = JOURNAL_FINAL};

	/* The last attempt was not run, but the job has been. */
	if (j->may_have_run && j->view.state == JOB_NOT_RUN) {
		j->view.state = JOB_UNKNOWN;
		bstr_set(&j->view.detail,
			 bstr_lit("an earlier attempt was started and did not "
				  "finish; no other was"));
	}
	job_uncount(j);
	j->phase = PHASE_ENDING;
	job_count(st, j);
	job_answer_due(st, j);
	if (!j->shard) {
		job_final_durable(st, j);
		return;
	}
	rec.record_u.final = j->view;
	shard_append(st, j->shard, &rec);
}

/* End a job here, without a cell's word. */
static void job_end(struct state *st, struct job *j, job_state state,
		    const char *reason, const char *detail, uint32_t retry)
{
	j->view.state = state;
	bstr_set(&j->view.reason, bstr_lit(reason));
	bstr_set(&j->view.detail, bstr_lit(detail));
	j->view.retry_after_ms = retry;
	job_finish(st, j);
}

/* End a job that was cancelled and never started. */
static void job_end_cancelled(struct state *st, struct job *j)
{
	job_end(st, j, JOB_NOT_RUN, "cancelled",
		"cancelled before it was started", 0);
}

/* Slots of the active VMs of a cell. */
static unsigned cell_slots(struct state *st, const cell_id *id)
{
	struct vm *v, *next;
	unsigned n = 0;

	HASH_ITER(hh, st->vms, v, next) {
		if (v->row.state == VM_ACTIVE &&
		    bstr_eq(v->row.pool, id->pool) &&
		    bstr_eq(v->row.dc, id->dc))
			n += v->row.slots;
	}
	return n;
}

/*
 * The owner of a cell, if it can be reached; else empty.  What we own is
 * ours until another has its row: while the platform is down no lease holds,
 * so the choice by leases would name anybody but us.
 */
static bstr cell_owner(struct state *st, const cell_id *id)
{
	struct unit *u = unit_of_cell(st, id);
	struct member *m;
	bstr owner;

	if (!u)
		return BSTR_NONE;
	if (unit_is_active(st, u) && !st->stopping)
		return st->vm;
	owner = unit_choose(st, u);
	if (!owner.bstr_len || bstr_eq(owner, st->vm))
		return owner;
	m = member_find(st, owner);
	return m && member_reachable(st, m) ? owner : BSTR_NONE;
}

/*
 * Choose the cell with the most room by what this home has sent to each, a
 * little in favour of its own data centre.  NULL if none can be reached.
 */
static struct unit *job_choose_cell(struct state *st, const job_spec *spec)
{
	struct unit *u, *next, *best = NULL;
	double load, least = 0;
	unsigned slots;

	HASH_ITER(hh, st->units, u, next) {
		if (u->kind != UNIT_CELL || !u->configured ||
		    !bstr_eq(u->id.pool, spec->pool) ||
		    !cell_owner(st, &u->id).bstr_len)
			continue;
		slots = cell_slots(st, &u->id);
		if (!slots)
			continue;
		load = (u->sent_jobs + 1.0) / slots;
		if (bstr_eq(u->id.dc, st->dc))
			load *= 0.9;
		if (!best || load < least) {
			best = u;
			least = load;
		}
	}
	return best;
}

/* Give the job to its cell's owner. */
static void job_dispatch(struct state *st, struct job *j)
{
	peer_message msg = {.kind = PM_DISPATCH};
	pm_dispatch *d = &msg.peer_message_u.dispatch;
	struct unit *u = unit_of_cell(st, &j->cell);
	bstr owner = cell_owner(st, &j->cell);

	if (!u || !owner.bstr_len) {
		j->phase = PHASE_UNDISPATCHED;
		j->check_at = st->now + PARKED_MS;
		return;
	}
	if (!j->counted_by) {
		j->counted_by = u;
		u->sent_jobs++;
	}
	j->phase = PHASE_DISPATCHED;
	j->sent_at = st->now;
	j->check_at = st->now + CHECK_MS;
	bstr_set(&j->sent_to, owner);
	d->cell = j->cell;
	d->job = j->id;
	d->attempt = j->attempt;
	d->budget_ms = j->deadline > st->now ? (uint32_t)(j->deadline - st->now)
					     : 0;
	d->spec = j->spec;
	peer_send(st, owner, &msg);
}

/*
 * Choose a cell and make the choice durable before it is sent: the next
 * owner of the shard must know where the work may have started.
 */
static void job_place(struct state *st, struct job *j)
{
	struct unit *u = job_choose_cell(st, &j->spec);
	record rec = {.kind = JOURNAL_MOVE};

	if (!u) {
		j->phase = PHASE_UNDISPATCHED;
		j->check_at = st->now + PARKED_MS;
		return;
	}
	job_set_cell(j, &u->id);
	if (!j->shard) {
		job_dispatch(st, j);
		return;
	}
	j->phase = PHASE_CLAIMING;
	j->check_at = INT64_MAX;
	rec.record_u.move = (journal_move){j->id, j->cell, j->attempt};
	shard_append(st, j->shard, &rec);
}

/* Write the claim of a new job, with the cell it goes to if there is one. */
static void job_claim(struct state *st, struct job *j)
{
	struct unit *u = job_choose_cell(st, &j->spec);
	record rec = {.kind = JOURNAL_CLAIM};

	if (u)
		xdr_copy(XDR_PROC(xdr_cell_id), &j->cell, &u->id,
			 sizeof(u->id));
	j->phase = PHASE_CLAIMING;
	j->check_at = st->now + CLAIM_MS;
	rec.record_u.claim = (journal_claim){j->id, j->spec, j->digest, j->cell,
					     j->attempt};
	shard_append(st, j->shard, &rec);
}

/* A submission at its home. */
void job_submit(struct state *st, struct shard *shard, bstr id,
		const job_spec *spec, bstr digest, bstr vm, uint64_t call)
{
	int64_t deadline = st->now + spec->timeout_ms;
	struct job *j = job_find(st, id);

	if (j && j->digest.bstr_len && !bstr_eq(j->digest, digest)) {
		answer_refuse(st, vm, call, 422, COUNT_REFUSED_KEY_REUSED,
			      "the idempotency key was used for another "
			      "request",
			      0);
		return;
	}
	if (j) {
		job_wait(st, j, vm, call, deadline, spec->wait, true);
		return;
	}
	if (shard && !st->platform_up &&
	    st->now - st->platform_answered_at > CLAIM_MS) {
		answer_refuse(st, vm, call, 503, COUNT_REFUSED_PLATFORM,
			      "the platform does not answer, so the work "
			      "can't be claimed; it was not run",
			      RETRY_AFTER_MS * 3);
		return;
	}
	if (HASH_COUNT(st->jobs) - st->finished_count >= CLAIMS_MAX) {
		answer_refuse(st, vm, call, 503, COUNT_REFUSED_OVERLOAD,
			      "too much work is open at this VM; this was "
			      "not run",
			      RETRY_AFTER_MS);
		return;
	}
	effect_count(st, COUNT_ACCEPTED, 1);
	j = job_new(st, id, spec, shard);
	j->digest = bstr_copy(digest);
	job_wait(st, j, vm, call, deadline, spec->wait, true);
	if (shard)
		job_claim(st, j);
	else
		job_place(st, j);
}

/* The claim, or the choice of another cell, is durable. */
void job_claimed(struct state *st, struct job *j)
{
	if (j->phase != PHASE_CLAIMING)
		return;
	if (j->cancelled) {
		job_end_cancelled(st, j);
		return;
	}
	/* No cell was in reach then, so there is none to be asked after it. */
	if (!j->cell.pool.bstr_len) {
		j->phase = PHASE_UNDISPATCHED;
		j->check_at = st->now;
		job_answer_due(st, j);
		return;
	}
	/*
	 * A claim whose answer came only after our lease ended may have been
	 * read by a new owner, who dispatches it: it must not be sent twice.
	 */
	if (!unit_is_active(st, j->shard->unit) || !lease_valid(st)) {
		j->phase = PHASE_DISPATCHED;
		j->sent_at = st->now;
		j->check_at = st->now + CHECK_AGAIN_MS;
		job_answer_due(st, j);
		return;
	}
	job_dispatch(st, j);
	job_answer_due(st, j);
}

/*
 * The claim could not be made durable in time.  If it was certainly not
 * written the job is over: it did not and will not run.  If it may have
 * been, callers are told so, and a retry under the same key finds it.
 */
static void job_claim_late(struct state *st, struct job *j)
{
	struct waiter *w;

	if (shard_withdraw(st, j->shard, j->id)) {
		while ((w = TAILQ_FIRST(&j->waiters)))
			waiter_refuse(st, j, w,
				      "the claim could not be written; the "
				      "work was not run",
				      RETRY_AFTER_MS * 3);
		job_free(st, j);
		return;
	}
	j->check_at = st->now + CHECK_AGAIN_MS;
	while ((w = TAILQ_FIRST(&j->waiters)))
		waiter_refuse_claim(st, j, w);
}

/* Send a query or a cancellation, numbered so that its answer is known. */
static void job_ask(struct state *st, struct job *j, bstr owner,
		    peer_message *msg)
{
	j->query_serial = ++st->next_serial;
	j->query_at = st->now;
	msg->peer_message_u.attempt = (pm_attempt){j->cell, j->id, j->attempt,
						   j->query_serial};
	peer_send(st, owner, msg);
}

/* Cancel: at once if nothing can have started, else through the cell. */
void job_cancel(struct state *st, struct job *j)
{
	peer_message msg = {.kind = PM_CANCEL};

	if (job_is_final(j))
		return;
	j->cancelled = true;
	if (j->phase == PHASE_UNDISPATCHED) {
		job_end_cancelled(st, j);
		return;
	}
	if (j->phase != PHASE_DISPATCHED)
		return;
	job_ask(st, j, j->sent_to, &msg);
	j->check_at = st->now + CHECK_AGAIN_MS;
}

/* Ask the cell's owner what has become of the job. */
static void job_query(struct state *st, struct job *j)
{
	peer_message msg = {.kind = j->cancelled ? PM_CANCEL : PM_QUERY};
	bstr owner = cell_owner(st, &j->cell);

	j->check_at = st->now + CHECK_AGAIN_MS;
	if (!owner.bstr_len)
		return;
	bstr_set(&j->sent_to, owner);
	job_ask(st, j, owner, &msg);
}

/*
 * The cell, with every worker of it fenced, has no trace of the job, so it
 * was not started and can't be any more, but for a dispatch that is still
 * on its way.  That is dead after MESSAGE_EXPIRED_MS, so only the answer to a
 * question asked after that counts: an earlier one may have overtaken the
 * dispatch, and the job would run twice.
 */
static void job_untraced(struct state *st, struct job *j, uint64_t serial)
{
	if (serial != j->query_serial)
		return;
	if (j->query_at - j->sent_at <= MESSAGE_EXPIRED_MS) {
		j->check_at = j->sent_at + MESSAGE_EXPIRED_MS + 1;
		return;
	}
	job_uncount(j);
	if (j->cancelled) {
		job_end_cancelled(st, j);
		return;
	}
	if (st->now >= j->deadline) {
		job_end(st, j, JOB_NOT_RUN, "deadline",
			"its deadline passed before it was started", 0);
		return;
	}
	effect_count(st, COUNT_RETRY_OWNER_CHANGED, 1);
	j->attempt++;
	job_place(st, j);
}

/*
 * May the job be run again after this end?  A cell that adopted the task
 * from an earlier owner does not know whether it may be repeated.
 */
static bool job_repeats(struct state *st, const struct job *j)
{
	return j->spec.may_repeat && !j->cancelled &&
	       j->attempt < st->attempts && st->now < j->deadline &&
	       (bstr_eq_str(j->view.reason, "worker-lost") ||
		bstr_eq_str(j->view.reason, "lease-lapsed"));
}

/* Run it again as a new attempt. */
static void job_repeat(struct state *st, struct job *j, bstr from,
		       const pm_update *m)
{
	job_ack(st, from, m);
	job_uncount(j);
	effect_count(st, COUNT_RETRY_WORKER_LOST, 1);
	j->may_have_run = true;
	j->attempt++;
	j->view.state = JOB_QUEUED;
	job_place(st, j);
}

/*
 * Is an end certainly of no use to anybody, so that the cell may forget it?
 * A home that has been replaced without knowing it must not say so: its
 * successor, finding no trace of the job, would run it again.  So a lease is
 * needed, and no attempt later than our own, which a successor made.
 */
static bool job_disowned(struct state *st, const struct job *j,
			 const pm_update *m)
{
	struct unit *u = unit_of_shard(st, job_shard(m->job));
	bstr vm;

	if (job_id_soft(m->job, &vm)) {
		bstr_free(&vm);
		return true;
	}
	if (!lease_valid(st) || !unit_is_active(st, u) || !u->shard)
		return false;
	return !j || j->phase == PHASE_FINAL ||
	       (m->attempt < j->attempt && j->phase != PHASE_CLAIMING);
}

/* Word from a cell. */
void job_update(struct state *st, bstr from, const pm_update *m)
{
	struct job *j = job_find(st, m->job);

	if (!j || m->attempt != j->attempt || j->phase == PHASE_FINAL) {
		if (m->final && job_disowned(st, j, m))
			job_ack(st, from, m);
		if (j)
			effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	if (j->phase != PHASE_DISPATCHED)
		return;
	bstr_set(&j->sent_to, from);
	if (!m->known) {
		job_untraced(st, j, m->query_id);
		return;
	}
	bstr_set(&j->view.reason, m->view.reason);
	bstr_set(&j->view.detail, m->view.detail);
	bstr_set(&j->view.result, m->view.result);
	bstr_set(&j->view.worker, m->view.worker);
	j->view.state = m->view.state;
	j->view.attempts = m->view.attempts;
	j->view.queued_ms = m->view.queued_ms;
	j->view.ran_ms = m->view.ran_ms;
	j->view.retry_after_ms = m->view.retry_after_ms;
	/* A cell that is being taken over will know more soon. */
	j->check_at = st->now + (j->cancelled || j->view.state == JOB_UNKNOWN
					 ? CHECK_AGAIN_MS
					 : CHECK_MS);
	if (!m->final)
		op_why_job_answer(st, j);
	else if (job_repeats(st, j))
		job_repeat(st, j, from, m);
	else
		job_finish(st, j);
}

/* The VM we sent it to does not own the cell; it did nothing with it. */
void job_unowned(struct state *st, const pm_unowned *m)
{
	struct job *j = job_find(st, m->job);

	if (!j || j->phase != PHASE_DISPATCHED || j->attempt != m->attempt)
		return;
	effect_count(st, COUNT_RETRY_OWNER_CHANGED, 1);
	/*
	 * A dispatch that was refused may go to the cell's next owner; after
	 * a query was refused, that owner has to be asked first.
	 */
	if (m->kind == PM_DISPATCH)
		j->phase = PHASE_UNDISPATCHED;
	j->check_at = st->now + PARKED_MS;
}

/* Messages to a VM may be lost: ask after what it has. */
void jobs_peer_lost(struct state *st, bstr vm)
{
	struct job *j;

	TAILQ_FOREACH(j, &st->active, entry)
		if (j->phase == PHASE_DISPATCHED && bstr_eq(j->sent_to, vm) &&
		    j->check_at > st->now + CHECK_AGAIN_MS)
			j->check_at = st->now + CHECK_AGAIN_MS;
}

/*
 * This process was paused, or its clock has jumped: when a dispatch is dead
 * must be measured anew, or one still on its way would be taken for dead and
 * the job sent a second time.
 */
void jobs_paused(struct state *st)
{
	struct job *j;

	TAILQ_FOREACH(j, &st->active, entry)
		j->sent_at = st->now;
}

/*
 * May this home send the job off without writing anything first?  Not once
 * its lease has ended: a new home may have sent it elsewhere.
 */
static bool job_acts(const struct state *st, const struct job *j)
{
	return !j->shard ||
	       (unit_is_active(st, j->shard->unit) && lease_valid(st));
}

/* What is due for one open job. */
static void job_tick(struct state *st, struct job *j)
{
	job_answer_due(st, j);
	if (j->phase == PHASE_DISPATCHED && j->sent_to.bstr_len &&
	    !bstr_eq(j->sent_to, st->vm) &&
	    j->check_at > st->now + CHECK_AGAIN_MS &&
	    !bstr_eq(j->sent_to, cell_owner(st, &j->cell)))
		j->check_at = st->now + CHECK_AGAIN_MS;
	if (st->now < j->check_at)
		return;
	switch (j->phase) {
	case PHASE_CLAIMING:
		if (j->shard && j->attempt == 1)
			job_claim_late(st, j);
		break;
	case PHASE_UNDISPATCHED:
		if (st->now >= j->deadline)
			job_end(st, j, JOB_NOT_RUN, "deadline",
				"no cell of the pool could take it in time", 0);
		else if (j->cell.pool.bstr_len && job_acts(st, j) &&
			 cell_owner(st, &j->cell).bstr_len)
			job_dispatch(st, j);
		else if (j->cell.pool.bstr_len && !job_acts(st, j))
			break;
		else
			job_place(st, j);
		break;
	case PHASE_DISPATCHED:
		job_query(st, j);
		break;
	case PHASE_ENDING:
	case PHASE_FINAL:
		break;
	}
}

/* Look after open jobs; forget final ones after their retention. */
void jobs_tick(struct state *st)
{
	struct job *j, *next;

	for (j = TAILQ_FIRST(&st->active); j; j = next) {
		next = TAILQ_NEXT(j, entry);
		job_tick(st, j);
	}
	while ((j = TAILQ_FIRST(&st->finished)) && st->now >= j->expire_at)
		job_free(st, j);
}
