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
		text = xasprintf("{\"service\": \"s\", %s \"address\": "
				 "\"10.1.0.1:80\", "
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

/* A worker's row with one member replaced, or as it is. */
#define WORKER_ROW(capacity, address, born)                                          \
	"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"address\":" address \
	",\"capacity\":" capacity ",\"born\":" born "}"
#define ROOM "{\"cpu\":32000,\"requested_memory_mb\":64000}"
#define ADDRESS "\"10.1.0.1:80\""
#define BORN "1790000000000"

/*
 * Guards against an odd entry among the workers that stops the work of a whole
 * pool: sums of its room overflow, or it is polled for ever.
 */
static const struct {
	const char *text;
	bool valid;
} worker_rows[] = {
	{WORKER_ROW(ROOM, ADDRESS, BORN), true},
	{WORKER_ROW("{}", ADDRESS, BORN), true},
	{WORKER_ROW("{\"cpu\":1000000000}", ADDRESS, "0"), true},
	{WORKER_ROW("{\"cpu\":1000000001}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":9223372036854775807}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":4611686018427387904}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":-9223372036854775808}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":-1}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":1e300}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":-1e300}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":1e999}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":\"32000\"}", ADDRESS, BORN), false},
	{WORKER_ROW("{\"cpu\":1,\"requested_memory_mb\":1e30}", ADDRESS, BORN),
	 false},
	{WORKER_ROW("{\"cpu\":1,\"gpus\":9223372036854775807}", ADDRESS, BORN),
	 false},
	{WORKER_ROW(ROOM, ADDRESS, "9223372036854775807"), false},
	{WORKER_ROW(ROOM, ADDRESS, "1e300"), false},
	{WORKER_ROW(ROOM, ADDRESS, "-1"), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:65535\"", BORN), true},
	{WORKER_ROW(ROOM, "\"10.1.0.1:65536\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:0\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:-1\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1\"", BORN), false},
	{WORKER_ROW(ROOM, "\":80\"", BORN), false},
	{WORKER_ROW(ROOM, "\"\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:80 \"", BORN), false},
	{WORKER_ROW(ROOM, "\" 10.1.0.1:80\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:80\\r\\nX-A: b\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:80/x\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:80@10.1.0.2:80\"", BORN), false},
	{WORKER_ROW(ROOM, "\"http://10.1.0.1:80\"", BORN), false},
	{WORKER_ROW(ROOM, "\"[::1]:80\"", BORN), false},
	{WORKER_ROW(ROOM, "\"host.example:80\"", BORN), false},
	{WORKER_ROW(ROOM, "\"10.1.0.1:000000000000000000000000080\"", BORN),
	 true},
	{WORKER_ROW(ROOM, "\"10.1.0.1:9999999999999999999999999999\"", BORN),
	 false},
	{WORKER_ROW(ROOM, "7", BORN), false},
	{WORKER_ROW("[]", ADDRESS, BORN), false},
};
Test(decode, an_odd_entry_names_no_worker)
{
	struct worker_row w;
	struct error e;
	size_t row;
	json_t *j;
	bool ok;

	for (row = 0; row < NELEMS(worker_rows); row++) {
		memset(&w, 0, sizeof(w));
		error_init(&e);
		j = json_read(bstr_lit(worker_rows[row].text));
		ok = j && worker_row_read(j, &w, &e);
		cr_expect_eq(ok, worker_rows[row].valid, "row %zu", row);
		cr_expect_eq(e.count > 0, j && !ok, "row %zu", row);
		worker_row_free(&w);
		error_free(&e);
		json_decref(j);
	}
}

/*
 * Guards against a process that ends, or stands still, when it reads a very
 * deeply nested row: the parser refuses it, and what it takes can be freed.
 */
Test(decode, a_deeply_nested_row_is_read_or_refused)
{
	static const unsigned depths[] = {10, 1900, 2100, 20000, 200000};
	struct worker_row w = {0};
	unsigned i, k;
	struct error e;
	char *text, *p;
	json_t *j;

	for (i = 0; i < NELEMS(depths); i++) {
		text = xcalloc(2 * depths[i] + 400, 1);
		p = text + sprintf(text, "%s", WORKER_ROW(ROOM, ADDRESS, BORN));
		p += sprintf(p - 1, ",\"x\":") - 1;
		for (k = 0; k < depths[i]; k++)
			*p++ = '[';
		for (k = 0; k < depths[i]; k++)
			*p++ = ']';
		*p++ = '}';
		error_init(&e);
		j = json_read(bstr_lit(text));
		cr_expect_eq(j != NULL, depths[i] < 2000, "depth %u",
			     depths[i]);
		cr_expect_eq(j && worker_row_read(j, &w, &e), j != NULL);
		worker_row_free(&w);
		error_free(&e);
		json_decref(j);
		free(text);
	}
}

/* Guards against a job whose numbers are cut off and then carried out. */
static const struct {
	const char *text;
	bool valid;
} job_rows[] = {
	{"{\"specification\":\"\",\"steps\":[{\"count\":4096}]}", true},
	{"{\"specification\":\"\",\"steps\":[{\"count\":4097}]}", false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":4294967297}]}", false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1e300}]}", false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":-1}]}", false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1,\"cpu\":1e300}]}",
	 false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1,"
	 "\"cpu\":9223372036854775807}]}",
	 false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1,\"cpu\":-1}]}",
	 false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1,"
	 "\"estimated_ms\":1e300,\"anti_affinity\":1e300,\"may_miss\":-1e300,"
	 "\"target_ms\":9223372036854775807}]}",
	 true},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1}],"
	 "\"repeat_count\":100,\"first_run_ms\":1790000000000,"
	 "\"interval_ms\":60000}",
	 true},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1}],"
	 "\"repeat_count\":4294967297,\"interval_ms\":1}",
	 false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1}],"
	 "\"repeat_count\":4294967295,\"interval_ms\":9007199254740992}",
	 false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1}],"
	 "\"repeat_count\":2,\"first_run_ms\":9223372036854775807}",
	 false},
	{"{\"specification\":\"\",\"steps\":[{\"count\":1}],"
	 "\"repeat_count\":2,\"interval_ms\":-1}",
	 false},
};
Test(decode, a_job_out_of_range_is_refused)
{
	struct job_body *b;
	char *error;
	size_t row;
	json_t *j;

	for (row = 0; row < NELEMS(job_rows); row++) {
		j = json_read(bstr_lit(job_rows[row].text));
		cr_assert(j, "row %zu", row);
		error = NULL;
		b = job_body_read(j, &error);
		cr_expect_eq(b != NULL, job_rows[row].valid, "row %zu", row);
		cr_expect_eq(error != NULL, !b, "row %zu", row);
		if (b)
			job_body_free(b);
		free(error);
		json_decref(j);
	}
}

/* Guards against a wave that takes down all machines at once. */
static const struct {
	const char *text;
	unsigned max_unavailable;
} wave_rows[] = {
	{"{\"wave\":1,\"machines\":[],\"maximum\":3}", 3},
	{"{\"wave\":1,\"machines\":[]}", 1},
	{"{\"wave\":1,\"machines\":[],\"maximum\":-1}", 1},
	{"{\"wave\":1,\"machines\":[],\"maximum\":-1e300}", 1},
	{"{\"wave\":1,\"machines\":[],\"maximum\":\"all\"}", 1},
	{"{\"wave\":1,\"machines\":[],\"finish_by_s\":1e300}", 1},
	{"{\"wave\":1,\"machines\":[],\"finish_by_s\":9223372036854775807}", 1},
};
Test(decode, an_odd_wave_takes_one_machine_at_a_time)
{
	struct wave_row w;
	struct error e;
	size_t row;
	json_t *j;

	for (row = 0; row < NELEMS(wave_rows); row++) {
		memset(&w, 0, sizeof(w));
		error_init(&e);
		j = json_read(bstr_lit(wave_rows[row].text));
		cr_assert(wave_row_read(j, &w, &e), "row %zu", row);
		cr_expect_eq(w.max_unavailable, wave_rows[row].max_unavailable,
			     "row %zu: %u", row, w.max_unavailable);
		cr_expect_leq(w.finish_by_s, INT32_MAX, "row %zu", row);
		wave_row_free(&w);
		error_free(&e);
		json_decref(j);
	}
}

/* Guards against odd numbers of a configuration or of a worker's answer. */
Test(decode, odd_numbers_are_bounded)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"stretch\":1e300,"
		"\"target_latency_ms\":1e300,\"max_attempts\":-3,"
		"\"priority\":9223372036854775807}],\"tenants\":[{\"name\":"
		"\"t\",\"weight\":-1e300,\"maximum\":{\"cpu\":1e300,\"gpus\":"
		"-9223372036854775808}}]}";
	static const char answer[] =
		"{\"clock_ms\":9223372036854775807,\"born\":1e300,\"running\":"
		"[[\"t\",1,\"\",1e300,-1e300]],\"ended\":[]}";
	struct sched_event *ev = xcalloc(1, sizeof(*ev));
	struct fleet_config *c;
	struct error e;
	json_t *j;

	error_init(&e);
	j = json_read(bstr_lit(config));
	c = config_read(j, &e);
	cr_assert(c);
	cr_expect_leq(c->routes[0].stretch, 1e6);
	cr_expect_eq(c->routes[0].objective_ms, UINT32_MAX);
	cr_expect_eq(c->routes[0].attempts, 0);
	cr_expect_eq(c->routes[0].priority, UINT32_MAX);
	cr_expect_eq(c->tenants[0].weight, 0);
	cr_expect_eq(c->tenants[0].maximum.cpu, 1000000000000);
	cr_expect_eq(c->tenants[0].maximum.gpus, 0);
	fleet_config_free(c);
	json_decref(j);
	error_free(&e);
	ev->kind = EVENT_ANSWER;
	j = json_read(bstr_lit(answer));
	runs_read(j, &ev->answer);
	cr_expect_eq(ev->answer.clock, (int64_t)1 << 53);
	cr_expect_eq(ev->answer.worker_started_at, (int64_t)1 << 53);
	cr_expect_eq(ev->answer.running[0].percent, 100);
	cr_expect_eq(ev->answer.running[0].load_figure, 0);
	sched_event_free(ev);
	json_decref(j);
}
