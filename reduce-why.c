/* Operators' requests for why a job or a team's tasks wait. */
#include "reduce.h"

#include <stdlib.h>

/* How long to wait for the cell's answer before replying without it. */
#define WHY_TIMEOUT_MS 2000

static const char *const state_names[] = {"queued", "running", "done",
					  "failed", "not-run", "unknown"};

/* Answers a "why JOB" request with the job's state as its home knows it. */
static void why_answer(struct state *st, bstr forwarded_by, uint64_t call,
		       const struct job *j)
{
	static const char *const phase_names[] = {"claiming", "no-cell",
						  "at-cell", "final", "final"};
	const job_view *v = &j->view;
	json_t *o = json_object();
	bstr cell;

	json_set_str(o, "job", j->id);
	json_set_str(o, "team", j->spec.team);
	json_set_str(o, "pool", j->spec.pool);
	json_object_set_new(o, "state", json_string(state_names[v->state]));
	json_object_set_new(o, "phase", json_string(phase_names[j->phase]));
	json_set_str(o, "gate", v->reason);
	json_set_str(o, "detail", v->detail);
	json_set_str(o, "worker", v->worker);
	json_set_int(o, "attempt", j->attempt);
	json_set_int(o, "age_ms", (uint64_t)(st->now - j->accepted_at));
	cell = bstr_printf("%.*s/%.*s", BSTR_ARG(j->cell.pool),
			   BSTR_ARG(j->cell.dc));
	json_set_str(o, "cell", cell);
	json_set_str(o, "owner", j->sent_to);
	bstr_free(&cell);
	op_answer_to(st, forwarded_by, call, OP_OK, "", "", 0, o);
}

/* Adds a request about a job, and has its cell queried for the state. */
static void why_request_add(struct state *st, uint64_t call, struct job *j)
{
	struct why_request *q = xcalloc(1, sizeof(*q));

	q->call = call;
	q->forwarded_by = bstr_copy(st->forwarded_by);
	q->job = bstr_copy(j->id);
	q->deadline = st->now + WHY_TIMEOUT_MS;
	TAILQ_INSERT_TAIL(&st->why_requests, q, entry);
	j->check_at = st->now; /* queries the cell at the next tick */
	effect_wake(st, st->now);
}

static void why_request_free(struct state *st, struct why_request *q)
{
	TAILQ_REMOVE(&st->why_requests, q, entry);
	bstr_free(&q->forwarded_by);
	bstr_free(&q->job);
	free(q);
}

void why_requests_free(struct state *st)
{
	struct why_request *q;

	while ((q = TAILQ_FIRST(&st->why_requests)))
		why_request_free(st, q);
}

/* Answers the requests about a job whose cell has reported its state. */
void op_why_job_answer(struct state *st, const struct job *j)
{
	struct why_request *q, *next;

	for (q = TAILQ_FIRST(&st->why_requests); q; q = next) {
		next = TAILQ_NEXT(q, entry);
		if (!bstr_eq(q->job, j->id))
			continue;
		why_answer(st, q->forwarded_by, q->call, j);
		why_request_free(st, q);
	}
}

/* Answers the requests whose cell did not reply in time with what is known. */
void why_requests_tick(struct state *st)
{
	struct why_request *q, *next;
	struct job *j;

	for (q = TAILQ_FIRST(&st->why_requests); q; q = next) {
		next = TAILQ_NEXT(q, entry);
		if (st->now < q->deadline)
			continue;
		j = job_find(st, q->job);
		if (j)
			why_answer(st, q->forwarded_by, q->call, j);
		else
			op_answer_to(st, q->forwarded_by, q->call, OP_NOT_FOUND,
				     "job-unknown",
				     "its home has moved: ask again", 0, NULL);
		why_request_free(st, q);
	}
}

/*
 * Handles a "why JOB" request; only the job's home can answer it.  If a cell
 * has the job, the answer waits for the cell's current state of it.
 */
void op_why_job(struct state *st, uint64_t call, const op_request *rq)
{
	struct job *j = job_find(st, rq->op_request_u.name);

	if (!j)
		op_answer(st, call, OP_NOT_FOUND, "job-unknown",
			  "no such job is known: it was never accepted, or "
			  "its answer is no longer kept",
			  0, NULL);
	else if (j->phase == PHASE_DISPATCHED)
		why_request_add(st, call, j);
	else
		why_answer(st, st->forwarded_by, call, j);
}

/* Returns a team's figures in a cell, and why its first queued task waits. */
static json_t *why_cell(struct state *st, struct cell *c, struct cell_team *t)
{
	struct task *first = NULL;
	json_t *o = json_object();
	bstr detail = BSTR_NONE;
	const char *gate = "";
	int i;

	for (i = 0; i < CLASS_MAX && !first; i++)
		first = TAILQ_FIRST(&t->queue[i]);
	if (first)
		gate = task_wait_reason(st, c, first, &detail);
	json_set_str(o, "pool", c->unit->id.pool);
	json_set_str(o, "dc", c->unit->id.dc);
	json_set_int(o, "running", team_used(t));
	json_set_int(o, "held", t->allowance);
	json_set_int(o, "queued", t->queued);
	json_object_set_new(o, "gate", json_string(gate));
	json_set_str(o, "detail", detail);
	bstr_free(&detail);
	return o;
}

/* Handles a "why TEAM" request: an entry for each cell that this VM owns. */
void op_why_team(struct state *st, uint64_t call, const op_request *rq)
{
	bstr name = rq->op_request_u.name;
	json_t *list = json_array();
	struct unit *u, *next;
	struct cell_team *t;

	if (!config_find_team(st->config, name)) {
		json_decref(list);
		op_not_found(st, call, "team", name);
		return;
	}
	HASH_ITER(hh, st->units, u, next) {
		if (!u->cell)
			continue;
		HASH_FIND_BSTR(u->cell->teams, name, t);
		if (t)
			json_array_append_new(list, why_cell(st, u->cell, t));
	}
	op_answer_ok(st, call, list);
}
