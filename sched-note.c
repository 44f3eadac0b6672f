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
 * Returns true if the note has to be written, and marks the workers to be in
 * it.
 *
 * Workers that may hold leases of this owner are noted in the store before they
 * get tasks.  A worker's own row may expire while the worker is cut off but
 * running; a successor that doesn't know of the worker would start its tasks
 * elsewhere.  Workers without leases are dropped from the note in
 * time, because a successor waits for every process in it until no lease can be
 * valid, also for each earlier process of a machine that moved.
 *
 * An owner that is still loading writes no note, as it may not have read its
 * predecessor's.
 */
bool workers_note_is_due(struct sched *s)
{
	bool may_drop = s->now >= s->workers_note_at,
	     write = may_drop && s->workers_note_has_gone;
	struct worker *w, *next;

	if (s->own.state != OWN_OWNER)
		return false;
	HASH_ITER(hh, s->workers, w, next)
		write = write || (worker_is_unused(w) ? may_drop && w->noted
						      : !w->noted);
	HASH_ITER(hh, s->workers, w, next) {
		w->note_in_flight = write && !worker_is_unused(w);
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

/* Returns the text of the note: workers by service. */
bstr workers_row_write(const struct sched *s)
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

/* Reads the note of an earlier owner. */
void workers_row_read(struct sched *s, bstr row)
{
	json_decref(s->own.workers);
	s->own.workers = json_read(row);
}

/* Takes over a worker that an earlier owner noted. */
static void worker_inherit(struct sched *s, bstr id, const char *service)
{
	struct worker *w = worker_find(s, id);

	if (!w) {
		w = worker_new(s, id);
		w->row.service = bstr_new(service);
		w->answered_at = w->clock_at = s->now;
		sched_log(s, LOG_WORKER_SEEN,
			  "worker=%.*s service=%s address=-", BSTR_ARG(id),
			  service);
	}
	w->inherited = true;
	worker_update_unknown(s, w);
}

/*
 * Takes over the workers that an earlier owner noted, including those without a
 * row of their own.  Workers that it had not noted had no tasks.
 */
void workers_inherit(struct sched *s)
{
	const char *service;
	json_t *list, *v;
	bstr id;
	size_t i;

	json_object_foreach(s->own.workers, service, list) {
		json_array_foreach(list, i, v) {
			id = bstr_from_json(v);
			worker_inherit(s, id, service);
			bstr_free(&id);
		}
	}
}
