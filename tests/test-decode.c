#include "../json-read.h"
#include "../platform/platform.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/*
 * Guards against a truncated list of ends that is taken for a complete one:
 * tasks whose ends follow in the next list would be started again.
 */
static const struct {
	size_t ends;
	bool truncated;
} list_rows[] = {
	{0, false},
	{1, false},
	{499, false},
	{500, true},
};
Test(decode, a_full_list_of_ends_is_no_whole_one)
{
	struct sched_event *ev;
	json_t *j, *ended;
	size_t row, i;

	for (row = 0; row < NELEMS(list_rows); row++) {
		ended = json_array();
		for (i = 0; i < list_rows[row].ends; i++)
			json_array_append_new(
				ended,
				json_pack("[I, s, I, s, s]", (json_int_t)i + 1,
					  "00000000000000aa.0.0.0",
					  (json_int_t)i + 1, "done", ""));
		j = json_pack("{s:I, s:[], s:o}", "clock_ms", (json_int_t)9,
			      "running", "ended", ended);
		ev = xcalloc(1, sizeof(*ev));
		ev->kind = EVENT_ANSWER;
		runs_read(j, &ev->answer);
		cr_expect_eq(ev->answer.ended_count, list_rows[row].ends);
		cr_expect_eq(ev->answer.ended_truncated,
			     list_rows[row].truncated, "%zu",
			     list_rows[row].ends);
		sched_event_free(ev);
		json_decref(j);
	}
}

/*
 * Guards against a start whose body is no JSON, or has another specification
 * than the caller gave: bodies are formatted without the JSON library.
 */
static const struct {
	const char *text;
	size_t len;
	const char *quoted;
} quote_rows[] = {
	{"", 0, "\"\""},
	{"plain text, 1 / 2 = {0.5}", 25, "\"plain text, 1 / 2 = {0.5}\""},
	{"a \"quote\"", 9, "\"a \\\"quote\\\"\""},
	{"back\\slash", 10, "\"back\\\\slash\""},
	{"line\nand\ttab", 12, "\"line\\nand\\ttab\""},
	{"nul\0nul", 7, "\"nul\\u0000nul\""},
	{"\x1f\x7f", 2, "\"\\u001F\x7f\""},
	{"gr\xc3\xbc\xc3\x9f", 6, "\"gr\xc3\xbc\xc3\x9f\""},
	{"not \xff\xfe UTF-8", 12, "\"not ?? UTF-8\""},
};
Test(decode, a_text_is_quoted_as_the_library_does)
{
	size_t row;

	for (row = 0; row < NELEMS(quote_rows); row++) {
		bstr text = bstr_ref(quote_rows[row].text, quote_rows[row].len);
		bstr quoted = json_quote(text);
		json_t *given = bstr_to_json(text);
		json_t *j = json_loadb(quoted.bstr_val, quoted.bstr_len,
				       JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

		cr_expect(bstr_eq_str(quoted, quote_rows[row].quoted),
			  "row %zu: %.*s", row, BSTR_ARG(quoted));
		cr_expect(json_equal(j, given), "row %zu: %.*s", row,
			  BSTR_ARG(quoted));
		json_decref(j);
		json_decref(given);
		bstr_free(&quoted);
	}
}

/*
 * Guards against a request for evacuation that is not seen because of what is
 * in its value, which means nothing, or is seen in the row of another matter.
 */
static const struct {
	const char *key;
	const char *dc; /* NULL: it is no such request */
} evacuation_rows[] = {
	{"evacuate/east", "east"},
	{"evacuate/a", "a"},
	{"evacuate/a/b c", "a/b c"},
	{"evacuate/", NULL},
	{"evacuate", NULL},
	{"evacuated/east", NULL},
	{"xevacuate/east", NULL},
	{"wave/1", NULL},
	{"config", NULL},
	{"", NULL},
};
Test(decode, the_key_of_an_evacuation_names_the_data_centre)
{
	size_t row;
	bstr dc;

	for (row = 0; row < NELEMS(evacuation_rows); row++) {
		dc = BSTR_NONE;
		cr_expect_eq(evacuation_key_read(
				     bstr_lit(evacuation_rows[row].key), &dc),
			     evacuation_rows[row].dc != NULL, "%s",
			     evacuation_rows[row].key);
		cr_expect(bstr_eq_str(dc, evacuation_rows[row].dc
						  ? evacuation_rows[row].dc
						  : ""),
			  "%s: %.*s", evacuation_rows[row].key, BSTR_ARG(dc));
		bstr_free(&dc);
	}
}

/* Guards against work on a worker whose data centre isn't known. */
Test(decode, a_worker_without_a_data_centre_is_not_used)
{
	static const char *const zones[] = {"\"zone\": \"east\",", "",
					    "\"zone\": 7,"};
	struct worker_row w = {0};
	struct error e;
	char *text;
	size_t row;
	json_t *j;

	for (row = 0; row < NELEMS(zones); row++) {
		text = xasprintf("{\"service\": \"s\", %s \"address\": \"a\", "
				 "\"state\": \"ready\", \"capacity\": {}}",
				 zones[row]);
		j = json_read(bstr_lit(text));
		error_init(&e);
		cr_expect_eq(worker_row_read(j, &w, &e), row == 0, "%zu", row);
		cr_expect_eq(e.count > 0, row > 0, "%zu", row);
		error_free(&e);
		worker_row_free(&w);
		json_decref(j);
		free(text);
	}
}
