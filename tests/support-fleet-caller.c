/*
 * The callers and operators, and the invariants of the answers they get.
 */
#include "support-fleet-state.h"

/* Returns true if the detail of an answer contains a text. */
static bool answer_contains(const caller_answer *a, const char *text)
{
	return a->detail.bstr_len &&
	       memmem(a->detail.bstr_val, a->detail.bstr_len, text,
		      strlen(text));
}

/* Checks that a view is of the requested job and agrees with the workers. */
static void check_view(struct fleet *f, unsigned job, const job_view *v)
{
	struct fake_job *j = &f->jobs[job];
	char want[64];

	if (!j->id[0])
		snprintf(j->id, sizeof(j->id), "%.*s", BSTR_ARG(v->job));
	snprintf(want, sizeof(want), "L%u", job % 8);
	if (!bstr_eq_str(v->job, j->id) || !bstr_eq_str(v->label, want) ||
	    !bstr_eq_str(v->team, fleet_team_names[j->team]))
		VIOLATION(f, "answer: job %u (%s) is answered with %.*s", job,
			  j->id, BSTR_ARG(v->job));
	if (v->state == JOB_DONE) {
		f->counters[FLEET_DONE]++;
		snprintf(want, sizeof(want), "r:s%u", job);
		if (!bstr_eq_str(v->result, want))
			VIOLATION(f, "answer: job %u is done with '%.*s'", job,
				  BSTR_ARG(v->result));
		if (!j->start_count)
			VIOLATION(f, "answer: job %u is done and never ran",
				  job);
	}
	if (v->state == JOB_NOT_RUN) {
		f->counters[FLEET_NOT_RUN]++;
		if (j->start_count)
			VIOLATION(f,
				  "not-run: job %u is reported as not run, but "
				  "was started (%.*s)",
				  job, BSTR_ARG(v->reason));
		j->not_run = true;
	}
	if (v->state >= JOB_DONE)
		j->final = true;
}

/* Checks an answer with several jobs, each found by its id. */
static void check_views(struct fleet *f, const caller_answer *a)
{
	unsigned k;
	u_int i;

	for (i = 0; i < a->jobs.jobs_len; i++)
		for (k = 0; k < f->job_count; k++)
			if (bstr_eq_str(a->jobs.jobs_val[i].job, f->jobs[k].id))
				check_view(f, k, &a->jobs.jobs_val[i]);
}

/* Checks an answer to a caller and records what it states. */
void fleet_answer_record(struct fleet *f, unsigned slot, const fx_answer *x)
{
	const caller_answer *a = &x->answer;
	struct fake_call *c = &f->calls[x->call % CALLS_MAX];
	struct fake_job *j = &f->jobs[c->job];

	if (x->call >= f->call_count || c->answered || c->slot != slot ||
	    c->generation != f->entries[slot].generation) {
		VIOLATION(
			f,
			"answer: call %llu is answered twice or by another VM",
			(unsigned long long)x->call);
		return;
	}
	TRACE(f, "%s answers job %u: %u %.*s state %d %.*s",
	      f->entries[slot].name, c->job, a->http, BSTR_ARG(a->reason),
	      a->jobs.jobs_len ? (int)a->jobs.jobs_val[0].state : -1,
	      BSTR_ARG(a->detail));
	c->answered = true;
	f->counters[FLEET_ANSWERS_REFUSED] += a->http >= 400;
	if (c->kind != CALL_OF_JOB) {
		check_views(f, a);
		return;
	}
	if (a->jobs.jobs_len > 1 || (a->http < 400 && !a->jobs.jobs_len))
		VIOLATION(f, "answer: job %u is answered with %u jobs", c->job,
			  a->jobs.jobs_len);
	if (a->jobs.jobs_len)
		TRACE(f, "  %.*s: %.*s, started %u",
		      BSTR_ARG(a->jobs.jobs_val[0].reason),
		      BSTR_ARG(a->jobs.jobs_val[0].detail),
		      a->jobs.jobs_val[0].attempts);
	if (a->jobs.jobs_len)
		check_view(f, c->job, &a->jobs.jobs_val[0]);
	else if (c->submit && answer_contains(a, "not run")) {
		j->refused = true;
		if (j->start_count && j->submit_count == 1)
			VIOLATION(f,
				  "not-run: job %u is refused, but was started",
				  c->job);
	}
	if (a->http == 404 && j->accepted && !j->memory_only)
		VIOLATION(f, "lost: accepted job %u (%s) is unknown", c->job,
			  j->id);
	if (c->submit && a->http == 202 && !j->accepted) {
		j->accepted = true;
		f->counters[FLEET_JOBS_ACCEPTED]++;
	}
	if (c->submit && a->http < 300 && f->withdrawn_at[j->team][j->key] &&
	    c->sent_at > f->withdrawn_at[j->team][j->key] + FRESH_MS + 500)
		VIOLATION(f,
			  "key: job %u is accepted %lld ms after its key was "
			  "withdrawn",
			  c->job,
			  (long long)(c->sent_at -
				      f->withdrawn_at[j->team][j->key]));
}

/*
 * Returns the first entry VM that is up, from the preferred one on, as a load
 * balancer would; -1 if there is none.
 */
static int entry_pick(const struct fleet *f, unsigned preferred)
{
	unsigned i, s;

	for (i = 0; i < FLEET_ENTRIES; i++) {
		s = (preferred + i) % FLEET_ENTRIES;
		if (f->entries[s].up)
			return (int)s;
	}
	return -1;
}

/* Sends a caller's or operator's request; its id is its index in calls. */
static struct fake_call *call_new(struct fleet *f, unsigned preferred,
				  event *ev)
{
	int slot = entry_pick(f, preferred);
	struct fake_call *c;

	if (slot < 0 || f->call_count == CALLS_MAX) {
		event_free(ev);
		return NULL;
	}
	c = &f->calls[f->call_count];
	c->slot = (unsigned)slot;
	c->generation = f->entries[slot].generation;
	c->sent_at = f->now;
	if (ev->body.kind == EV_CALL)
		ev->body.event_body_u.call.call = f->call_count;
	else
		ev->body.event_body_u.operate.call = f->call_count;
	f->call_count++;
	fleet_entry_post(f, c->slot, c->generation, 1, ev);
	return c;
}

/* Returns a caller's request, authenticated by a key of a team. */
static event *call_event_new(struct fleet *f, caller_kind kind, unsigned team,
			     unsigned key)
{
	event *ev = event_new(EV_CALL);
	caller_request *r = &ev->body.event_body_u.call.request;

	r->key_id = bstr_printf("%s%u", fleet_team_names[team], key);
	r->key_digest = bstr_copy(f->digests[team][key]);
	r->body.kind = kind;
	return ev;
}

/* Submits a job, for the first time or again under the same key. */
void fleet_job_submit(struct fleet *f, unsigned job, unsigned preferred)
{
	struct fake_job *j = &f->jobs[job];
	event *ev = call_event_new(f, CALL_SUBMIT, j->team, j->key);
	job_spec *s =
		&ev->body.event_body_u.call.request.body.caller_body_u.spec;
	struct fake_call *c;

	s->pool = bstr_new(fleet_pool_names[j->pool]);
	s->key = bstr_printf("k%u", job);
	s->label = bstr_printf("L%u", job % 8);
	s->payload = bstr_printf("s%u %u %u", job, j->run_ms, j->fails);
	s->may_repeat = j->may_repeat;
	s->wait = j->wait;
	s->urgent = j->urgent;
	s->run_ms = j->run_ms;
	s->timeout_ms = j->timeout_ms;
	c = call_new(f, preferred, ev);
	if (!c)
		return;
	c->kind = CALL_OF_JOB;
	c->submit = true;
	c->job = job;
	j->submit_count++;
}

/* Creates a job, whose kind the bits of an argument give, and submits it. */
void fleet_job_create(struct fleet *f, unsigned kind)
{
	struct fake_job *j = &f->jobs[f->job_count];

	if (f->job_count == JOBS_MAX)
		return;
	j->may_repeat = kind & 1;
	j->wait = kind & 2;
	j->urgent = kind & 4;
	j->memory_only = j->may_repeat && j->wait;
	j->team = (kind >> 3) % FLEET_TEAMS;
	j->pool = !((kind >> 4) % 4);
	j->fails = !((kind >> 6) % 8);
	j->key = (unsigned)fleet_random(f, FLEET_KEYS);
	j->run_ms = fleet_random(f, 6) ? 20 + (unsigned)fleet_random(f, 1500)
				       : 8000;
	j->timeout_ms = 2000 + (unsigned)fleet_random(f, 20000);
	fleet_job_submit(f, f->job_count++,
			 (unsigned)fleet_random(f, FLEET_ENTRIES));
}

/* Gets or cancels a job, with a key of its team. */
void fleet_job_request(struct fleet *f, caller_kind kind, unsigned job,
		       uint32_t wait_ms)
{
	struct fake_job *j = &f->jobs[job];
	struct fake_call *c;
	event *ev;

	if (!j->id[0])
		return;
	ev = call_event_new(f, kind, j->team, 0);
	ev->body.event_body_u.call.request.body.caller_body_u.job =
		(caller_job){bstr_new(j->id), wait_ms};
	c = call_new(f, (unsigned)fleet_random(f, FLEET_ENTRIES), ev);
	if (!c)
		return;
	c->kind = CALL_OF_JOB;
	c->job = job;
}

/* Cancels the jobs of a team that have a label. */
void fleet_label_cancel(struct fleet *f, unsigned team, unsigned label)
{
	event *ev = call_event_new(f, CALL_CANCEL_LABEL, team, 0);
	struct fake_call *c;

	ev->body.event_body_u.call.request.body.caller_body_u.label =
		bstr_printf("L%u", label);
	c = call_new(f, (unsigned)fleet_random(f, FLEET_ENTRIES), ev);
	if (c)
		c->kind = CALL_OF_LABEL;
}

/* Checks and records a reply to an operator. */
void fleet_reply_record(struct fleet *f, unsigned slot, const fx_op_reply *x)
{
	struct fake_call *c = &f->calls[x->call % CALLS_MAX];

	if (x->call >= f->call_count || c->answered || c->slot != slot ||
	    c->generation != f->entries[slot].generation ||
	    c->kind != CALL_OF_OPERATOR) {
		VIOLATION(f, "answer: operator's call %llu is answered twice",
			  (unsigned long long)x->call);
		return;
	}
	TRACE(f, "%s answers operation %d: %d %.*s", f->entries[slot].name,
	      (int)c->op, (int)x->reply.status, BSTR_ARG(x->reply.reason));
	c->answered = true;
	if (x->reply.status != OP_OK)
		return;
	f->counters[FLEET_OPERATIONS_ACCEPTED]++;
	if (c->op == OP_KEY_WITHDRAW && !f->withdrawn_at[c->a][c->b])
		f->withdrawn_at[c->a][c->b] = f->now;
}

/* Sends an operator's request; a and b are its arguments. */
void fleet_operate(struct fleet *f, op_kind kind, unsigned a, unsigned b)
{
	event *ev = event_new(EV_OPERATE);
	op_request *r = &ev->body.event_body_u.operate.request;
	struct fake_call *c;

	r->kind = kind;
	switch (kind) {
	case OP_TEAM_LIMIT:
		r->op_request_u.team.team = bstr_new(fleet_team_names[a]);
		r->op_request_u.team.limit = b;
		break;
	case OP_POOL_BUDGET:
		r->op_request_u.pool.pool = bstr_new(fleet_pool_names[a]);
		r->op_request_u.pool.budget = b;
		break;
	case OP_KEY_WITHDRAW:
		r->op_request_u.key.team = bstr_new(fleet_team_names[a]);
		r->op_request_u.key.key_id = bstr_printf(
			"%s%u", fleet_team_names[a], b);
		break;
	default:
		r->op_request_u.vm.vm = bstr_new(f->workers[a].name);
		r->op_request_u.vm.pool = bstr_new(fleet_pool_names[b % POOLS]);
		r->op_request_u.vm.deadline_ms = 1000 * (b % 4);
		break;
	}
	c = call_new(f, (unsigned)fleet_random(f, FLEET_ENTRIES), ev);
	if (!c)
		return;
	c->kind = CALL_OF_OPERATOR;
	c->op = kind;
	c->a = a;
	c->b = b;
}
