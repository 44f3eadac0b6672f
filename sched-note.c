/*
 * The note of workers that may hold leases of the owner.  The owner writes it
 * together with a heartbeat, and its successor reads it.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>

/*
 * The note is rewritten at most once in this interval if it is only to drop
 * workers.
 */
#define NOTE_DROP_INTERVAL_MS 100
/* An owner that is not settled collects the workers' answers for this long. */
#define NOTE_GATHER_MS 30

/*
 * Returns true if a worker holds no lease and will get none before it is noted:
 * it is gone, its machine is about to be taken down and it has no tasks left,
 * or it has answered neither this owner nor, as far as is known, an earlier
 * one.  The row of a process that has ended stands in the store for seconds,
 * and a late change of it may arrive when the process is known to be gone.  If
 * such processes were noted, the successor would wait for their leases, and
 * start little until then.
 */
bool worker_is_unused(const struct worker *w)
{
	return w->gone || (!w->fenced && !w->inherited) ||
	       (w->takedown_pending && TAILQ_EMPTY(&w->tasks));
}

/*
 * Returns true if a worker may hold leases of earlier owners and has not
 * answered this one, which grants it none beyond these.
 */
bool worker_is_awaited(const struct worker *w)
{
	return w->inherited && !w->has_answered;
}

/*
 * Returns true if a worker has to be noted as one that may hold leases of this
 * owner, and isn't yet.
 */
bool worker_needs_note(const struct worker *w)
{
	return !w->noted && !worker_is_unused(w) && !worker_is_awaited(w);
}

/*
 * Lets the note be written soon, with a heartbeat.  After a takeover the
 * workers answer within some milliseconds of each other, and a heartbeat for
 * each would be sent to all VMs.
 */
void workers_note_request(struct sched *s)
{
	int64_t at = s->now + (s->settled ? 0 : NOTE_GATHER_MS);

	if (at < s->own.heartbeat_at)
		s->own.heartbeat_at = at;
}

/*
 * Returns true if the note has to be written, and marks the workers to be in
 * it as those that may hold leases of this owner.
 *
 * Workers that may hold leases of this owner are noted in the store before they
 * get tasks.  A worker's own row may expire while the worker is cut off but
 * running; a successor that doesn't know of the worker would start its tasks
 * elsewhere.  Workers without leases are dropped from the note in
 * time, because a successor waits for every process in it until no lease can be
 * valid, also for each earlier process of a machine that moved.
 *
 * An owner that is still loading writes no note, as it may not have read its
 * predecessor's.  Nor does one that no worker has answered: the note of before
 * goes on to hold.
 */
bool workers_note_is_due(struct sched *s)
{
	bool may_drop = s->now >= s->workers_note_at,
	     write = may_drop && s->workers_note_has_gone;
	struct worker *w, *next;

	if (s->own.state != OWN_OWNER)
		return false;
	HASH_ITER(hh, s->workers, w, next)
		write = write || worker_needs_note(w) ||
			(may_drop && w->noted && worker_is_unused(w));
	HASH_ITER(hh, s->workers, w, next) {
		w->note_in_flight = write && !worker_is_unused(w) &&
				    !worker_is_awaited(w);
		/* If it stays, it is noted again before it gets tasks. */
		if (write && worker_is_unused(w))
			w->noted = false;
	}
	if (write) {
		s->workers_note_at = s->now + NOTE_DROP_INTERVAL_MS;
		s->workers_note_has_gone = false;
	}
	return write;
}

/* Returns the text of the note: workers by service. */
static bstr workers_row_write(const struct sched *s)
{
	json_t *services = json_object(), *list;
	const struct worker *w;
	char *service;

	for (w = s->workers; w; w = w->hh.next) {
		if (worker_is_unused(w))
			continue;
		service = bstr_cstr(w->row.service);
		list = json_object_get(services, service);
		if (!list) {
			list = json_array();
			json_object_set_new(services, service, list);
		}
		json_array_append_new(list, bstr_to_json(w->id));
		free(service);
	}
	return json_write(services);
}

/* Adds the write of the note to a transaction. */
void workers_note_write(struct sched *s, struct tx *t)
{
	large_write(s, t, TABLE_NOTES, bstr_lit(KEY_WORKERS),
		    workers_row_write(s));
	large_write(s, t, TABLE_NOTES, bstr_lit(KEY_LEASES),
		    leases_row_write(s));
}

/* Marks the workers of a written note as noted. */
void workers_note_written(struct sched *s)
{
	struct worker *w, *next;

	HASH_ITER(hh, s->workers, w, next) {
		if (!w->note_in_flight || w->noted)
			continue;
		w->noted = true;
		s->place_due = true;
	}
}

/* Reads the note of an earlier owner. */
void workers_row_read(struct sched *s, bstr row)
{
	json_decref(s->own.workers);
	s->own.workers = json_read(row);
}
