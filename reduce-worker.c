/*
 * Exchanges with the workers of a cell.  A worker is watched by a long poll
 * for changes of its tasks, and sent commands that start and control tasks.
 * Both renew the leases of its tasks.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* Delay before a worker that failed or refused an exchange is used again. */
#define WATCH_BACKOFF_MS 500
/* Delay before the next full list when one did not settle all starts. */
#define FULL_RETRY_MS 100
/* Added to the task lease before the tasks of a silent worker count as lost. */
#define LEASE_MARGIN_MS 1000
/* How long a suspect worker gets no new tasks. */
#define SET_ASIDE_MS 30000
/* At most 1/SET_ASIDE_DIVISOR of a cell's workers are set aside. */
#define SET_ASIDE_DIVISOR 4
/* TASK_FORGET orders wait this long, so that several share a command. */
#define FORGET_DELAY_MS 200
#define REBOOT_RETRY_MS 5000

/* Allocates the worker of a VM that belongs to the cell's pool. */
static struct worker *worker_new(struct state *st, struct cell *c,
				 const vm_row *row)
{
	struct worker *w = xcalloc(1, sizeof(*w));

	w->cell = c;
	w->vm = bstr_copy(row->vm);
	w->address = bstr_copy(row->address);
	w->answered_at = st->now;
	w->renewed_at = st->now;
	TAILQ_INIT(&w->orders);
	TAILQ_INIT(&w->tasks);
	TAILQ_INIT(&w->unconfirmed);
	HASH_ADD_BSTR(c->workers, vm, w);
	return w;
}

/* Frees an unconfirmed start, so that it no longer counts for its team. */
static void unconfirmed_free(struct worker *w, struct unconfirmed_start *u)
{
	TAILQ_REMOVE(&w->unconfirmed, u, entry);
	w->unconfirmed_count--;
	u->team->unconfirmed--;
	bstr_free(&u->task);
	free(u);
}

/* Frees a worker, which must have no tasks left. */
void worker_free(struct cell *c, struct worker *w)
{
	struct unconfirmed_start *u;
	struct order *o;

	while ((u = TAILQ_FIRST(&w->unconfirmed)))
		unconfirmed_free(w, u);
	while ((o = TAILQ_FIRST(&w->orders))) {
		TAILQ_REMOVE(&w->orders, o, entry);
		xdr_free(XDR_PROC(xdr_task_order), (char *)&o->body);
		free(o);
	}
	HASH_DEL(c->workers, w);
	bstr_free(&w->vm);
	bstr_free(&w->address);
	bstr_free(&w->boot_id);
	free(w);
}

/* Removes an unconfirmed start, if present: the worker reported its outcome. */
void worker_confirm_ended(struct worker *w, bstr task)
{
	struct unconfirmed_start *u;

	TAILQ_FOREACH(u, &w->unconfirmed, entry) {
		if (!bstr_eq(u->task, task))
			continue;
		unconfirmed_free(w, u);
		return;
	}
}

/*
 * Records that a start may still run on a worker; it counts against the upper
 * limit of its team until the worker reports its outcome.
 */
void worker_add_unconfirmed(struct worker *w, bstr task, struct cell_team *team)
{
	struct unconfirmed_start *u;

	TAILQ_FOREACH(u, &w->unconfirmed, entry)
		if (bstr_eq(u->task, task))
			return;
	u = xcalloc(1, sizeof(*u));
	u->task = bstr_copy(task);
	u->team = team;
	team->unconfirmed++;
	w->unconfirmed_count++;
	TAILQ_INSERT_TAIL(&w->unconfirmed, u, entry);
}

/* Queues an order about a task for the next command, unless it is queued. */
void worker_order(struct state *st, struct worker *w, bstr task, task_verb verb)
{
	struct order *o;

	TAILQ_FOREACH(o, &w->orders, entry)
		if (o->body.verb == verb && bstr_eq(o->body.task, task))
			return;
	o = xcalloc(1, sizeof(*o));
	o->body.task = bstr_copy(task);
	o->body.verb = verb;
	TAILQ_INSERT_TAIL(&w->orders, o, entry);
	/* TASK_FORGET is not urgent, so several share a command. */
	if (verb != TASK_FORGET)
		w->cell->dirty = true;
	else if (w->command_at < st->now)
		w->command_at = st->now + FORGET_DELAY_MS;
}

/*
 * Returns true if a worker can be given new tasks.  Checks the VM's current
 * row, because the VM may have moved since the tick that set listed: it would
 * be active in its new pool and run a task of this cell there.
 */
bool worker_usable(const struct state *st, const struct worker *w)
{
	const cell_id *id = &w->cell->unit->id;
	struct vm *v = vm_find((struct state *)st, w->vm);

	return v && bstr_eq(v->row.pool, id->pool) &&
	       bstr_eq(v->row.dc, id->dc) && v->row.state == VM_ACTIVE &&
	       w->listed && w->fenced && !w->silent && !w->leaving &&
	       st->now >= w->set_aside_until &&
	       !vm_leaving((struct state *)st, w->vm);
}

/*
 * Returns the task lease to grant in an exchange.  A silent worker is granted
 * only the rest of its latest lease.  If it received requests with full leases
 * that it can't answer, its tasks would run for ever, and this VM could never
 * tell that they have ended.
 */
static uint32_t worker_lease_ms(const struct state *st, const struct worker *w)
{
	int64_t left = w->renewed_at + st->task_lease_ms - st->now;

	if (!w->silent)
		return st->task_lease_ms;
	return left > 1 ? (uint32_t)left : 1;
}

/*
 * Emits a request that renews the leases of a worker's tasks.  The caller adds
 * the fields of a watch or a command.
 */
static fx_worker *worker_exchange(struct state *st, struct worker *w,
				  bool watch)
{
	struct request *rq = request_new(st, watch ? REQ_WATCH : REQ_COMMAND,
					 w->vm);
	effect *fx = effect_add(st, FX_WORKER);
	fx_worker *x = &fx->effect_u.worker;

	x->req = rq->id;
	x->vm = bstr_copy(w->vm);
	x->address = bstr_copy(w->address);
	x->cell.pool = bstr_copy(w->cell->unit->id.pool);
	x->cell.dc = bstr_copy(w->cell->unit->id.dc);
	x->epoch = w->cell->unit->epoch;
	x->lease_ms = worker_lease_ms(st, w);
	x->watch = watch;
	if (!w->silent)
		w->renewed_at = st->now;
	if (watch)
		w->watch_request = rq->id;
	else
		w->command_request = rq->id;
	return x;
}

/*
 * Returns true if a worker belongs to this cell, or still has tasks, starts or
 * orders of it.
 */
static bool worker_in_use(const struct worker *w)
{
	return w->listed || !TAILQ_EMPTY(&w->tasks) ||
	       !TAILQ_EMPTY(&w->unconfirmed) || !TAILQ_EMPTY(&w->orders);
}

/*
 * Sends a watch.  Asks for a full list of tasks if the position in the worker's
 * reports is unknown, as it is for a silent worker.
 */
static void worker_watch(struct state *st, struct worker *w)
{
	fx_worker *x = worker_exchange(st, w, true);

	w->watch_full = !w->seq;
	w->watch_sent_at = st->now;
	x->since = w->seq;
	x->wait_ms = w->watch_full || w->silent ? 0 : st->watch_ms;
}

/*
 * Returns true if a task's start has not been sent and the worker's boot is
 * recorded, so that it can be sent.
 */
static bool start_due(const struct worker *w, const struct task *t)
{
	return t->unsent && boot_recorded(w);
}

/* Adds all starts that are due to a command. */
static void command_starts(struct state *st, struct worker *w, fx_worker *x)
{
	task_start *s;
	struct task *t;
	u_int n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		n += start_due(w, t);
	if (!n)
		return;
	x->starts.starts_val = xcalloc(n, sizeof(*s));
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!start_due(w, t))
			continue;
		t->unsent = false;
		t->may_have_started = true;
		t->start_request = x->req;
		s = &x->starts.starts_val[x->starts.starts_len++];
		s->task = bstr_copy(t->id);
		s->payload = bstr_copy(t->spec.payload);
		s->checkpoint = bstr_copy(t->checkpoint);
		s->start_by_ms = TASK_START_BY_MS;
		s->cpu_milli = t->spec.cpu_milli;
		s->memory_mb = t->spec.memory_mb;
		s->accelerators = t->spec.accelerators;
	}
	(void)st;
}

/* Adds all queued orders to a command.  They stay queued until it succeeds. */
static void command_orders(struct worker *w, fx_worker *x)
{
	struct order *o;
	u_int n = 0;

	TAILQ_FOREACH(o, &w->orders, entry)
		n++;
	if (!n)
		return;
	x->orders.orders_val = xcalloc(n, sizeof(task_order));
	TAILQ_FOREACH(o, &w->orders, entry) {
		o->request = x->req;
		xdr_copy(XDR_PROC(xdr_task_order),
			 &x->orders.orders_val[x->orders.orders_len++],
			 &o->body, sizeof(task_order));
	}
}

/* Returns true if a start or an order is due for a worker. */
static bool worker_has_work(const struct state *st, const struct worker *w)
{
	const struct order *o;
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (start_due(w, t))
			return true;
	TAILQ_FOREACH(o, &w->orders, entry)
		if (o->body.verb != TASK_FORGET || st->now >= w->command_at)
			return true;
	return false;
}

/* Sends a command with all that is due, unless one is outstanding. */
void worker_flush(struct state *st, struct worker *w)
{
	fx_worker *x;

	if (w->command_request || w->silent || !w->fenced ||
	    !worker_has_work(st, w))
		return;
	x = worker_exchange(st, w, false);
	command_starts(st, w, x);
	command_orders(w, x);
	effect_count(st, COUNT_WORKER_EXCHANGES, 1);
}

/*
 * Requeues the starts of a command that the worker certainly did not execute.
 */
static void command_not_executed(struct state *st, struct worker *w,
				 uint64_t req)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->phase != TASK_STARTING || t->start_request != req ||
		    t->unsent)
			continue;
		t->may_have_started = t->may_have_started_before;
		task_requeue(st, w->cell, t);
	}
}

/* Removes the orders that a successful command carried. */
static void command_executed(struct worker *w, uint64_t req)
{
	struct order *o, *next;

	for (o = TAILQ_FIRST(&w->orders); o; o = next) {
		next = TAILQ_NEXT(o, entry);
		if (o->request != req)
			continue;
		TAILQ_REMOVE(&w->orders, o, entry);
		xdr_free(XDR_PROC(xdr_task_order), (char *)&o->body);
		free(o);
	}
}

/*
 * Marks a worker that did not answer as silent.  It gets no new tasks, and is
 * polled for all its tasks until it answers or their leases have expired.
 */
static void worker_mark_silent(struct state *st, struct worker *w)
{
	if (!w->silent)
		effect_log(st, LOG_WORKER_SILENT, "%.*s", BSTR_ARG(w->vm));
	w->silent = true;
	w->seq = 0;
	w->watch_at = st->now + WATCH_BACKOFF_MS;
	w->cell->dirty = true;
}

/*
 * Handles all tasks of a worker as lost.  may_run: a start that the worker has
 * received may still run there, so it stays counted as unconfirmed.
 */
static void worker_lose_tasks(struct state *st, struct worker *w, bool may_run)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->phase != TASK_STARTING && t->phase != TASK_ON_WORKER)
			continue;
		if (t->unsent) {
			task_requeue(st, w->cell, t);
			continue;
		}
		/*
		 * A command in flight may still arrive, or its start may
		 * already run under the new boot.
		 */
		if (may_run || t->phase == TASK_STARTING)
			worker_add_unconfirmed(w, t->id, t->team);
		task_lost(st, w->cell, t);
	}
}

/*
 * Handles the tasks of a worker as lost once it has been silent for longer than
 * their leases.  The worker has stopped them by then if its clock runs.  It may
 * be frozen with a start that it has not executed yet, so the starts continue
 * to count against the upper limits.
 */
static void worker_check_lost(struct state *st, struct worker *w)
{
	if (!w->silent || w->lost ||
	    st->now < w->renewed_at + (int64_t)st->task_lease_ms +
			      LEASE_MARGIN_MS)
		return;
	w->lost = true;
	worker_lose_tasks(st, w, true);
}

/*
 * Reconciles the tasks of a worker with its full list: a task that is not
 * listed is gone.  Returns false if the list was requested before a command
 * ended: it then says nothing about the starts of that command, and another
 * list is needed.
 */
static bool worker_reconcile(struct state *st, struct worker *w,
			     const ev_worker *ev)
{
	struct task *t, *next;
	bool settled = true;
	struct unconfirmed_start *u;
	u_int i;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		t->in_full_list = false;
	for (i = 0; i < ev->tasks.tasks_len; i++) {
		TAILQ_FOREACH(t, &w->tasks, worker_entry)
			if (bstr_eq(t->id, ev->tasks.tasks_val[i].task))
				t->in_full_list = true;
	}
	/*
	 * A frozen worker may still have to read a start.  TASK_STOP makes it
	 * refuse that start; its report on the task, in whatever state,
	 * removes the unconfirmed start.
	 */
	TAILQ_FOREACH(u, &w->unconfirmed, entry)
		worker_order(st, w, u->task, TASK_STOP);
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->in_full_list || t->unsent || t->phase == TASK_ENDED)
			continue;
		/*
		 * The command of this start got no answer and the worker does
		 * not list the task, but the command may still arrive.
		 * Sending the same start again resolves it, as starts are
		 * idempotent by their id.
		 */
		if (t->phase == TASK_STARTING && !w->command_request &&
		    w->command_ended_at < w->watch_sent_at)
			t->unsent = true;
		else if (t->phase == TASK_STARTING)
			settled = false;
		/* The list may be older than the report that it runs. */
		if (t->phase == TASK_ON_WORKER &&
		    t->running_seen_at < w->watch_sent_at)
			task_lost(st, w->cell, t);
	}
	w->cell->dirty = true;
	return settled;
}

/*
 * Updates a worker that has answered and so accepted this VM's epoch.  Returns
 * true if it has restarted since its previous answer and thereby lost its
 * tasks.
 */
static bool worker_answered(struct state *st, struct worker *w,
			    const ev_worker *ev)
{
	bool restarted = w->boot_id.bstr_len &&
			 !bstr_eq(w->boot_id, ev->boot_id);

	if (!w->fenced || w->silent)
		effect_log(st, LOG_WORKER_SEEN, "%.*s", BSTR_ARG(w->vm));
	if (!w->fenced || w->silent || w->leaving != ev->leaving)
		w->cell->dirty = true;
	w->fenced = true;
	w->silent = w->lost = w->dead = false;
	w->leaving = ev->leaving;
	w->answered_at = st->now;
	bstr_set(&w->boot_id, ev->boot_id);
	if (!restarted)
		return false;
	effect_log(st, LOG_WORKER_RESTARTED, "%.*s", BSTR_ARG(w->vm));
	worker_lose_tasks(st, w, false);
	w->seq = 0;
	return true;
}

/* Handles the task reports of an answer. */
static void worker_handle_answer(struct state *st, struct worker *w,
				 const ev_worker *ev, bool watch)
{
	bool restarted = worker_answered(st, w, ev);
	u_int i;

	for (i = 0; i < ev->tasks.tasks_len; i++)
		task_report_handle(st, w->cell, w, &ev->tasks.tasks_val[i]);
	if (!watch || restarted)
		return;
	/* While seq is 0, a full list is wanted, and only that advances it. */
	if (w->watch_full ? worker_reconcile(st, w, ev) : w->seq != 0)
		w->seq = ev->seq ? ev->seq : 1;
	else if (w->watch_full)
		w->watch_at = st->now + FULL_RETRY_MS;
}

/*
 * Handles that a worker has seen a higher epoch, so the cell has another owner:
 * the unit's row is read before this VM acts as its owner again.
 */
static void worker_epoch_stale(struct state *st, struct worker *w,
			       const ev_worker *ev)
{
	effect_log(st, LOG_WORKER_STALE, "%.*s knows epoch %llu, ours is %llu",
		   BSTR_ARG(w->vm), (unsigned long long)ev->epoch,
		   (unsigned long long)w->cell->unit->epoch);
	effect_count(st, COUNT_DROPPED_STALE_EPOCH, 1);
	w->cell->unit->unverified = true;
	w->watch_at = st->now + WATCH_BACKOFF_MS;
}

/* Handles the outcome of a command. */
static void command_event(struct state *st, struct worker *w, uint64_t req,
			  const ev_worker *ev)
{
	w->command_request = 0;
	w->command_ended_at = st->now;
	switch (ev->outcome) {
	case WORKER_OK:
		command_executed(w, req);
		worker_handle_answer(st, w, ev, false);
		break;
	case WORKER_STALE:
		effect_count(st, COUNT_RETRY_WORKER_STALE, 1);
		command_not_executed(st, w, req);
		worker_epoch_stale(st, w, ev);
		break;
	case WORKER_NOT_SENT:
		effect_count(st, COUNT_RETRY_WORKER_NOT_SENT, 1);
		command_not_executed(st, w, req);
		worker_mark_silent(st, w);
		break;
	case WORKER_BUSY:
		effect_count(st, COUNT_RETRY_WORKER_BUSY, 1);
		command_not_executed(st, w, req);
		w->set_aside_until = st->now + WATCH_BACKOFF_MS;
		break;
	case WORKER_NO_ANSWER:
	case WORKER_INVALID:
		effect_count(st, COUNT_RETRY_WORKER_NO_ANSWER, 1);
		worker_mark_silent(st, w);
		break;
	}
}

/* Handles the outcome of a watch, and sends the next one if it is due. */
static void watch_event(struct state *st, struct worker *w, const ev_worker *ev)
{
	w->watch_request = 0;
	switch (ev->outcome) {
	case WORKER_OK:
		w->watch_at = st->now;
		worker_handle_answer(st, w, ev, true);
		break;
	case WORKER_STALE:
		worker_epoch_stale(st, w, ev);
		break;
	case WORKER_BUSY:
		w->watch_at = st->now + WATCH_BACKOFF_MS;
		break;
	case WORKER_NOT_SENT:
	case WORKER_NO_ANSWER:
	case WORKER_INVALID:
		worker_mark_silent(st, w);
		break;
	}
	if (st->now >= w->watch_at && worker_in_use(w))
		worker_watch(st, w);
}

/* Handles the end of an exchange with a worker. */
void worker_event(struct state *st, const ev_worker *ev)
{
	struct request *rq = request_find(st, ev->req);
	struct unit *u, *next;
	struct worker *w;
	bool watch;

	if (!rq || (rq->kind != REQ_WATCH && rq->kind != REQ_COMMAND)) {
		effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	watch = rq->kind == REQ_WATCH;
	request_free(st, rq);
	HASH_ITER(hh, st->units, u, next) {
		if (!u->cell)
			continue;
		HASH_FIND_BSTR(u->cell->workers, ev->vm, w);
		if (!w ||
		    (watch ? w->watch_request : w->command_request) != ev->req)
			continue;
		if (watch)
			watch_event(st, w, ev);
		else
			command_event(st, w, ev->req, ev);
		return;
	}
	/* The cell is no longer ours. */
	effect_count(st, COUNT_DROPPED_LATE, 1);
}

/*
 * Updates the cell's workers from the VMs' rows: adds the VMs of its pool and
 * data centre, and frees workers that are neither listed nor in use.
 */
static void workers_sync(struct state *st, struct cell *c)
{
	struct worker *w, *wn;
	struct vm *v, *vn;

	if (st->vms_current_at > c->started_at)
		c->rows_known = true;
	HASH_ITER(hh, c->workers, w, wn)
		w->listed = false;
	HASH_ITER(hh, st->vms, v, vn) {
		if (!bstr_eq(v->row.pool, c->unit->id.pool) ||
		    !bstr_eq(v->row.dc, c->unit->id.dc))
			continue;
		HASH_FIND_BSTR(c->workers, v->row.vm, w);
		if (!w)
			w = worker_new(st, c, &v->row);
		w->listed = true;
		if (!bstr_eq(w->address, v->row.address))
			bstr_set(&w->address, v->row.address);
	}
	HASH_ITER(hh, c->workers, w, wn) {
		if (!worker_in_use(w) && !w->watch_request &&
		    !w->command_request)
			worker_free(c, w);
	}
}

/*
 * Records in the pool's row whether a worker has failed.  The edit is repeated
 * until it succeeds, also across an outage of the platform, and each new owner
 * of the cell makes it again: the owner that recorded a failure may be gone
 * when the worker recovers.  A VM that is out is counted already, so its
 * silence during a reboot is no failure.
 */
static void worker_record_health(struct state *st, struct worker *w)
{
	struct vm *v = vm_find(st, w->vm);
	enum worker_health health = HEALTH_UNKNOWN;

	if (w->lost && v && v->row.state != VM_OUT)
		health = HEALTH_FAILED;
	else if (w->fenced && !w->silent)
		health = HEALTH_OK;
	if (!v || !w->listed || health == HEALTH_UNKNOWN ||
	    health == w->recorded_health)
		return;
	edit_vm(st, health == HEALTH_FAILED ? EDIT_FAILED : EDIT_RECOVERED,
		w->vm, BSTR_NONE);
}

/*
 * Returns the worker of an endpoint VM, or NULL if this VM does not actively
 * own its cell.
 */
static struct worker *worker_of_vm(struct state *st, bstr vm)
{
	struct vm *v = vm_find(st, vm);
	struct worker *w = NULL;
	struct unit *u;
	cell_id id;

	if (!v)
		return NULL;
	id = (cell_id){v->row.pool, v->row.dc};
	u = unit_of_cell(st, &id);
	if (!u || !u->cell || !unit_is_active(st, u))
		return NULL;
	HASH_FIND_BSTR(u->cell->workers, vm, w);
	return w;
}

/* Called when the health of a worker has been written to the pool's row. */
void worker_health_recorded(struct state *st, bstr vm, bool failed)
{
	struct worker *w = worker_of_vm(st, vm);

	if (w)
		w->recorded_health = failed ? HEALTH_FAILED : HEALTH_OK;
}

/*
 * Returns true if a task's job is soft and its home VM is gone, with the
 * caller that waited there.
 */
static bool task_orphaned(struct state *st, const struct task *t)
{
	struct member *m;
	bool gone;
	bstr vm;

	if (!job_id_is_soft(t->job, &vm))
		return false;
	m = member_find(st, vm);
	gone = !bstr_eq(vm, st->vm) && (!m || !member_alive(m));
	bstr_free(&vm);
	return gone;
}

/*
 * Returns true if a worker is known to have no tasks.  An ended task counts
 * until its home has the result, because a new owner of the cell would need
 * the worker's copy of it.
 */
static bool worker_empty(struct state *st, const struct worker *w)
{
	const struct task *t;

	if (!w->fenced || w->silent || w->task_count ||
	    !TAILQ_EMPTY(&w->unconfirmed))
		return false;
	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (!task_orphaned(st, t))
			return false;
	return true;
}

/* Returns true if this VM owns the worker's cell and the worker is empty. */
bool worker_is_empty(struct state *st, bstr vm)
{
	struct worker *w = worker_of_vm(st, vm);

	return w && worker_empty(st, w);
}

/*
 * Drains a VM.  Its tasks may finish until the deadline; after it they are
 * checkpointed and resumed elsewhere.  When it is empty, this is recorded in
 * its row.
 */
static void worker_drain(struct state *st, struct worker *w)
{
	struct vm *v = vm_find(st, w->vm);
	struct task *t;

	/* A VM that has moved to another pool is drained by its new cell. */
	if (!v || !w->listed || v->row.state != VM_DRAINING) {
		w->drain_by = 0;
		return;
	}
	if (!w->drain_by)
		w->drain_by = st->now + v->row.deadline_ms;
	if (worker_empty(st, w)) {
		edit_vm(st, EDIT_DRAINED, w->vm, w->boot_id);
		return;
	}
	if (st->now < w->drain_by)
		return;
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (t->phase != TASK_ON_WORKER || t->checkpoint_requested)
			continue;
		t->checkpoint_requested = true;
		worker_order(st, w, t->id, TASK_CHECKPOINT);
	}
}

/*
 * Reboots a VM that a wave has drained, through the platform.  It returns to
 * work when its worker answers with another boot id.
 */
static void worker_reboot(struct state *st, struct worker *w)
{
	struct vm *v = vm_find(st, w->vm);
	struct request *rq;
	effect *fx;

	if (!v || v->row.state != VM_OUT || !v->row.wave.bstr_len)
		return;
	if (w->fenced && !bstr_eq(w->boot_id, v->row.boot)) {
		if (!w->silent)
			edit_vm(st, EDIT_REBOOTED, w->vm, w->boot_id);
		return;
	}
	if (st->now < w->reboot_at)
		return;
	/*
	 * The boot id comes from the VM's row, because a new owner may never
	 * have had an answer from this boot of the worker.
	 */
	w->reboot_at = st->now + REBOOT_RETRY_MS;
	rq = request_new(st, REQ_REBOOT, w->vm);
	fx = effect_add(st, FX_REBOOT);
	fx->effect_u.reboot.req = rq->id;
	fx->effect_u.reboot.vm = bstr_copy(w->vm);
	fx->effect_u.reboot.boot_id = bstr_copy(v->row.boot);
}

/*
 * Gives no new tasks for a while to a worker on which every task fails.  The
 * fraction of the cell that is set aside is limited: if tasks fail on most
 * workers, the tasks are the cause.
 */
static void worker_set_aside(struct state *st, struct worker *w)
{
	unsigned n = 0, max = HASH_COUNT(w->cell->workers) / SET_ASIDE_DIVISOR;
	struct worker *o, *next;

	if (w->failures < WORKER_SUSPECT_FAILURES ||
	    st->now < w->set_aside_until)
		return;
	HASH_ITER(hh, w->cell->workers, o, next)
		n += st->now < o->set_aside_until;
	if (n >= max)
		return;
	w->set_aside_until = st->now + SET_ASIDE_MS;
	/* After its return a single failure sets it aside again. */
	w->failures = WORKER_SUSPECT_FAILURES - 1;
	effect_log(st, LOG_WORKER_SUSPECT, "%.*s set aside for %d ms",
		   BSTR_ARG(w->vm), SET_ASIDE_MS);
}

/* Runs the periodic work for the workers of a cell. */
void workers_tick(struct state *st, struct cell *c)
{
	struct worker *w, *next;

	workers_sync(st, c);
	HASH_ITER(hh, c->workers, w, next) {
		worker_check_lost(st, w);
		if (w->lost && !w->dead && vm_absent(st, w->vm)) {
			w->dead = true;
			while (TAILQ_FIRST(&w->unconfirmed))
				unconfirmed_free(w,
						 TAILQ_FIRST(&w->unconfirmed));
		}
		if (!w->watch_request && st->now >= w->watch_at &&
		    worker_in_use(w))
			worker_watch(st, w);
		worker_set_aside(st, w);
		if (unit_is_active(st, c->unit)) {
			worker_record_health(st, w);
			worker_drain(st, w);
			worker_reboot(st, w);
			worker_flush(st, w);
		}
	}
}
