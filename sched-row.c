/*
 * Encoding of the scheduler's own rows in the store as JSON: accepted jobs, the
 * ownership, and the owner's heartbeat.
 */
#include "sched-state.h"
#include "json-read.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

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

/*
 * Encodes the terms of a route that its jobs go by, for the time when the
 * configuration lacks it: a successor may never have known it.
 */
static json_t *terms_write(const struct route *r)
{
	json_t *j = json_object();

	json_set_nonzero(j, "priority", r->priority);
	json_set_nonzero(j, "attempts", r->attempts);
	json_set_nonzero(j, "objective_ms", r->objective_ms);
	json_object_set_new(j, "stretch", json_real(r->stretch));
	set_if_true(j, "ticket", r->needs_ticket);
	return j;
}

/* Decodes the terms of a job's route; rows of earlier versions have none. */
static void terms_read(struct job *j, const json_t *terms)
{
	j->has_terms = json_is_object(terms);
	j->terms = (struct route){
		.service = j->service,
		.priority = (unsigned)int_member(terms, "priority"),
		.attempts = (unsigned)int_member(terms, "attempts"),
		.objective_ms = (uint32_t)int_member(terms, "objective_ms"),
		.stretch = json_number_value(json_object_get(terms, "stretch")),
		.needs_ticket = json_is_true(json_object_get(terms, "ticket")),
	};
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
	if (j->has_terms)
		json_object_set_new(row, "terms", terms_write(&j->terms));
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
	terms_read(j, json_object_get(row, "terms"));
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

/* Returns the owner row; a released one names no holder. */
bstr owner_row_write(const struct ownership *o, bool release)
{
	return json_write(json_pack(
		"{s:I, s:o, s:I, s:b, s:I, s:I, s:I, s:I}", "epoch",
		(json_int_t)o->epoch, "vm",
		bstr_to_json(release ? BSTR_NONE : o->holder), "life",
		(json_int_t)o->holder_seed, "settled", o->settled, "handovers",
		(json_int_t)o->handovers, "removals_whole_since",
		(json_int_t)o->removals_whole_since, "leases_until",
		(json_int_t)o->leases.until, "note_epoch",
		(json_int_t)o->leases.note_epoch));
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
		o->leases.until = int_member(row, "leases_until");
		o->leases.note_epoch = (uint64_t)int_member(row, "note_epoch");
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
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:o, s:o}",
		"epoch", (json_int_t)s->own.epoch, "seq",
		(json_int_t)s->own.heartbeat_seq, "note_epoch",
		(json_int_t)s->own.heartbeat_note_epoch, "sent_at",
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
 * waiting jobs, the admissions and the shares.  An owner takes of another's
 * only the epochs, which its next claim goes by, and nothing of its own.
 * Returns false if it takes no more, or if the row is malformed.
 */
bool heartbeat_row_read(struct sched *s, bstr text, uint64_t *epoch)
{
	json_t *row = json_read(text);

	if (!json_is_integer(json_object_get(row, "epoch"))) {
		json_decref(row);
		return false;
	}
	*epoch = (uint64_t)int_member(row, "epoch");
	if (s->own.state != OWN_OWNER || *epoch != s->own.epoch) {
		s->own.heartbeat_epoch = *epoch;
		s->own.heartbeat_note_epoch = (uint64_t)int_member(
			row, "note_epoch");
	}
	if (s->own.state == OWN_OWNER) {
		json_decref(row);
		return false;
	}
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
