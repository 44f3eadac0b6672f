/*
 * A job at its home: submission, dispatch to a cell, queries to that cell,
 * retries and the final answer.  A job that must survive its home is recorded
 * in the shard's journal before it is dispatched.
 */
#include "reduce.h"

#include <stdlib.h>

/* A claim that is not durable after this is withdrawn, if that is safe. */
#define CLAIM_TIMEOUT_MS 1500
/* Interval between queries to a cell about a dispatched job. */
#define CHECK_INTERVAL_MS 15000
/* The same while it is cancelled, uncertain or its cell changes owner. */
#define CHECK_RETRY_MS 500
/* Interval between attempts to find a cell for a job. */
#define DISPATCH_RETRY_MS 200
/* Submissions are refused while this many jobs are not final. */
#define ACTIVE_JOBS_MAX 20000

/* Returns the shard that a job id hashes to. */
uint32_t job_shard(bstr id)
{
	bstr base = bstr_ref(id.bstr_val, id.bstr_len < JOB_ID_LEN
						  ? id.bstr_len
						  : JOB_ID_LEN);

	return (uint32_t)(hash64(base, BSTR_NONE) % SHARD_COUNT);
}

/*
 * Returns true if the id is that of a soft job, and sets *vm to a copy of the
 * VM that it names, which the caller frees.
 */
bool job_id_is_soft(bstr id, bstr *vm)
{
	*vm = BSTR_NONE;
	if (id.bstr_len <= JOB_ID_LEN + 1 || id.bstr_val[JOB_ID_LEN] != '.')
		return false;
	*vm = bstr_from_bytes(id.bstr_val + JOB_ID_LEN + 1,
			      id.bstr_len - JOB_ID_LEN - 1);
	return true;
}

/* Returns the job if its home is this VM, else NULL. */
struct job *job_find(struct state *st, bstr id)
{
	struct job *j;

	HASH_FIND_BSTR(st->jobs, id, j);
	return j;
}

/* Adds an active job whose home is this VM.  shard is NULL for a soft job. */
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

void job_set_cell(struct job *j, const cell_id *cell)
{
	xdr_free(XDR_PROC(xdr_cell_id), (char *)&j->cell);
	xdr_copy(XDR_PROC(xdr_cell_id), &j->cell, cell, sizeof(*cell));
}

/* Stops counting the job in the sent_jobs of its cell. */
static void job_uncount(struct job *j)
{
	if (j->counted_by)
		j->counted_by->sent_jobs--;
	j->counted_by = NULL;
}

/* Removes a job, with its waiters, and frees it. */
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

/* Returns true if the job's result is decided, durable or not. */
bool job_is_final(const struct job *j)
{
	return j->phase == PHASE_ENDING || j->phase == PHASE_FINAL;
}

/*
 * Returns true if the final answer may be given to callers.  "Not run" must be
 * durable first.  A home that has been replaced without noticing it can't
 * write that record; if it answered "not run" anyway, its successor would find
 * no record of the job in a cell whose owner has changed too, and would run it.
 */
bool job_final_ready(const struct job *j)
{
	return j->phase == PHASE_FINAL ||
	       (j->phase == PHASE_ENDING &&
		(!j->shard || j->view.state != JOB_NOT_RUN));
}

/* Counts a final job by its state. */
static void job_count_final(struct state *st, const struct job *j)
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

/* Acknowledges a cell's final update, so that the cell stops repeating it. */
static void job_ack(struct state *st, bstr to, const pm_update *m)
{
	peer_message msg = {.kind = PM_ACK};

	msg.peer_message_u.attempt = (pm_attempt){m->cell, m->job, m->attempt,
						  0};
	peer_send(st, to, &msg);
}

/*
 * Called when a job's final record is durable (at once for a soft job).  The
 * job is removed after the retention time.
 */
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
	job_answer_waiters(st, j);
	op_why_job_answer(st, j);
	if (j->sent_to.bstr_len)
		job_ack(st, j->sent_to, &m);
}

/*
 * Ends a job with the result in its view.  Callers get the answer at once,
 * unless it is "not run".  The cell gets its acknowledgement only when the
 * final record is durable: until then, a new owner of the shard can still get
 * the result from the cell.
 */
static void job_finish(struct state *st, struct job *j)
{
	journal_record rec = {.kind = JOURNAL_FINAL};

	/* The last attempt did not run, but an earlier one may have. */
	if (j->may_have_run && j->view.state == JOB_NOT_RUN) {
		j->view.state = JOB_UNKNOWN;
		bstr_set(&j->view.detail,
			 bstr_lit("an earlier attempt was started and did not "
				  "finish; no other was"));
	}
	job_uncount(j);
	j->phase = PHASE_ENDING;
	job_count_final(st, j);
	job_answer_waiters(st, j);
	if (!j->shard) {
		job_final_durable(st, j);
		return;
	}
	rec.journal_record_u.final = j->view;
	shard_append(st, j->shard, &rec);
}

/* Ends a job by decision of its home, without an update from a cell. */
static void job_end(struct state *st, struct job *j, job_state state,
		    const char *reason, const char *detail, uint32_t retry)
{
	j->view.state = state;
	bstr_set(&j->view.reason, bstr_lit(reason));
	bstr_set(&j->view.detail, bstr_lit(detail));
	j->view.retry_after_ms = retry;
	job_finish(st, j);
}

/* Ends a job that was cancelled and never started. */
static void job_end_cancelled(struct state *st, struct job *j)
{
	job_end(st, j, JOB_NOT_RUN, "cancelled",
		"cancelled before it was started", 0);
}

/* Returns the number of slots of a cell's active VMs. */
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
 * Returns the owner of a cell, or empty if it can't be reached.  A cell that
 * this VM owns stays its own until another VM has claimed its row: while the
 * platform is down all leases have expired, so a choice among the holders of
 * valid leases would never name this VM.
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
 * Returns the cell with the fewest jobs per slot, counting the jobs sent from
 * this VM, with a slight preference for its own data centre.  Returns NULL if
 * no cell of the pool can be reached.
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

/* Sends the job to its cell's owner. */
static void job_dispatch(struct state *st, struct job *j)
{
	peer_message msg = {.kind = PM_DISPATCH};
	pm_dispatch *d = &msg.peer_message_u.dispatch;
	struct unit *u = unit_of_cell(st, &j->cell);
	bstr owner = cell_owner(st, &j->cell);

	if (!u || !owner.bstr_len) {
		j->phase = PHASE_UNDISPATCHED;
		j->check_at = st->now + DISPATCH_RETRY_MS;
		return;
	}
	if (!j->counted_by) {
		j->counted_by = u;
		u->sent_jobs++;
	}
	j->phase = PHASE_DISPATCHED;
	j->sent_at = st->now;
	j->check_at = st->now + CHECK_INTERVAL_MS;
	bstr_set(&j->sent_to, owner);
	d->cell = j->cell;
	d->job = j->id;
	d->attempt = j->attempt;
	d->remaining_ms = j->deadline > st->now
				  ? (uint32_t)(j->deadline - st->now)
				  : 0;
	d->spec = j->spec;
	peer_send(st, owner, &msg);
}

/*
 * Chooses a cell for the job.  The choice must be durable before the job is
 * dispatched, so that the next owner of the shard knows which cell may have
 * started it.
 */
static void job_place(struct state *st, struct job *j)
{
	struct unit *u = job_choose_cell(st, &j->spec);
	journal_record rec = {.kind = JOURNAL_MOVE};

	if (!u) {
		j->phase = PHASE_UNDISPATCHED;
		j->check_at = st->now + DISPATCH_RETRY_MS;
		return;
	}
	job_set_cell(j, &u->id);
	if (!j->shard) {
		job_dispatch(st, j);
		return;
	}
	j->phase = PHASE_CLAIMING;
	j->check_at = INT64_MAX;
	rec.journal_record_u.move = (journal_move){j->id, j->cell, j->attempt};
	shard_append(st, j->shard, &rec);
}

/* Records a new job, with the chosen cell if one can be reached. */
static void job_claim(struct state *st, struct job *j)
{
	struct unit *u = job_choose_cell(st, &j->spec);
	journal_record rec = {.kind = JOURNAL_CLAIM};

	if (u)
		xdr_copy(XDR_PROC(xdr_cell_id), &j->cell, &u->id,
			 sizeof(u->id));
	j->phase = PHASE_CLAIMING;
	j->check_at = st->now + CLAIM_TIMEOUT_MS;
	rec.journal_record_u.claim = (journal_claim){j->id, j->spec, j->digest,
						     j->cell, j->attempt};
	shard_append(st, j->shard, &rec);
}

/*
 * Handles a submission at the job's home.  A repeated submission waits for the
 * job that exists already.
 */
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
	    st->now - st->platform_answered_at > CLAIM_TIMEOUT_MS) {
		answer_refuse(st, vm, call, 503, COUNT_REFUSED_PLATFORM,
			      "the platform does not answer, so the work "
			      "can't be claimed; it was not run",
			      RETRY_AFTER_MS * 3);
		return;
	}
	if (HASH_COUNT(st->jobs) - st->finished_count >= ACTIVE_JOBS_MAX) {
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

/* Called when the record of a job's claim, or of its new cell, is durable. */
void job_claimed(struct state *st, struct job *j)
{
	if (j->phase != PHASE_CLAIMING)
		return;
	if (j->cancelled) {
		job_end_cancelled(st, j);
		return;
	}
	/* No cell was chosen at the claim, so none can have started it. */
	if (!j->cell.pool.bstr_len) {
		j->phase = PHASE_UNDISPATCHED;
		j->check_at = st->now;
		job_answer_waiters(st, j);
		return;
	}
	/*
	 * If the commit was confirmed only after this VM's lease expired, a
	 * new owner may have read the record and dispatched the job.  It must
	 * not be dispatched twice, so the cell is queried first.
	 */
	if (!unit_is_active(st, j->shard->unit) || !lease_valid(st)) {
		j->phase = PHASE_DISPATCHED;
		j->sent_at = st->now;
		j->check_at = st->now + CHECK_RETRY_MS;
		job_answer_waiters(st, j);
		return;
	}
	job_dispatch(st, j);
	job_answer_waiters(st, j);
}

/*
 * Handles a claim that did not become durable in time.  If it was certainly
 * not written, the job is removed: it did not run and never will.  If it may
 * have been written, callers are told so; a retry with the same idempotency
 * key finds the job.
 */
static void job_claim_timeout(struct state *st, struct job *j)
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
	j->check_at = st->now + CHECK_RETRY_MS;
	while ((w = TAILQ_FIRST(&j->waiters)))
		waiter_refuse_claim(st, j, w);
}

/* Sends a query or cancellation, with a serial that its answer repeats. */
static void job_send_query(struct state *st, struct job *j, bstr owner,
			   peer_message *msg)
{
	j->query_serial = ++st->next_serial;
	j->query_at = st->now;
	msg->peer_message_u.attempt = (pm_attempt){j->cell, j->id, j->attempt,
						   j->query_serial};
	peer_send(st, owner, msg);
}

/* Cancels a job: at once if it can't have started, else through its cell. */
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
	job_send_query(st, j, j->sent_to, &msg);
	j->check_at = st->now + CHECK_RETRY_MS;
}

/* Queries the cell's owner for the state of the job. */
static void job_query(struct state *st, struct job *j)
{
	peer_message msg = {.kind = j->cancelled ? PM_CANCEL : PM_QUERY};
	bstr owner = cell_owner(st, &j->cell);

	j->check_at = st->now + CHECK_RETRY_MS;
	if (!owner.bstr_len)
		return;
	bstr_set(&j->sent_to, owner);
	job_send_query(st, j, owner, &msg);
}

/*
 * Handles an update that says that the cell has no record of the job although
 * all of its workers are fenced.  The job was not started, and only a dispatch
 * that is still in transit could start it.  A dispatch is rejected once it is
 * older than MESSAGE_EXPIRED_MS, so only the answer to a query sent after that
 * time counts.  An earlier query may have overtaken the dispatch, and the job
 * would run twice.
 */
static void job_unknown_to_cell(struct state *st, struct job *j,
				uint64_t serial)
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
 * Returns true if the job may be run again after it ended in its cell.  The
 * home decides this, because a cell that adopted the task from an earlier
 * owner has no job spec and does not know whether it may be repeated.
 */
static bool job_is_retryable(struct state *st, const struct job *j)
{
	return j->spec.may_repeat && !j->cancelled &&
	       j->attempt < st->attempts && st->now < j->deadline &&
	       (bstr_eq_str(j->view.reason, "worker-lost") ||
		bstr_eq_str(j->view.reason, "lease-lapsed"));
}

/* Starts a new attempt of a job whose latest attempt was lost. */
static void job_retry(struct state *st, struct job *j, bstr from,
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
 * Returns true if no home needs a cell's final update any more, so that the
 * cell may drop it.  A home that has been replaced without noticing it must
 * not acknowledge the update: its successor would find no record of the job in
 * the cell and run it again.  So the home needs a valid lease, and the update
 * must not be of a later attempt than its own, which a successor has made.
 */
static bool job_update_is_obsolete(struct state *st, const struct job *j,
				   const pm_update *m)
{
	struct unit *u = unit_of_shard(st, job_shard(m->job));
	bstr vm;

	if (job_id_is_soft(m->job, &vm)) {
		bstr_free(&vm);
		return true;
	}
	if (!lease_valid(st) || !unit_is_active(st, u) || !u->shard)
		return false;
	return !j || j->phase == PHASE_FINAL ||
	       (m->attempt < j->attempt && j->phase != PHASE_CLAIMING);
}

/* Handles a cell's update about an attempt of a job. */
void job_update(struct state *st, bstr from, const pm_update *m)
{
	struct job *j = job_find(st, m->job);

	if (!j || m->attempt != j->attempt || j->phase == PHASE_FINAL) {
		if (m->final && job_update_is_obsolete(st, j, m))
			job_ack(st, from, m);
		if (j)
			effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	if (j->phase != PHASE_DISPATCHED)
		return;
	bstr_set(&j->sent_to, from);
	if (!m->known) {
		job_unknown_to_cell(st, j, m->query_id);
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
	/* The state is unknown while a cell's owner changes: ask again soon. */
	j->check_at = st->now + (j->cancelled || j->view.state == JOB_UNKNOWN
					 ? CHECK_RETRY_MS
					 : CHECK_INTERVAL_MS);
	if (!m->final)
		op_why_job_answer(st, j);
	else if (job_is_retryable(st, j))
		job_retry(st, j, from, m);
	else
		job_finish(st, j);
}

/* Handles the reply that a VM does not own the cell and ignored a message. */
void job_unowned(struct state *st, const pm_unowned *m)
{
	struct job *j = job_find(st, m->job);

	if (!j || j->phase != PHASE_DISPATCHED || j->attempt != m->attempt)
		return;
	effect_count(st, COUNT_RETRY_OWNER_CHANGED, 1);
	/*
	 * After a refused dispatch, the job can be dispatched to the cell's
	 * new owner.  After a refused query, the new owner has to be queried
	 * first, because the job may have been started.
	 */
	if (m->kind == PM_DISPATCH)
		j->phase = PHASE_UNDISPATCHED;
	j->check_at = st->now + DISPATCH_RETRY_MS;
}

/* Has the jobs of a VM queried soon, as messages to it may have been lost. */
void jobs_peer_lost(struct state *st, bstr vm)
{
	struct job *j;

	TAILQ_FOREACH(j, &st->active, entry)
		if (j->phase == PHASE_DISPATCHED && bstr_eq(j->sent_to, vm) &&
		    j->check_at > st->now + CHECK_RETRY_MS)
			j->check_at = st->now + CHECK_RETRY_MS;
}

/*
 * Called when the process was paused or its clock has jumped.  The age of all
 * dispatches is measured from now on; otherwise a dispatch that is still in
 * transit would seem expired and the job would be dispatched a second time.
 */
void jobs_paused(struct state *st)
{
	struct job *j;

	TAILQ_FOREACH(j, &st->active, entry)
		j->sent_at = st->now;
}

/*
 * Returns true if the home may dispatch the job without a journal write.  It
 * may not once its lease has expired, because a new home may have dispatched
 * the job to another cell.
 */
static bool job_may_dispatch(const struct state *st, const struct job *j)
{
	return !j->shard ||
	       (unit_is_active(st, j->shard->unit) && lease_valid(st));
}

/* Does what is due for one active job. */
static void job_tick(struct state *st, struct job *j)
{
	job_answer_waiters(st, j);
	if (j->phase == PHASE_DISPATCHED && j->sent_to.bstr_len &&
	    !bstr_eq(j->sent_to, st->vm) &&
	    j->check_at > st->now + CHECK_RETRY_MS &&
	    !bstr_eq(j->sent_to, cell_owner(st, &j->cell)))
		j->check_at = st->now + CHECK_RETRY_MS;
	if (st->now < j->check_at)
		return;
	switch (j->phase) {
	case PHASE_CLAIMING:
		if (j->shard && j->attempt == 1)
			job_claim_timeout(st, j);
		break;
	case PHASE_UNDISPATCHED:
		if (st->now >= j->deadline)
			job_end(st, j, JOB_NOT_RUN, "deadline",
				"no cell of the pool could take it in time", 0);
		else if (j->cell.pool.bstr_len && job_may_dispatch(st, j) &&
			 cell_owner(st, &j->cell).bstr_len)
			job_dispatch(st, j);
		else if (j->cell.pool.bstr_len && !job_may_dispatch(st, j))
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

/* Does what is due for active jobs; removes final ones after retention. */
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
