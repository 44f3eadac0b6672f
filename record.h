/*
 * Recordings: what the reducer was started with, then each event with the
 * effects it gave.  A recording holds no secret, so it may be passed on.
 */
#ifndef RECORD_H
#define RECORD_H

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Writing, by a thread of its own behind a bounded queue. */
struct recorder;
struct recorder *recorder_open(const char *path, const struct settings *s,
			       uint64_t seed, const char *peer_address,
			       struct error *e);
void recorder_step(struct recorder *r, const event *ev,
		   const struct effects *fx);
bool recorder_close(struct recorder *r); /* false: it is not whole */

/* Reading. */
enum record_result {
	RECORD_STEP,	  /* a step was read */
	RECORD_END,	  /* the recording ends in good order */
	RECORD_STOPPED,	  /* the daemon stopped recording here */
	RECORD_TRUNCATED, /* the last record is not whole */
	RECORD_BAD	  /* no record of ours */
};
struct recording;
struct recording *recording_open(const char *path, struct error *e);
const struct settings *recording_settings(const struct recording *r);
uint64_t recording_seed(const struct recording *r);
const char *recording_peer_address(const struct recording *r);
enum record_result recording_next(struct recording *r, step *st);
void recording_close(struct recording *r);

/* The number of the first effect that differs; -1 if none does. */
ssize_t effects_mismatch(const effect *a, size_t a_count, const effect *b,
			 size_t b_count);

/* Values for people: every field, in the schema's order. */
void xdr_print(FILE *f, xdrproc_t proc, const void *value);
const char *event_name(event_kind kind);
const char *effect_name(effect_kind kind);

#ifdef __cplusplus
}
#endif
#endif
