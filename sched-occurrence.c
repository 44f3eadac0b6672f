/*
 * Occurrences of jobs: when they are created, which of their steps are ready to
 * run, and their tasks by name.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/*
 * An occurrence may start at most 250 ms before its time.  It is created this
 * long after its time, so that small jumps of the wall clock don't make it
 * start too early.
 */
#define OCCURRENCE_DELAY_MS 20

/* Returns true if all prerequisites of a step are done. */
bool step_is_ready(const struct occurrence *o, unsigned step_index)
{
	const struct job_step *st = &o->job->body->steps[step_index];
	size_t i;

	for (i = 0; i < st->prerequisite_count; i++)
		if (o->unfinished_in_step[st->prerequisites[i]])
			return false;
	return true;
}

/* Creates an occurrence of a job, with all its tasks pending. */
void job_make_occurrence(struct job *j, unsigned number)
{
	struct occurrence *o = xcalloc(1, sizeof(*o));
	const struct job_body *b = j->body;
	struct task *t;
	size_t i;
	unsigned n;

	o->job = j;
	o->number = number;
	o->unfinished_in_step = xcalloc(b->step_count,
					sizeof(*o->unfinished_in_step));
	o->pending_tasks = xcalloc(b->step_count, sizeof(*o->pending_tasks));
	o->first_task = xcalloc(b->step_count, sizeof(*o->first_task));
	o->runs = xcalloc(b->step_count, sizeof(*o->runs));
	for (i = 0; i < b->step_count; i++) {
		o->first_task[i] = o->task_count;
		o->unfinished_in_step[i] = b->steps[i].count;
		o->pending_tasks[i].count = b->steps[i].count;
		o->task_count += b->steps[i].count;
	}
	o->unfinished = o->task_count;
	o->tasks = xcalloc(o->task_count, sizeof(*o->tasks));
	for (i = 0; i < b->step_count; i++) {
		for (n = 0; n < b->steps[i].count; n++) {
			t = &o->tasks[o->first_task[i] + n];
			t->occ = o;
			t->step = (unsigned)i;
			t->index = n;
			t->pace_percent = 100;
		}
	}
	TAILQ_INSERT_TAIL(&j->occs, o, entry);
	j->open_tasks += o->task_count;
}

/*
 * Removes an occurrence from its job and frees it.  None of its tasks may be
 * placed on a worker.
 */
void occurrence_free(struct occurrence *o)
{
	unsigned i;

	TAILQ_REMOVE(&o->job->occs, o, entry);
	o->job->open_tasks -= o->task_count;
	advice_free(o);
	for (i = 0; i < o->task_count; i++)
		bstr_free(&o->tasks[i].checkpoint);
	free(o->tasks);
	free(o->unfinished_in_step);
	free(o->pending_tasks);
	free(o->first_task);
	free(o->runs);
	free(o);
}

/* Returns true if all occurrences of a job are done. */
bool job_is_done(const struct job *j)
{
	unsigned count = j->body->repeat_count ? j->body->repeat_count : 1;

	return j->next_occurrence >= count && TAILQ_EMPTY(&j->occs);
}

/*
 * Returns true if a job may have another occurrence.  A repeated job that falls
 * behind would use up the owner's memory otherwise, and its progress would be
 * longer than a transaction may be.  An occurrence that is left out is created
 * when others are done.
 */
static bool job_has_room(const struct job *j)
{
	return j->open_tasks < OPEN_TASKS_MAX;
}

/*
 * Returns true if a job may have another occurrence that a worker names.  An
 * earlier owner may have created it when others were done whose ends aren't
 * known yet; without it, an end of it would be acknowledged and then lost.
 */
static bool job_has_room_for_named(const struct job *j)
{
	return j->open_tasks < 2 * OPEN_TASKS_MAX;
}

/* Creates the occurrences of a job that are due. */
void job_make_due_occurrences(struct sched *s, struct job *j)
{
	const struct job_body *b = j->body;
	int64_t due;

	if (j->status > JOB_STATUS_RUNNING)
		return;
	if (!b->repeat_count) {
		if (!j->next_occurrence) {
			job_make_occurrence(j, 0);
			demand_add(s, j);
			job_queue_placing(s, j);
			j->next_occurrence = 1;
			s->place_due = true;
		}
		return;
	}
	while (j->next_occurrence < b->repeat_count) {
		due = b->first_at +
		      (int64_t)j->next_occurrence * b->interval_ms;
		if (s->wall < due + OCCURRENCE_DELAY_MS || !job_has_room(j))
			return;
		job_make_occurrence(j, j->next_occurrence++);
		demand_add(s, j);
		job_queue_placing(s, j);
		s->place_due = true;
		job_mark_dirty(s, j);
	}
}

/* Returns occurrence k of a job, or NULL. */
struct occurrence *occurrence_find(const struct job *j, unsigned number)
{
	struct occurrence *o;

	TAILQ_FOREACH(o, &j->occs, entry)
		if (o->number == number)
			return o;
	return NULL;
}

/*
 * Creates the occurrence k that a worker has named.  If the wall clock of an
 * earlier owner was ahead of this VM's, the occurrences up to k are created
 * early.  A job that was final when it was read has no occurrences; only the
 * named one is created, so that its runs can be stopped.
 */
static void job_make_missing_occurrences(struct sched *s, struct job *j,
					 unsigned number)
{
	unsigned count = j->body->repeat_count ? j->body->repeat_count : 1;

	if (number >= count)
		return;
	if (j->status > JOB_STATUS_RUNNING) {
		if (job_may_have_unknown_runs(s, j) &&
		    !occurrence_find(j, number))
			job_make_occurrence(j, number);
		return;
	}
	while (j->next_occurrence <= number && job_has_room_for_named(j)) {
		job_make_occurrence(j, j->next_occurrence++);
		job_queue_placing(s, j);
		job_mark_dirty(s, j);
	}
}

/*
 * Parses ".NUMBER" at the start of text and removes it from there.  Returns
 * false if text does not start with that.
 */
static bool name_take_number(bstr *text, unsigned *n)
{
	const char *p = text->bstr_val, *end = p + text->bstr_len;
	uint64_t value = 0;

	if (end - p < 2 || *p != '.' || p[1] < '0' || p[1] > '9')
		return false;
	for (p++; p < end && *p >= '0' && *p <= '9'; p++) {
		value = value * 10 + (unsigned)(*p - '0');
		if (value > UINT32_MAX)
			return false;
	}
	*n = (unsigned)value;
	*text = bstr_ref(p, (size_t)(end - p));
	return true;
}

/*
 * Returns the task with this name on a worker, or NULL.  Sets *job to its job,
 * or to NULL if the owner does not track it.  Every list of a worker contains
 * the names of all its runs, so this parses thousands of names per second.
 */
struct task *task_find(struct sched *s, bstr name, struct job **job)
{
	struct occurrence *o;
	unsigned number, step_index, index;
	bstr rest;

	*job = NULL;
	if (name.bstr_len <= JOB_ID_BYTES)
		return NULL;
	*job = sched_job_find(s, name.bstr_val);
	rest = bstr_ref(name.bstr_val + JOB_ID_BYTES,
			name.bstr_len - JOB_ID_BYTES);
	if (!*job || !name_take_number(&rest, &number) ||
	    !name_take_number(&rest, &step_index) ||
	    !name_take_number(&rest, &index) || rest.bstr_len)
		return NULL;
	if (step_index >= (*job)->body->step_count ||
	    index >= (*job)->body->steps[step_index].count)
		return NULL;
	job_make_missing_occurrences(s, *job, number);
	o = occurrence_find(*job, number);
	return o ? &o->tasks[o->first_task[step_index] + index] : NULL;
}
