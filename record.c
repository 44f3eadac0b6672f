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
 * A recording starts with this line.  Records follow, each preceded by its
 * length in four bytes, in network byte order.  The first record is the header,
 * in JSON; the others are steps, in XDR.  A length of zero means that the
 * daemon stopped recording.
 */
#define RECORD_MAGIC "bamboofront recording 1\n"
#define RECORD_QUEUE_LENGTH 8192
#define RECORD_QUEUE_BYTES (64u << 20)
#define RECORD_MAX_BYTES (256u << 20)

struct recorder {
	FILE *file;
	pthread_t thread;
	struct mailbox *queue; /* of bstr *; an empty one ends it */
	uint64_t queued;       /* bytes in the queue */
	int failed;	       /* a write has failed */
	bool stopped;	       /* recorder_step has stopped recording */
};

struct recording {
	FILE *file;
	struct settings settings;
	uint64_t seed;
	char *peer_address;
};

/* Writes a record; an empty one has only a length of zero. */
static bool record_write(FILE *f, bstr bytes)
{
	uint32_t len = htonl(bytes.bstr_len);

	return fwrite(&len, sizeof(len), 1, f) == 1 &&
	       (!bytes.bstr_len ||
		fwrite(bytes.bstr_val, bytes.bstr_len, 1, f) == 1);
}

/* Thread of the writer: writes queued records until it takes an empty one. */
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

/* Returns the header record, with all parameters of state_new. */
static bstr header_encode(const struct settings *s, uint64_t seed,
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

/*
 * Starts a recording.  Returns NULL and adds a finding if the file exists or
 * can't be written.
 */
struct recorder *recorder_open(const char *path, const struct settings *s,
			       uint64_t seed, const char *peer_address,
			       struct error *e)
{
	bstr header = header_encode(s, seed, peer_address);
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
	r->queue = mailbox_new(RECORD_QUEUE_LENGTH);
	if (pthread_create(&r->thread, NULL, recorder_run, r))
		abort();
	return r;
}

/*
 * Queues bytes for the writer, which frees them.  Returns false if the queue is
 * full.
 */
static bool recorder_enqueue(struct recorder *r, bstr bytes)
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
 * Records a step.  If the writer falls behind, because the disk is slow, the
 * recording stops here: waiting for the writer would delay answers, and a
 * recording with a gap could not be replayed.  What has been written is a
 * complete prefix.
 */
void recorder_step(struct recorder *r, const event *ev,
		   const struct effects *fx)
{
	step st = {.event = *ev, .effects = {(u_int)fx->count, fx->list}};
	bstr bytes;

	if (r->stopped)
		return;
	bytes = xdr_encode(XDR_PROC(xdr_step), &st);
	if (bytes.bstr_len && !ck_pr_load_int(&r->failed) &&
	    ck_pr_load_64(&r->queued) < RECORD_QUEUE_BYTES &&
	    recorder_enqueue(r, bytes))
		return;
	bstr_free(&bytes);
	r->stopped = true;
	log_event(LOG_OVERRUN, "recording stopped: its writer is too slow or "
			       "cannot write");
}

/*
 * Ends a recording.  Returns false if it stopped early or could not be written.
 */
bool recorder_close(struct recorder *r)
{
	bool complete;

	if (!r)
		return true;
	while (!recorder_enqueue(r, BSTR_NONE))
		sched_yield(); /* full; the writer is emptying it */
	pthread_join(r->thread, NULL);
	if (r->stopped && !r->failed && !record_write(r->file, BSTR_NONE))
		r->failed = 1;
	if (fclose(r->file))
		r->failed = 1;
	complete = !r->stopped && !r->failed;
	mailbox_free(r->queue);
	free(r);
	return complete;
}

/*
 * Reads the bytes of a record, which may also be the header.  Returns
 * RECORD_STEP on success.
 */
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

/* Reads the header record into r. */
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

/* Opens a recording.  Returns NULL and adds findings if the file is not one. */
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

/* Reads the next step; sets st only if the result is RECORD_STEP. */
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

/* Closes a recording; NULL is allowed. */
void recording_close(struct recording *r)
{
	if (!r)
		return;
	fclose(r->file);
	settings_free(&r->settings);
	free(r->peer_address);
	free(r);
}

/* Returns the index of the first effect that differs, or -1 if none does. */
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
 * Values are printed with an XDR stream that writes text.  The generated codecs
 * walk the value, so no field is left out and no printing code has to follow
 * changes of the schema.
 */
static bool_t print_long(XDR *x, const long *value)
{
	fprintf((FILE *)(void *)x->x_private, " %ld", *value);
	return TRUE;
}

/*
 * Prints bytes as a quoted string; omits XDR padding, up to three zero bytes.
 */
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

/* Tells the codecs that the stream has no buffer for direct access. */
static int32_t *print_inline(XDR *x, u_int len)
{
	(void)x;
	(void)len;
	return NULL;
}

/* Prints a value as text; a 64-bit number appears as two 32-bit halves. */
void xdr_print(FILE *f, xdrproc_t proc, const void *value)
{
	static const struct xdr_ops ops = {.x_putlong = print_long,
					   .x_putbytes = print_bytes,
					   .x_inline = print_inline};
	XDR x = {.x_op = XDR_ENCODE, .x_ops = &ops, .x_private = (void *)f};

	proc(&x, (void *)value);
}

/* Returns the name of an event kind. */
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

/* Returns the name of an effect kind. */
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
