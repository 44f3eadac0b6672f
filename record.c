#include "record.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/*
 * A file begins with this line; records follow, each with its length as
 * four bytes before it.  The first is the header, JSON; the others are XDR
 * steps.  A length of zero says that the daemon stopped recording.
 */
#define RECORD_MAGIC "bamboofront recording 1\n"
#define RECORD_QUEUE 8192
#define RECORD_QUEUE_BYTES (64u << 20)
#define RECORD_MAX_BYTES (256u << 20)

struct recorder {
	FILE *file;
	pthread_t thread;
	struct mailbox *queue; /* of bstr *, NULL bytes: the end */
	uint64_t queued;       /* bytes that wait to be written */
	int failed;	       /* the writer can't write any more */
	bool cut;	       /* this thread stopped recording */
};

struct recording {
	FILE *file;
	struct settings settings;
	uint64_t seed;
	char *peer_address;
};

/* Write one record. */
static bool record_write(FILE *f, bstr bytes)
{
	uint32_t len = htonl(bytes.bstr_len);

	return fwrite(&len, sizeof(len), 1, f) == 1 &&
	       (!bytes.bstr_len ||
		fwrite(bytes.bstr_val, bytes.bstr_len, 1, f) == 1);
}

/* Write what is queued until the end marker, an empty record, comes. */
static void *recorder_run(void *arg)
{
	struct recorder *r = arg;
	bool end = false;
	bstr *b;

	while (!end) {
		mailbox_wait(r->queue, -1);
		while ((b = mailbox_take(r->queue))) {
			end = !b->bstr_len;
			if (!end && !ck_pr_load_int(&r->failed) &&
			    !record_write(r->file, *b))
				ck_pr_store_int(&r->failed, 1);
			ck_pr_sub_64(&r->queued, b->bstr_len);
			bstr_free(b);
			free(b);
		}
		if (fflush(r->file))
			ck_pr_store_int(&r->failed, 1);
	}
	return NULL;
}

/* The header: everything that a fresh reducer is made from. */
static bstr record_header(const struct settings *s, uint64_t seed,
			  const char *peer_address)
{
	json_t *j = json_object();
	char *text, *number = xasprintf("%" PRIu64, seed);
	bstr b;

	json_object_set_new(j, "version", json_string(BAMBOOFRONT_VERSION));
	json_object_set_new(j, "seed", json_string(number));
	json_object_set_new(j, "peer_address", json_string(peer_address));
	json_object_set_new(j, "settings", settings_to_json(s));
	text = json_dumps(j, JSON_COMPACT);
	b = bstr_new(text);
	free(text);
	free(number);
	json_decref(j);
	return b;
}

/* Begin a recording; NULL and a finding if the file can't be written. */
struct recorder *recorder_open(const char *path, const struct settings *s,
			       uint64_t seed, const char *peer_address,
			       struct error *e)
{
	bstr header = record_header(s, seed, peer_address);
	struct recorder *r = xcalloc(1, sizeof(*r));

	r->file = fopen(path, "wxe");
	if (!r->file || fputs(RECORD_MAGIC, r->file) < 0 ||
	    !record_write(r->file, header) || fflush(r->file)) {
		error_add(e, path, "can't be recorded to: %s", strerror(errno));
		if (r->file)
			fclose(r->file);
		free(r);
		r = NULL;
	}
	bstr_free(&header);
	if (!r)
		return NULL;
	r->queue = mailbox_new(RECORD_QUEUE);
	if (pthread_create(&r->thread, NULL, recorder_run, r))
		abort();
	return r;
}

/* Hand bytes to the writer, which frees them; false: it is behind. */
static bool recorder_put(struct recorder *r, bstr bytes)
{
	bstr *b = xmalloc(sizeof(*b));

	*b = bytes;
	ck_pr_add_64(&r->queued, bytes.bstr_len);
	if (mailbox_put(r->queue, b))
		return true;
	ck_pr_sub_64(&r->queued, bytes.bstr_len);
	free(b);
	return false;
}

/*
 * Record one step.  A writer that falls behind (a slow disk) must not hold
 * up answers, and a recording with a hole can't be replayed; so the
 * recording is cut here, and what is written stays a whole beginning.
 */
void recorder_step(struct recorder *r, const event *ev,
		   const struct effects *fx)
{
	step st = {.event = *ev, .effects = {(u_int)fx->count, fx->list}};
	bstr bytes;

	if (r->cut)
		return;
	bytes = xdr_encode(XDR_PROC(xdr_step), &st);
	if (bytes.bstr_len && !ck_pr_load_int(&r->failed) &&
	    ck_pr_load_64(&r->queued) < RECORD_QUEUE_BYTES &&
	    recorder_put(r, bytes))
		return;
	bstr_free(&bytes);
	r->cut = true;
	log_event(LOG_OVERRUN, "the recording ends here: its writer is behind "
			       "or can't write");
}

/* End a recording; false if it was cut or could not be written. */
bool recorder_close(struct recorder *r)
{
	bool whole;

	if (!r)
		return true;
	while (!recorder_put(r, BSTR_NONE))
		sched_yield(); /* full: the writer is emptying it */
	pthread_join(r->thread, NULL);
	if (r->cut && !r->failed && !record_write(r->file, BSTR_NONE))
		r->failed = 1;
	if (fclose(r->file))
		r->failed = 1;
	whole = !r->cut && !r->failed;
	mailbox_free(r->queue);
	free(r);
	return whole;
}

/* Read one record's bytes. */
static enum record_result record_read(FILE *f, bstr *bytes)
{
	uint32_t len;
	size_t n;

	*bytes = BSTR_NONE;
	n = fread(&len, 1, sizeof(len), f);
	if (!n)
		return feof(f) ? RECORD_END : RECORD_TRUNCATED;
	if (n < sizeof(len))
		return RECORD_TRUNCATED;
	len = ntohl(len);
	if (!len)
		return RECORD_STOPPED;
	if (len > RECORD_MAX_BYTES)
		return RECORD_BAD;
	bytes->bstr_val = xmalloc(len);
	bytes->bstr_len = len;
	if (fread(bytes->bstr_val, 1, len, f) == len)
		return RECORD_STEP;
	bstr_free(bytes);
	return RECORD_TRUNCATED;
}

/* Read the header record. */
static bool header_read(struct recording *r, struct error *e)
{
	json_t *j, *settings;
	const char *seed;
	json_error_t je;
	bstr bytes;
	bool ok;

	if (record_read(r->file, &bytes) != RECORD_STEP)
		return false;
	j = json_loadb(bytes.bstr_val, bytes.bstr_len, 0, &je);
	bstr_free(&bytes);
	settings = json_object_get(j, "settings");
	seed = json_string_value(json_object_get(j, "seed"));
	ok = seed && json_is_string(json_object_get(j, "peer_address")) &&
	     settings_from_json(settings, &r->settings, e);
	if (ok) {
		r->seed = strtoull(seed, NULL, 10);
		r->peer_address = xstrdup(
			json_string_value(json_object_get(j, "peer_address")));
	}
	json_decref(j);
	return ok;
}

/* Open a recording; NULL and findings if it is none. */
struct recording *recording_open(const char *path, struct error *e)
{
	char magic[sizeof(RECORD_MAGIC)] = "";
	struct recording *r;
	FILE *f = fopen(path, "re");

	if (!f) {
		error_add(e, path, "can't be opened: %s", strerror(errno));
		return NULL;
	}
	r = xcalloc(1, sizeof(*r));
	r->file = f;
	if (fread(magic, 1, sizeof(magic) - 1, f) == sizeof(magic) - 1 &&
	    strcmp(magic, RECORD_MAGIC) == 0 && header_read(r, e))
		return r;
	error_add(e, path, "expected a recording of bamboofrontd");
	recording_close(r);
	return NULL;
}

const struct settings *recording_settings(const struct recording *r)
{
	return &r->settings;
}

uint64_t recording_seed(const struct recording *r)
{
	return r->seed;
}

const char *recording_peer_address(const struct recording *r)
{
	return r->peer_address;
}

/* Read the next step; only after RECORD_STEP does st hold anything. */
enum record_result recording_next(struct recording *r, step *st)
{
	enum record_result result;
	bstr bytes;

	result = record_read(r->file, &bytes);
	if (result != RECORD_STEP)
		return result;
	if (!xdr_decode(XDR_PROC(xdr_step), bytes, st, sizeof(*st)))
		result = RECORD_BAD;
	bstr_free(&bytes);
	return result;
}

/* Close a recording. */
void recording_close(struct recording *r)
{
	if (!r)
		return;
	fclose(r->file);
	settings_free(&r->settings);
	free(r->peer_address);
	free(r);
}

/* Compare two lists of effects. */
ssize_t effects_mismatch(const effect *a, size_t a_count, const effect *b,
			 size_t b_count)
{
	size_t i;

	for (i = 0; i < a_count && i < b_count; i++)
		if (!xdr_equal(XDR_PROC(xdr_effect), &a[i], &b[i]))
			return (ssize_t)i;
	return a_count == b_count ? -1 : (ssize_t)i;
}

/*
 * Printing: an XDR stream that writes text.  The schema's own functions walk
 * the value, so nothing is left out and nothing has to be kept in step.
 */
static bool_t print_long(XDR *x, const long *value)
{
	fprintf((FILE *)(void *)x->x_private, " %ld", *value);
	return TRUE;
}

/* Print bytes as a quoted string; padding, which is zeroes, is left out. */
static bool_t print_bytes(XDR *x, const char *bytes, u_int len)
{
	static const char zeroes[BYTES_PER_XDR_UNIT];
	FILE *f = (FILE *)(void *)x->x_private;
	u_int i;

	if (len < sizeof(zeroes) && !memcmp(bytes, zeroes, len))
		return TRUE;
	fputs(" \"", f);
	for (i = 0; i < len; i++) {
		if (bytes[i] == '"' || bytes[i] == '\\')
			fprintf(f, "\\%c", bytes[i]);
		else if (isprint((unsigned char)bytes[i]))
			fputc(bytes[i], f);
		else
			fprintf(f, "\\x%02x", (unsigned char)bytes[i]);
	}
	fputc('"', f);
	return TRUE;
}

/* This stream has no buffer to write into. */
static int32_t *print_inline(XDR *x, u_int len)
{
	(void)x;
	(void)len;
	return NULL;
}

/* Print a value; numbers of 64 bits come as two halves. */
void xdr_print(FILE *f, xdrproc_t proc, const void *value)
{
	static const struct xdr_ops ops = {.x_putlong = print_long,
					   .x_putbytes = print_bytes,
					   .x_inline = print_inline};
	XDR x = {.x_op = XDR_ENCODE, .x_ops = &ops, .x_private = (void *)f};

	proc(&x, (void *)value);
}

/* The name of an event's kind. */
const char *event_name(event_kind kind)
{
	static const char *const names[] = {
		[EV_TICK] = "EV_TICK",
		[EV_CALL] = "EV_CALL",
		[EV_CALL_GONE] = "EV_CALL_GONE",
		[EV_OPERATE] = "EV_OPERATE",
		[EV_PEER] = "EV_PEER",
		[EV_PEER_LOST] = "EV_PEER_LOST",
		[EV_PLATFORM] = "EV_PLATFORM",
		[EV_WORKER] = "EV_WORKER",
		[EV_STOP] = "EV_STOP",
	};

	return (size_t)kind < NELEMS(names) ? names[kind] : "EV_?";
}

/* The name of an effect's kind. */
const char *effect_name(effect_kind kind)
{
	static const char *const names[] = {
		"FX_?",		 "FX_ANSWER",  "FX_OP_REPLY", "FX_PEER",
		"FX_COMMIT",	 "FX_READ",    "FX_SCAN",     "FX_OBJECT_PUT",
		"FX_OBJECT_GET", "FX_VM_LIST", "FX_WORKER",   "FX_LOG",
		"FX_COUNT",	 "FX_WAKE",    "FX_READY",    "FX_EXIT",
		"FX_REBOOT",
	};

	return (size_t)kind < NELEMS(names) ? names[kind] : names[0];
}
