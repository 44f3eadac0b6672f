/*
 * What a new owner takes over from earlier ones about the workers: which of
 * them may hold leases, and until when.  A worker that doesn't answer the new
 * owner keeps what earlier owners granted it, and its tasks may start elsewhere
 * only when that has ended.  That time is kept in the store, by the store's
 * clock, over any number of owners: if each counted it anew from the word of
 * the one before, owners that follow each other quickly would never start these
 * tasks.
 *
 * The owner row has the time at which the leases of owners before that epoch
 * have ended.  A row of the notes has the same for each worker that has not
 * answered the owner that wrote it.  Such a worker gets no lease beyond that
 * time before a note is stored that doesn't name it: a successor that goes by
 * the old note would start its tasks elsewhere beside the run that the lease
 * keeps alive.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>

/* Returns true if the owner row tells of the leases of earlier owners. */
static bool leases_are_recorded(const struct sched *s)
{
	return s->own.leases.until != 0;
}

/*
 * Returns the epoch whose owner wrote the latest note of workers, by the owner
 * row and the heartbeat; 0 if it is not known.  An owner that has written none
 * has granted nothing beyond the leases of before.
 */
static uint64_t note_epoch_seen(const struct sched *s)
{
	uint64_t epoch = s->own.leases.note_epoch;

	if (!leases_are_recorded(s))
		return 0;
	if (s->own.heartbeat_epoch == s->own.epoch &&
	    s->own.heartbeat_note_epoch > epoch)
		epoch = s->own.heartbeat_note_epoch;
	return epoch;
}

/*
 * Sets what this VM's claim says of earlier owners' leases on workers that
 * won't answer it.  The owner before it counts only if it may have granted any.
 * An owner of a version that records nothing may have.
 */
void leases_claim(struct sched *s)
{
	int64_t end = lease_previous_owner_end(s), recorded;
	uint64_t note_epoch = note_epoch_seen(s);

	if (leases_are_recorded(s) && note_epoch != s->own.epoch) {
		recorded = local_time_latest(s, s->own.leases.until);
		if (recorded && recorded < end)
			end = recorded;
	}
	s->own.claimed_settle_by = end;
	s->own.claimed_leases = (struct lease_record){
		.until = store_time_latest(s, end), .note_epoch = note_epoch};
}

/*
 * Applies what this VM's claim, which was carried out, says of leases.  The
 * owner keeps it apart from what the row says: if it read that again later, its
 * heartbeats would tell that it has written no note, and its successor would
 * not wait for the leases that it granted.
 */
void leases_inherit(struct sched *s)
{
	s->own.settle_by = s->own.claimed_settle_by;
	s->own.leases = s->own.inherited_leases = s->own.claimed_leases;
	json_decref(s->own.lease_note);
	s->own.lease_note = NULL;
}

/* Reads the note of an earlier owner about workers that did not answer it. */
void leases_row_read(struct sched *s, bstr row)
{
	json_decref(s->own.lease_note);
	s->own.lease_note = json_read(row);
}

/*
 * Returns the note of workers that have not answered this owner, with the times
 * at which their leases have ended.
 */
bstr leases_row_write(const struct sched *s)
{
	json_t *ends = json_object();
	const struct worker *w;
	char *id;

	for (w = s->workers; w; w = w->hh.next) {
		if (!worker_is_awaited(w) || w->gone)
			continue;
		id = bstr_cstr(w->id);
		json_object_set_new(
			ends, id,
			json_integer(store_time_latest(s, w->inherited_until)));
		free(id);
	}
	return json_write(json_pack("{s:I, s:o}", "epoch",
				    (json_int_t)s->own.epoch, "until", ends));
}

/*
 * Sets when the leases of earlier owners on a worker have ended.  The note's
 * time counts only if its writer was the last owner that wrote one.
 */
static void worker_inherit_lease(const struct sched *s, struct worker *w,
				 const char *id)
{
	const json_t *note = s->own.lease_note, *end;
	json_int_t epoch = json_integer_value(json_object_get(note, "epoch"));
	int64_t until;

	w->inherited_until = s->own.settle_by;
	end = json_object_get(json_object_get(note, "until"), id);
	if (!end || !epoch ||
	    (uint64_t)epoch != s->own.inherited_leases.note_epoch)
		return;
	w->was_awaited = true;
	until = local_time_latest(s, json_integer_value(end));
	if (until && until < w->inherited_until)
		w->inherited_until = until;
}

/* Takes over a worker that an earlier owner noted. */
static void worker_inherit(struct sched *s, const char *id, const char *service)
{
	bstr name = bstr_new(id);
	struct worker *w = worker_find(s, name);

	if (!w) {
		w = worker_new(s, name);
		w->row.service = bstr_new(service);
		w->answered_at = w->clock_at = s->now;
		sched_log(s, LOG_WORKER_SEEN, "worker=%s service=%s address=-",
			  id, service);
	}
	w->inherited = true;
	worker_inherit_lease(s, w, id);
	worker_update_unknown(s, w);
	bstr_free(&name);
}

/*
 * Takes over the workers that an earlier owner noted, including those without a
 * row of their own.  Workers that it had not noted had no tasks.
 */
void workers_inherit(struct sched *s)
{
	const char *service;
	json_t *list, *v;
	size_t i;

	json_object_foreach(s->own.workers, service, list)
		json_array_foreach(list, i, v)
			if (json_is_string(v))
				worker_inherit(s, json_string_value(v),
					       service);
}
