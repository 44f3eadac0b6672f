/*
 * The note of the workers that may hold leases of the owner: written by it with
 * a beat, and taken over by its successor.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>

/* The note is written anew for what is left out of it so often at most. */
#define NOTE_AGAIN_MS 700

/*
 * Does a worker hold nothing, and get nothing?  It is gone, or its machine is
 * about to be taken and none of its tasks is left.
 */
static bool worker_is_bare(const struct worker *w)
{
	return w->gone || (w->takedown_pending && TAILQ_EMPTY(&w->tasks));
}

/*
 * The workers that may hold leases of this owner are noted in the store
 * before they get work.  A worker's own row may lapse while it is cut off
 * and runs on: a successor would not know of it, and would start its tasks
 * elsewhere.  Those that hold nothing any more are left out in time: a
 * successor would wait for each life of a moved machine until no lease can
 * hold.  True: the note is to be written.  Not while the owner loads: what the
 * one before it noted may not have been read.
 */
bool workers_note_is_due(struct sched *s)
{
	bool due = s->now >= s->note_at, any = due && s->note_has_gone_worker;
	struct worker *w, *next;

	if (s->own.state != OWN_OWNER)
		return false;
	HASH_ITER(hh, s->workers, w, next)
		any = any || (worker_is_bare(w) ? due && w->noted : !w->noted);
	HASH_ITER(hh, s->workers, w, next) {
		w->note_in_flight = any && !worker_is_bare(w);
		/* If it stays, it is noted anew before it gets work. */
		if (any && worker_is_bare(w))
			w->noted = false;
	}
	if (any) {
		s->note_at = s->now + NOTE_AGAIN_MS;
		s->note_has_gone_worker = false;
	}
	return any;
}

/* What was to be noted is. */
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

/*
 * The row that notes them: workers by service.  A row has at most 64 KB, and so
 * room for some 4,000.
 */
bstr workers_row_write(const struct sched *s)
{
	json_t *services = json_object(), *list;
	const struct worker *w;
	char *service;

	for (w = s->workers; w; w = w->hh.next) {
		if (worker_is_bare(w))
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

/* Read it, as another owner wrote it. */
void workers_row_read(struct sched *s, bstr row)
{
	json_decref(s->own.workers);
	s->own.workers = json_read(row);
}

/* Take over one worker that the old owner noted. */
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
	worker_count(s, w);
}

/*
 * Take over the workers that the old owner noted, also those that have no row.
 * Whom it had not noted it had given nothing to.
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
