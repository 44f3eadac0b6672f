/*
 * Recordings of the reducer: its initial parameters, then each event with
 * the effects it produced.  A recording contains no secrets, so it can be
 * passed on to others.
 */
#ifndef RECORD_H
#define RECORD_H

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Writing.  A thread of the recorder writes the file and takes the steps
 * from a bounded queue, so that a slow disk does not delay the reducer.  If
 * the queue is full the recording stops there, because one with a gap could
 * not be replayed.
 */
struct recorder;
struct recorder *recorder_open(const char *path, const struct settings *s,
			       uint64_t seed, const char *peer_address,
			       struct error *e);
void recorder_step(struct recorder *r, const event *ev,
		   const struct effects *fx);
/* Returns false if the recording is incomplete. */
bool recorder_close(struct recorder *r);

/* Reading. */
enum record_result {
	RECORD_STEP,	  /* a step was read */
	RECORD_END,	  /* end of a complete recording */
	RECORD_STOPPED,	  /* the daemon stopped recording here */
	RECORD_TRUNCATED, /* the file ends within a record */
	RECORD_BAD	  /* the record is malformed */
};
struct recording;
struct recording *recording_open(const char *path, struct error *e);
const struct settings *recording_settings(const struct recording *r);
uint64_t recording_seed(const struct recording *r);
const char *recording_peer_address(const struct recording *r);
/* Sets st only if the result is RECORD_STEP. */
enum record_result recording_next(struct recording *r, step *st);
void recording_close(struct recording *r);

ssize_t effects_mismatch(const effect *a, size_t a_count, const effect *b,
			 size_t b_count);

/* Prints all fields of a value as text, in the order of the schema. */
void xdr_print(FILE *f, xdrproc_t proc, const void *value);
const char *event_name(event_kind kind);
const char *effect_name(effect_kind kind);

#ifdef __cplusplus
}
#endif
#endif
