#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "record.h"

static char path[64];
static struct error e;
static struct settings settings;

/* Creates settings that have a secret, and the name of a recording. */
static void set_up(void)
{
	json_t *j;

	snprintf(path, sizeof(path), "/tmp/test-record-%d", (int)getpid());
	error_init(&e);
	j = json_pack("{s:s, s:s, s:{s:i}}", "vm", "e1", "dc", "east", "timing",
		      "tick_ms", 42);
	cr_assert(settings_from_json(j, &settings, &e));
	json_decref(j);
	settings.platform.token = xstrdup("hush-token");
}

static void tear_down(void)
{
	remove(path);
	error_free(&e);
	settings_free(&settings);
}

TestSuite(record, .init = set_up, .fini = tear_down);

/*
 * Records n ticks, each with a log line and a wake as effects.  Unless complete
 * is set, a step that can't be encoded and another step follow.
 */
static void write_steps(int n, bool complete)
{
	struct recorder *r = recorder_open(path, &settings, UINT64_MAX,
					   "127.0.0.1:9", &e);
	effect list[2] = {{.kind = FX_LOG}, {.kind = FX_WAKE}};
	struct effects fx = {list, 2, 2};
	event ev = {.body.kind = EV_TICK};
	char *big;

	cr_assert(r);
	for (ev.now = 0; ev.now < n; ev.now++) {
		list[0].effect_u.log.text = bstr_lit("words");
		list[1].effect_u.wake = ev.now + 5;
		recorder_step(r, &ev, &fx);
	}
	if (!complete) {
		/* can't be encoded, as it exceeds the limit of the schema */
		big = xcalloc(1, BSTR_MAX + 1);
		list[0].effect_u.log.text = bstr_ref(big, BSTR_MAX + 1);
		recorder_step(r, &ev, &fx);
		free(big);
		list[0].effect_u.log.text = bstr_lit("after the mark");
		recorder_step(r, &ev, &fx);
	}
	cr_expect_eq(recorder_close(r), complete);
}

/* Reads and checks all steps; returns their number and the last result. */
static int read_steps(enum record_result *end)
{
	struct recording *r = recording_open(path, &e);
	int n = 0;
	step st;

	cr_assert(r);
	while ((*end = recording_next(r, &st)) == RECORD_STEP) {
		cr_expect_eq(st.event.now, n);
		cr_expect_eq(st.effects.effects_len, 2);
		cr_expect(bstr_eq_str(
			st.effects.effects_val[0].effect_u.log.text, "words"));
		xdr_free(XDR_PROC(xdr_step), (char *)&st);
		n++;
	}
	recording_close(r);
	return n;
}

/* Steps, settings, seed and address are read as they were recorded. */
Test(record, round_trip)
{
	enum record_result end;
	struct recording *r;

	write_steps(300, true);
	r = recording_open(path, &e);
	cr_assert(r);
	cr_expect_eq(recording_seed(r), UINT64_MAX);
	cr_expect_str_eq(recording_peer_address(r), "127.0.0.1:9");
	cr_expect(bstr_eq_str(recording_settings(r)->dc, "east"));
	cr_expect_eq(recording_settings(r)->timing.tick_ms, 42);
	recording_close(r);
	cr_expect_eq(read_steps(&end), 300);
	cr_expect_eq(end, RECORD_END);
}

/* A recording holds no secret of the settings, as it may be handed on. */
Test(record, no_secrets)
{
	char text[4096];
	size_t n;
	FILE *f;

	write_steps(1, true);
	f = fopen(path, "r");
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	cr_expect_not(memmem(text, n, "hush", 4));
}

/*
 * A recording of a daemon that was killed while it wrote ends within a step.
 * Wherever that is, the steps before are read and the last is reported as
 * truncated, never as a step or as the regular end.
 */
Test(record, torn)
{
	enum record_result end;
	struct stat first_stat, second_stat;
	off_t size;

	write_steps(1, true);
	stat(path, &first_stat);
	remove(path);
	write_steps(2, true);
	stat(path, &second_stat);
	for (size = second_stat.st_size - 1; size > first_stat.st_size;
	     size--) {
		cr_assert_eq(truncate(path, size), 0);
		cr_expect_eq(read_steps(&end), 1);
		cr_expect_eq(end, RECORD_TRUNCATED, "at byte %ld", (long)size);
	}
	cr_assert_eq(truncate(path, first_stat.st_size), 0);
	cr_expect_eq(read_steps(&end), 1);
	cr_expect_eq(end, RECORD_END);
}

/*
 * If a step can't be recorded, the recording stops there with a mark.  Later
 * steps must not be in the file, or a replay would differ although the reducer
 * is correct.
 */
Test(record, cut)
{
	enum record_result end;

	write_steps(3, false);
	cr_expect_eq(read_steps(&end), 3);
	cr_expect_eq(end, RECORD_STOPPED);
}

/* Files that aren't recordings, and one with an invalid step. */
Test(record, bad)
{
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = {
		{"", 0},
		{"bamboofront recording 2\n", 24},
		{"bamboofront recording 1\n", 24},
		{"bamboofront recording 1\n\0\0\0\2{}", 30},
		{"bamboofront recording 1\n\0\0\0\4{\"a\"", 32},
		{"bamboofront recording 1\n\xff\xff\xff\xff", 28},
	};
	enum record_result end;
	size_t i;
	FILE *f;

	cr_expect_not(recording_open("/no/such/file", &e));
	for (i = 0; i < NELEMS(cases); i++) {
		f = fopen(path, "w");
		fwrite(cases[i].bytes, 1, cases[i].len, f);
		fclose(f);
		cr_expect_not(recording_open(path, &e), "case %zu", i);
	}
	remove(path);
	write_steps(1, true);
	f = fopen(path, "a");
	fwrite("\0\0\0\4\377\377\377\377", 1, 8, f);
	fclose(f);
	cr_expect_eq(read_steps(&end), 1);
	cr_expect_eq(end, RECORD_BAD);
}

/* A recording doesn't overwrite an existing file. */
Test(record, exists)
{
	write_steps(1, true);
	cr_expect_not(recorder_open(path, &settings, 1, "", &e));
	cr_expect_not(recorder_open("/no/such/dir/f", &settings, 1, "", &e));
	cr_expect_eq(e.count, 2);
}

/* The index of the first difference, also if one list is longer; -1: none. */
Test(record, differ)
{
	effect a[] = {{.kind = FX_WAKE, .effect_u.wake = 1},
		      {.kind = FX_WAKE, .effect_u.wake = 2},
		      {.kind = FX_EXIT}};
	effect b[] = {{.kind = FX_WAKE, .effect_u.wake = 1},
		      {.kind = FX_WAKE, .effect_u.wake = 3},
		      {.kind = FX_EXIT}};
	static const struct {
		size_t a, b;
		ssize_t at;
	} cases[] = {{0, 0, -1}, {1, 1, -1}, {2, 2, 1}, {3, 3, 1},
		     {0, 1, 0},	 {1, 0, 0},  {3, 1, 1}};
	size_t i;

	for (i = 0; i < NELEMS(cases); i++)
		cr_expect_eq(effects_mismatch(a, cases[i].a, b, cases[i].b),
			     cases[i].at, "case %zu", i);
}

/* A printed value is readable; non-printable bytes are escaped. */
Test(record, print)
{
	effect fx = {.kind = FX_LOG};
	char *text = NULL;
	size_t size;
	FILE *f = open_memstream(&text, &size);

	fx.effect_u.log.number = 1001;
	fx.effect_u.log.text = bstr_lit("a \"b\"\n");
	xdr_print(f, XDR_PROC(xdr_effect), &fx);
	fclose(f);
	cr_expect_str_eq(text, " 11 1001 6 \"a \\\"b\\\"\\x0a\"");
	free(text);
	cr_expect_str_eq(effect_name(FX_EXIT), "FX_EXIT");
	cr_expect_str_eq(event_name(EV_STOP), "EV_STOP");
	cr_expect_str_eq(effect_name((effect_kind)99), "FX_?");
}
