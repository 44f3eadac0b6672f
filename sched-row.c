/*
 * Encoding of the scheduler's own rows in the store as JSON: accepted jobs,
 * their progress, the ownership, and the owner's heartbeat.
 */
#include "sched-state.h"
#include "json-read.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static const char *const job_status_names[] = {
	[JOB_STATUS_QUEUED] = "queued",	      [JOB_STATUS_RUNNING] = "running",
	[JOB_STATUS_COMPLETED] = "completed", [JOB_STATUS_FAILED] = "failed",
	[JOB_STATUS_CANCELLED] = "cancelled",
};

/* Returns the word for a job's status. */
const char *job_status_name(enum job_status status)
{
	return job_status_names[status];
}

/* Returns an integer member of an object, or 0. */
static int64_t int_member(const json_t *j, const char *key)
{
	return json_integer_value(json_object_get(j, key));
}

/* Sets a Boolean member, which is omitted if false. */
static void set_if_true(json_t *j, const char *key, bool on)
{
	if (on)
		json_object_set_new(j, key, json_true());
}

/* Encodes a step. */
static json_t *step_write(const struct job_step *st)
{
	json_t *j = json_object(), *after = json_array();
	size_t i;

	json_set_nonzero(j, "count", st->count);
	json_set_nonzero(j, "cpu", st->need.cpu);
	json_set_nonzero(j, "memory", st->need.memory);
	json_set_nonzero(j, "gpus", st->need.gpus);
	json_set_nonzero(j, "estimated_ms", st->estimated_ms);
	for (i = 0; i < st->prerequisite_count; i++)
		json_array_append_new(after,
				      json_integer(st->prerequisites[i]));
	json_object_set_new(j, "after", after);
	set_if_true(j, "checkpoints", st->checkpoints);
	set_if_true(j, "gang", st->gang);
	set_if_true(j, "tight", st->same_rack);
	set_if_true(j, "speculative", st->speculative);
	set_if_true(j, "lasts", st->long_running);
	set_if_true(j, "fills", st->best_effort);
	json_set_nonempty(j, "label", st->required_label);
	json_set_nonempty(j, "rack", st->preferred_rack);
	json_set_nonempty(j, "image", st->image);
	json_set_nonzero(j, "apart", st->max_per_worker);
	json_set_nonzero(j, "target_ms", st->target_latency_ms);
	json_set_nonzero(j, "may_miss", st->max_unavailable);
	return j;
}

/* Decodes a step. */
static void step_parse(const json_t *j, struct job_step *st)
{
	const json_t *after = json_object_get(j, "after");
	json_t *v;
	size_t i;

	st->count = (unsigned)int_member(j, "count");
	st->need.cpu = int_member(j, "cpu");
	st->need.memory = int_member(j, "memory");
	st->need.gpus = int_member(j, "gpus");
	st->estimated_ms = (uint32_t)int_member(j, "estimated_ms");
	st->prerequisites = xcalloc(json_array_size(after) + 1,
				    sizeof(*st->prerequisites));
	json_array_foreach(after, i, v)
		st->prerequisites[st->prerequisite_count++] = (unsigned)
			json_integer_value(v);
	st->checkpoints = json_is_true(json_object_get(j, "checkpoints"));
	st->gang = json_is_true(json_object_get(j, "gang"));
	st->same_rack = json_is_true(json_object_get(j, "tight"));
	st->speculative = json_is_true(json_object_get(j, "speculative"));
	st->long_running = json_is_true(json_object_get(j, "lasts"));
	st->best_effort = json_is_true(json_object_get(j, "fills"));
	st->required_label = bstr_from_json(json_object_get(j, "label"));
	st->preferred_rack = bstr_from_json(json_object_get(j, "rack"));
	st->image = bstr_from_json(json_object_get(j, "image"));
	st->max_per_worker = (unsigned)int_member(j, "apart");
	st->target_latency_ms = (uint32_t)int_member(j, "target_ms");
	st->max_unavailable = (unsigned)int_member(j, "may_miss");
}

/* Returns the row of an accepted job. */
bstr job_row_write(const struct job *j)
{
	json_t *steps = json_array(), *row;
	size_t i;

	for (i = 0; i < j->body->step_count; i++)
		json_array_append_new(steps, step_write(&j->body->steps[i]));
	row = json_pack(
		"{s:o, s:o, s:o, s:I, s:o}", "tenant", bstr_to_json(j->tenant),
		"route", bstr_to_json(j->route), "service",
		bstr_to_json(j->service), "submitted", (json_int_t)j->submitted,
		"payload", bstr_to_json(j->body->payload));
	json_set_nonzero(row, "submitted_by_store", j->submitted_by_store);
	json_set_nonzero(row, "repeat", j->body->repeat_count);
	json_set_nonzero(row, "first_at", j->body->first_at);
	json_set_nonzero(row, "interval_ms", j->body->interval_ms);
	json_object_set_new(row, "steps", steps);
	return json_write(row);
}

/* Returns a job decoded from its row, or NULL if the row is malformed. */
struct job *job_row_read(const char *id, bstr text)
{
	json_t *row = json_read(text);
	const json_t *steps = json_object_get(row, "steps");
	struct job *j;
	json_t *v;
	size_t i;

	if (!json_array_size(steps)) {
		json_decref(row);
		return NULL;
	}
	j = xcalloc(1, sizeof(*j));
	snprintf(j->id, sizeof(j->id), "%s", id);
	TAILQ_INIT(&j->occs);
	j->tenant = bstr_from_json(json_object_get(row, "tenant"));
	j->route = bstr_from_json(json_object_get(row, "route"));
	j->service = bstr_from_json(json_object_get(row, "service"));
	j->submitted = int_member(row, "submitted");
	j->submitted_by_store = int_member(row, "submitted_by_store");
	j->body = xcalloc(1, sizeof(*j->body));
	j->body->payload = bstr_from_json(json_object_get(row, "payload"));
	j->body->repeat_count = (unsigned)int_member(row, "repeat");
	j->body->first_at = int_member(row, "first_at");
	j->body->interval_ms = int_member(row, "interval_ms");
	j->body->step_count = json_array_size(steps);
	j->body->steps = xcalloc(j->body->step_count, sizeof(*j->body->steps));
	json_array_foreach(steps, i, v)
		step_parse(v, &j->body->steps[i]);
	json_decref(row);
	return j;
}

/*
 * Sets tenant to the organisation in a job's row.  Returns false if the row is
 * malformed.
 */
bool job_row_tenant(bstr text, bstr *tenant)
{
	json_t *row = json_read(text);
	bool ok = json_is_object(row);

	*tenant = bstr_from_json(json_object_get(row, "tenant"));
	json_decref(row);
	return ok;
}

/* Encodes the completed tasks of an occurrence as a hexadecimal bit mask. */
static json_t *done_tasks_write(const struct occurrence *o)
{
	size_t bytes = (o->task_count + 7) / 8;
	uint8_t *bits = xcalloc(bytes, 1);
	json_t *j;
	bstr hex;
	unsigned i;

	for (i = 0; i < o->task_count; i++)
		if (o->tasks[i].phase == PHASE_DONE)
			bits[i / 8] |= (uint8_t)(1U << (i % 8));
	hex = hex_encode(bits, bytes);
	j = bstr_to_json(hex);
	bstr_free(&hex);
	free(bits);
	return j;
}

/*
 * Encodes the numbers of a task's failed runs.  Their workers list these ends
 * until they are acknowledged, and a successor must not count them again.
 */
static json_t *failed_runs_write(const struct task *t)
{
	json_t *runs = json_array();
	unsigned i;

	for (i = 0; i < t->failure_count && i < FAILED_RUNS_MAX; i++)
		json_array_append_new(
			runs, json_integer((json_int_t)t->failed_runs[i]));
	return runs;
}

/* Encodes the numbers of a task's runs under which workers have crashed. */
static json_t *crashed_runs_write(const struct task *t)
{
	json_t *runs = json_array();
	unsigned i;

	for (i = 0; i < t->crash_count; i++)
		json_array_append_new(
			runs, json_integer((json_int_t)t->crashed_runs[i]));
	return runs;
}

/* Decodes these numbers; rows of earlier versions have none. */
static void crashed_runs_read(const json_t *runs, struct task *t)
{
	size_t i;
	json_t *v;

	json_array_foreach(runs, i, v) {
		if (t->crash_count == CRASHED_RUNS_MAX)
			return;
		t->crashed_runs[t->crash_count] = (uint64_t)json_integer_value(
			v);
		if (t->crashed_runs[t->crash_count] > t->highest_run)
			t->highest_run = t->crashed_runs[t->crash_count];
		t->crash_count++;
		t->crash_inherited = true;
		t->occ->job->has_crashes = true;
	}
}

/* Decodes the numbers of a task's failed runs. */
static void failed_runs_read(const json_t *runs, struct task *t)
{
	size_t i;
	json_t *v;

	json_array_foreach(runs, i, v) {
		if (t->failure_count == FAILED_RUNS_MAX)
			return;
		t->failed_runs[t->failure_count] = (uint64_t)json_integer_value(
			v);
		if (t->failed_runs[t->failure_count] > t->highest_run)
			t->highest_run = t->failed_runs[t->failure_count];
		t->failure_count++;
	}
}

/*
 * Encodes an occurrence's completed tasks, failed runs, crashes and
 * checkpoints.
 */
static json_t *occurrence_write(const struct occurrence *o)
{
	json_t *fails = json_object(), *saved = json_object();
	json_t *crashes = json_object(), *row;
	const struct task *t;
	char number[16];
	unsigned i;

	for (i = 0; i < o->task_count; i++) {
		t = &o->tasks[i];
		if (t->phase == PHASE_DONE)
			continue;
		snprintf(number, sizeof(number), "%u", i);
		if (t->failure_count && !task_step(t)->long_running)
			json_object_set_new(fails, number,
					    failed_runs_write(t));
		if (t->crash_count)
			json_object_set_new(crashes, number,
					    crashed_runs_write(t));
		if (t->checkpoint.bstr_len)
			json_object_set_new(saved, number,
					    bstr_to_json(t->checkpoint));
	}
	row = json_pack("{s:I, s:o, s:o, s:o}", "k", (json_int_t)o->number,
			"done", done_tasks_write(o), "fails", fails, "saved",
			saved);
	if (json_object_size(crashes))
		json_object_set(row, "crashes", crashes);
	json_decref(crashes);
	return row;
}

/* Returns the row of a job's progress. */
bstr progress_write(const struct job *j)
{
	const struct occurrence *o;
	json_t *row, *occs;

	row = json_pack("{s:s, s:o}", "state", job_status_name(j->status),
			"tenant", bstr_to_json(j->tenant));
	if (j->services)
		json_object_set(row, "services", j->services);
	if (j->status > JOB_STATUS_RUNNING) {
		json_set_nonzero(row, "ended", j->ended);
		json_set_nonzero(row, "ended_by_store", j->ended_by_store);
		return json_write(row);
	}
	occs = json_array();
	TAILQ_FOREACH(o, &j->occs, entry)
		json_array_append_new(occs, occurrence_write(o));
	json_set_nonzero(row, "next", j->next_occurrence);
	json_object_set_new(row, "times", occs);
	return json_write(row);
}

/* Decodes the status in a row of progress.  Returns false if there is none. */
static bool status_parse(const json_t *row, enum job_status *status)
{
	const char *word = json_string_value(json_object_get(row, "state"));
	size_t i;

	for (i = 0; word && i < NELEMS(job_status_names); i++) {
		if (strcmp(word, job_status_names[i]) == 0) {
			*status = (enum job_status)i;
			return true;
		}
	}
	return false;
}

/*
 * Decodes the parts of a row of progress that a caller's request needs; tenant
 * is a copy.  Returns false if the row is malformed.
 */
bool progress_peek(bstr text, bstr *tenant, enum job_status *status,
		   int64_t *ended_by_store)
{
	json_t *row = json_read(text);
	bool ok = status_parse(row, status);

	*tenant = ok ? bstr_from_json(json_object_get(row, "tenant"))
		     : BSTR_NONE;
	*ended_by_store = int_member(row, "ended_by_store");
	json_decref(row);
	return ok;
}

/* Decodes an occurrence's progress. */
static void occurrence_parse(struct occurrence *o, const json_t *j)
{
	size_t bytes = (o->task_count + 7) / 8;
	uint8_t *bits = xcalloc(bytes, 1);
	bstr hex = bstr_from_json(json_object_get(j, "done"));
	struct task *t;
	json_t *v;
	char number[16];
	unsigned i;

	if (!hex_decode(hex, bits, bytes))
		memset(bits, 0, bytes);
	for (i = 0; i < o->task_count; i++) {
		t = &o->tasks[i];
		snprintf(number, sizeof(number), "%u", i);
		v = json_object_get(json_object_get(j, "fails"), number);
		failed_runs_read(v, t);
		v = json_object_get(json_object_get(j, "crashes"), number);
		crashed_runs_read(v, t);
		v = json_object_get(json_object_get(j, "saved"), number);
		bstr_free(&t->checkpoint);
		t->checkpoint = bstr_from_json(v);
		if (!(bits[i / 8] >> (i % 8) & 1) || t->phase == PHASE_DONE)
			continue;
		task_set_phase(t, PHASE_DONE);
		o->unfinished_in_step[t->step]--;
		o->unfinished--;
	}
	bstr_free(&hex);
	free(bits);
}

/*
 * Sets the services in which tasks of a job were started.  Rows of earlier
 * versions have none.
 */
static void services_read(struct job *j, const json_t *row)
{
	json_t *services = json_object_get(row, "services"), *v;
	size_t i;

	json_decref(j->services);
	j->services = NULL;
	json_array_foreach(services, i, v) {
		if (!json_is_string(v))
			continue;
		if (!j->services)
			j->services = json_array();
		json_array_append(j->services, v);
	}
}

/* Sets the services of a job that was final already from its row. */
void progress_apply_services(struct job *j, bstr text)
{
	json_t *row = json_read(text);

	services_read(j, row);
	json_decref(row);
}

/* Sets a job's progress from its row.  Returns false if it is malformed. */
bool progress_apply(struct job *j, bstr text)
{
	json_t *row = json_read(text), *v;
	const json_t *occs = json_object_get(row, "times");
	size_t i;

	if (!status_parse(row, &j->status)) {
		json_decref(row);
		return false;
	}
	services_read(j, row);
	json_array_foreach(occs, i, v) {
		job_make_occurrence(j, (unsigned)int_member(v, "k"));
		occurrence_parse(TAILQ_LAST(&j->occs, occurrence_list), v);
	}
	j->next_occurrence = (unsigned)int_member(row, "next");
	json_decref(row);
	return true;
}

/* Returns the owner row; a released one names no holder. */
bstr owner_row_write(const struct ownership *o, bool release)
{
	return json_write(json_pack(
		"{s:I, s:o, s:I, s:b, s:I, s:I}", "epoch", (json_int_t)o->epoch,
		"vm", bstr_to_json(release ? BSTR_NONE : o->holder), "life",
		(json_int_t)o->holder_seed, "settled", o->settled, "handovers",
		(json_int_t)o->handovers, "removals_whole_since",
		(json_int_t)o->removals_whole_since));
}

/* Decodes the owner row.  Returns false if it is malformed. */
bool owner_row_read(bstr text, struct ownership *o)
{
	json_t *row = json_read(text);
	bool ok = json_is_integer(json_object_get(row, "epoch"));

	if (ok) {
		o->epoch = (uint64_t)int_member(row, "epoch");
		o->holder_seed = (uint64_t)int_member(row, "life");
		bstr_free(&o->holder);
		o->holder = bstr_from_json(json_object_get(row, "vm"));
		o->settled = json_is_true(json_object_get(row, "settled"));
		o->handovers = (unsigned)int_member(row, "handovers");
		o->removals_whole_since =
			json_object_get(row, "removals_whole_since")
				? int_member(row, "removals_whole_since")
				: -1;
	}
	json_decref(row);
	return ok;
}

/*
 * Returns the row of the owner's heartbeat, with the number of waiting jobs of
 * each queue.
 */
bstr heartbeat_row_write(struct sched *s)
{
	json_t *row = json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:o, s:o}", "epoch",
		(json_int_t)s->own.epoch, "seq",
		(json_int_t)s->own.heartbeat_seq, "sent_at",
		(json_int_t)store_clock(s), "told_at",
		(json_int_t)job_list_as_of(s), "cpu",
		(json_int_t)offer_own_cpu(s), "waiting", counts_write(s),
		"ceilings", ceilings_write(s), "largest",
		largest_capacity_write(s), "admit", admissions_write(s),
		"beyond_share", shares_write(s));

	set_if_true(row, "short", offer_is_wanted(s));
	return json_write(row);
}

/*
 * Decodes the row of a heartbeat: its epoch, the ceilings, the counts of
 * waiting jobs, the admissions and the shares.  Returns false if it is
 * malformed.
 */
bool heartbeat_row_read(struct sched *s, bstr text, uint64_t *epoch)
{
	json_t *row = json_read(text);

	if (!json_is_integer(json_object_get(row, "epoch"))) {
		json_decref(row);
		return false;
	}
	*epoch = (uint64_t)int_member(row, "epoch");
	s->own.heartbeat_as_of = int_member(row, "sent_at");
	s->own.holder_cpu = int_member(row, "cpu");
	s->own.holder_is_short = *epoch == s->own.epoch &&
				 json_is_true(json_object_get(row, "short"));
	json_decref(s->own.ceilings);
	s->own.ceilings = json_incref(json_object_get(row, "ceilings"));
	json_decref(s->own.shares_exceeded);
	s->own.shares_exceeded = json_incref(
		json_object_get(row, "beyond_share"));
	largest_capacity_read(s, json_object_get(row, "largest"));
	counts_read(s, json_object_get(row, "waiting"),
		    int_member(row, "told_at"));
	admissions_read(s, json_object_get(row, "admit"));
	json_decref(row);
	return true;
}
