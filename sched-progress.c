/*
 * Encoding of the progress of jobs as JSON.  The first row has the job's id as
 * its key.  What has no room in it follows in rows with the keys ID/00, ID/01
 * and so on.  All of them are written in one transaction, and so with one
 * revision; a row of another revision is a leftover.
 */
#include "sched-state.h"
#include "json-read.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a row besides its entries. */
#define ROW_FRAME_BYTES 32
/* Bytes of an occurrence's entry or of a member of it besides its content. */
#define ENTRY_FRAME_BYTES 32
/* The key of a further row: the job's id, a slash and two digits. */
#define MORE_KEY_BYTES (JOB_ID_BYTES + 3)

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

/* Returns the key of a further row of progress; the caller frees it. */
bstr progress_more_key(const char *id, unsigned number)
{
	return bstr_printf("%s/%02u", id, number);
}

/*
 * Returns true if a key is that of a further row of progress, and sets the
 * job's id and the number of the row.
 */
bool progress_more_key_read(bstr key, char id[JOB_ID_BYTES + 1],
			    unsigned *number)
{
	const char *p = key.bstr_val + JOB_ID_BYTES;

	if (key.bstr_len != MORE_KEY_BYTES || p[0] != '/' ||
	    !isdigit((unsigned char)p[1]) || !isdigit((unsigned char)p[2]))
		return false;
	memcpy(id, key.bstr_val, JOB_ID_BYTES);
	id[JOB_ID_BYTES] = '\0';
	*number = (unsigned)(p[1] - '0') * 10 + (unsigned)(p[2] - '0');
	return true;
}

/* The rows of a job's progress while they are filled. */
struct row_writer {
	struct progress_rows *out;
	size_t row_bytes; /* most of one row */
	json_t *row;	  /* the row that is being filled */
	json_t *times;	  /* its entries, by number of the occurrence */
	size_t at;	  /* index of the entry that was used last */
	size_t bytes;	  /* of the row, at most */
};

/* Begins a row that has no entries yet. */
static void row_begin(struct row_writer *w, json_t *row)
{
	w->row = row;
	w->bytes = json_dumpb(row, NULL, 0, JSON_COMPACT) + ROW_FRAME_BYTES;
	w->times = json_array();
	json_object_set_new(row, "times", w->times);
	w->at = 0;
}

/* Adds the row that is being filled to the finished ones. */
static void row_finish(struct row_writer *w)
{
	struct progress_rows *out = w->out;

	out->rows = xrealloc(out->rows, out->count + 1, sizeof(*out->rows));
	out->rows[out->count] = json_write(w->row);
	out->bytes += out->rows[out->count].bstr_len;
	out->count++;
}

/* Returns the entry of an occurrence in a row, which is made if needed. */
static json_t *row_entry(struct row_writer *w, unsigned number)
{
	json_int_t k = -1;
	json_t *entry = NULL;

	for (; w->at < json_array_size(w->times); w->at++) {
		entry = json_array_get(w->times, w->at);
		k = json_integer_value(json_object_get(entry, "k"));
		if (k >= (json_int_t)number)
			break;
	}
	if (k == (json_int_t)number)
		return entry;
	entry = json_pack("{s:I}", "k", (json_int_t)number);
	json_array_insert_new(w->times, w->at, entry);
	w->bytes += ENTRY_FRAME_BYTES;
	return entry;
}

/*
 * Adds a value to an occurrence's entry: a member of it, or with a key, a
 * member of that.  Begins another row if this one has no room.
 */
static void row_add(struct row_writer *w, unsigned number, const char *member,
		    const char *key, json_t *value)
{
	size_t bytes = json_dumpb(value, NULL, 0,
				  JSON_COMPACT | JSON_ENCODE_ANY) +
		       ENTRY_FRAME_BYTES;
	json_t *entry, *group;

	if (w->bytes + ENTRY_FRAME_BYTES + bytes > w->row_bytes) {
		row_finish(w);
		row_begin(w, json_object());
	}
	w->bytes += bytes;
	entry = row_entry(w, number);
	if (!key) {
		json_object_set_new(entry, member, value);
		return;
	}
	group = json_object_get(entry, member);
	if (!group) {
		group = json_object();
		json_object_set_new(entry, member, group);
	}
	json_object_set_new(group, key, value);
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

/* Encodes numbers of runs. */
static json_t *runs_write(const uint64_t *numbers, unsigned count)
{
	json_t *runs = json_array();
	unsigned i;

	for (i = 0; i < count; i++)
		json_array_append_new(runs,
				      json_integer((json_int_t)numbers[i]));
	return runs;
}

/* What is recorded of a task that is not done. */
enum task_member {
	MEMBER_FAILS,
	MEMBER_CRASHES,
	MEMBER_CRASHED_AT,
	MEMBER_SAVED,
	MEMBER_MAX
};
static const char *const member_names[] = {
	[MEMBER_FAILS] = "fails",
	[MEMBER_CRASHES] = "crashes",
	[MEMBER_CRASHED_AT] = "crashed_at",
	[MEMBER_SAVED] = "saved",
};

/*
 * Encodes a member of a task, or returns NULL if it has none.  The workers of
 * failed runs list their ends until these are acknowledged, and a successor
 * must not count them again, so their numbers are recorded.
 */
static json_t *task_member_write(const struct task *t, enum task_member m)
{
	unsigned count = t->failure_count < FAILED_RUNS_MAX ? t->failure_count
							    : FAILED_RUNS_MAX;

	switch (m) {
	case MEMBER_FAILS:
		return count && !task_step(t)->long_running
			       ? runs_write(t->failed_runs, count)
			       : NULL;
	case MEMBER_CRASHES:
		return t->crash_count
			       ? runs_write(t->crashed_runs, t->crash_count)
			       : NULL;
	case MEMBER_CRASHED_AT:
		return t->crash_count && t->crashed_at
			       ? json_integer(t->crashed_at)
			       : NULL;
	case MEMBER_SAVED:
		return t->checkpoint.bstr_len ? bstr_to_json(t->checkpoint)
					      : NULL;
	case MEMBER_MAX:
		break;
	}
	return NULL;
}

/*
 * Returns true if a checkpoint is left out, as neither a row nor a transaction
 * has room for it.  It is kept in memory; if the owner and the task's worker
 * are both lost, the task starts anew, as one without a checkpoint does.
 */
static bool checkpoint_is_left_out(const struct row_writer *w,
				   const struct task *t)
{
	size_t bytes = (size_t)t->checkpoint.bstr_len + 4 * ENTRY_FRAME_BYTES;

	return bytes > w->row_bytes ||
	       w->out->bytes + w->bytes + bytes > PROGRESS_BYTES_MAX ||
	       w->out->count + 1 == PROGRESS_ROWS_MAX;
}

/* Adds a member of all tasks of an occurrence that are not done. */
static void members_write(struct row_writer *w, const struct occurrence *o,
			  enum task_member m)
{
	const struct task *t = o->tasks;
	char number[16];
	json_t *value;
	unsigned i;

	for (i = 0; i < o->task_count; i++, t++) {
		if (t->phase == PHASE_DONE)
			continue;
		value = task_member_write(t, m);
		if (!value)
			continue;
		if (m == MEMBER_SAVED && checkpoint_is_left_out(w, t)) {
			json_decref(value);
			w->out->left_out++;
			continue;
		}
		snprintf(number, sizeof(number), "%u", i);
		row_add(w, o->number, member_names[m], number, value);
	}
}

/* Returns the first row of a job's progress, without its occurrences. */
static json_t *first_row_write(const struct job *j)
{
	json_t *row = json_pack("{s:s, s:o}", "state",
				job_status_name(j->status), "tenant",
				bstr_to_json(j->tenant));

	if (j->services)
		json_object_set(row, "services", j->services);
	if (j->status > JOB_STATUS_RUNNING) {
		json_set_nonzero(row, "ended", j->ended);
		json_set_nonzero(row, "ended_by_store", j->ended_by_store);
	} else {
		json_set_nonzero(row, "next", j->next_occurrence);
	}
	return row;
}

/*
 * Returns the rows of a job's progress, none of which has more than row_bytes.
 * What counts most stands first: without the completed tasks these would run
 * twice, without the checkpoints only some work is repeated.
 */
struct progress_rows progress_write(const struct job *j, size_t row_bytes)
{
	struct progress_rows out = {0};
	struct row_writer w = {.out = &out, .row_bytes = row_bytes};
	const struct occurrence *o;
	int m;

	row_begin(&w, first_row_write(j));
	if (j->status <= JOB_STATUS_RUNNING) {
		TAILQ_FOREACH(o, &j->occs, entry)
			row_add(&w, o->number, "done", NULL,
				done_tasks_write(o));
		for (m = 0; m < MEMBER_MAX; m++) {
			w.at = 0;
			TAILQ_FOREACH(o, &j->occs, entry)
				members_write(&w, o, (enum task_member)m);
		}
	}
	row_finish(&w);
	return out;
}

/* Frees the rows of a job's progress. */
void progress_rows_free(struct progress_rows *p)
{
	size_t i;

	for (i = 0; i < p->count; i++)
		bstr_free(&p->rows[i]);
	free(p->rows);
	*p = (struct progress_rows){0};
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
	*ended_by_store = json_integer_value(
		json_object_get(row, "ended_by_store"));
	json_decref(row);
	return ok;
}

/* Decodes numbers of runs and returns how many there are, at most max. */
static unsigned runs_read(const json_t *runs, struct task *t, uint64_t *numbers,
			  unsigned max)
{
	unsigned count = 0;
	size_t i;
	json_t *v;

	json_array_foreach(runs, i, v) {
		if (count == max)
			break;
		numbers[count] = (uint64_t)json_integer_value(v);
		if (numbers[count] > t->highest_run)
			t->highest_run = numbers[count];
		count++;
	}
	return count;
}

/* Decodes a member of a task. */
static void task_member_read(struct task *t, enum task_member m,
			     const json_t *value)
{
	switch (m) {
	case MEMBER_FAILS:
		t->failure_count = runs_read(value, t, t->failed_runs,
					     FAILED_RUNS_MAX);
		break;
	case MEMBER_CRASHES:
		t->crash_count = runs_read(value, t, t->crashed_runs,
					   CRASHED_RUNS_MAX);
		t->crash_inherited = t->crash_wait_inherited = t->crash_count;
		if (t->crash_count)
			t->occ->job->has_crashes = true;
		break;
	case MEMBER_CRASHED_AT:
		t->crashed_at = json_integer_value(value);
		break;
	case MEMBER_SAVED:
		bstr_free(&t->checkpoint);
		t->checkpoint = bstr_from_json(value);
		break;
	case MEMBER_MAX:
		break;
	}
}

/* Decodes a member of all tasks of an occurrence that have it. */
static void members_read(struct occurrence *o, const json_t *entry,
			 enum task_member m)
{
	json_t *group = json_object_get(entry, member_names[m]), *v;
	unsigned long i;
	const char *key;
	char *end;

	json_object_foreach(group, key, v) {
		i = strtoul(key, &end, 10);
		if (*key && !*end && i < o->task_count)
			task_member_read(&o->tasks[i], m, v);
	}
}

/* Decodes the completed tasks of an occurrence. */
static void done_tasks_read(struct occurrence *o, const json_t *done)
{
	size_t bytes = (o->task_count + 7) / 8;
	uint8_t *bits = xcalloc(bytes, 1);
	bstr hex = bstr_from_json(done);
	struct task *t;
	unsigned i;

	if (!hex_decode(hex, bits, bytes))
		memset(bits, 0, bytes);
	for (i = 0; i < o->task_count; i++) {
		t = &o->tasks[i];
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
 * Decodes the entries of a row, and creates the occurrences whose completed
 * tasks are among them.
 */
static void entries_read(struct job *j, const json_t *row)
{
	const json_t *times = json_object_get(row, "times"), *done;
	struct occurrence *o;
	unsigned number;
	json_t *entry;
	size_t i;
	int m;

	json_array_foreach(times, i, entry) {
		number = (unsigned)json_integer_value(
			json_object_get(entry, "k"));
		done = json_object_get(entry, "done");
		o = occurrence_find(j, number);
		if (!o && done) {
			job_make_occurrence(j, number);
			o = TAILQ_LAST(&j->occs, occurrence_list);
		}
		if (!o)
			continue;
		for (m = 0; m < MEMBER_MAX; m++)
			members_read(o, entry, (enum task_member)m);
		done_tasks_read(o, done);
	}
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

/*
 * Sets a job's progress from its first row.  Returns false if it is malformed.
 */
bool progress_apply(struct job *j, bstr text)
{
	json_t *row = json_read(text);
	bool ok = status_parse(row, &j->status);

	if (ok) {
		services_read(j, row);
		entries_read(j, row);
		j->next_occurrence = (unsigned)json_integer_value(
			json_object_get(row, "next"));
	}
	json_decref(row);
	return ok;
}

/*
 * Adds the progress in a further row.  Returns false if the row is malformed.
 */
bool progress_apply_more(struct job *j, bstr text)
{
	json_t *row = json_read(text);
	bool ok = json_is_array(json_object_get(row, "times"));

	entries_read(j, row);
	json_decref(row);
	return ok;
}
