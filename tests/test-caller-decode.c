#include "support-caller.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define TEXT(s)                            \
	{                                  \
		sizeof(s) - 1, (char *)(s) \
	}
#define X16 "xxxxxxxxxxxxxxxx"
#define X128 X16 X16 X16 X16 X16 X16 X16 X16
#define OPEN8 "[[[[[[[["
#define CLOSE8 "]]]]]]]]"
/* A valid submission, with more members. */
#define VALID_BODY(more) "{\"pool\":\"p\",\"payload\":1" more "}"

static const struct caller_limits limits = {4096, 30000};

/* Decodes a request; fields and queries are name and value in turn. */
static bool decode(struct caller_call *c, const char *method, const char *path,
		   const char *const *fields, const char *const *queries,
		   bstr body)
{
	struct caller_head h = {.method = bstr_lit(method),
				.path = bstr_lit(path)};

	for (; *fields; fields += 2)
		h.headers[h.header_count++] = (struct caller_field){
			bstr_lit(fields[0]), bstr_lit(fields[1])};
	for (; *queries; queries += 2)
		h.queries[h.query_count++] = (struct caller_field){
			bstr_lit(queries[0]), bstr_lit(queries[1])};
	return caller_decode_head(&h, &limits, c) &&
	       caller_decode_body(body, &limits, c);
}

/* Returns true if there is a finding at a location. */
static bool has_finding(const struct caller_call *c, const char *location)
{
	const struct finding *f;

	TAILQ_FOREACH(f, &c->problem.findings.findings, entry)
		if (!strcmp(f->location, location))
			return true;
	return false;
}

static const char bearer[] = "Bearer " CALLER_KEY;
static const char *const auth[] = {"authorization", "bearer " CALLER_KEY, NULL};
static const char *const no_fields[] = {NULL};

/*
 * Bodies of submissions.  Without a status the body is accepted; with a
 * location there must be a finding there; otherwise the whole body is refused.
 */
Test(caller_decode, bodies)
{
	static const struct {
		bstr body;
		unsigned http;
		const char *location;
	} cases[] = {
		{TEXT(VALID_BODY("")), 0, NULL},
		{TEXT(" \r\n\t" VALID_BODY("") "\n"), 0, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\"")), 0, NULL},
		{TEXT(VALID_BODY(",\"label\":\"" X128 "\"")), 0, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\\u00e9t\xc3\xa9\"")), 0, NULL},
		{TEXT(VALID_BODY(",\"timeout_ms\":1,\"run_ms\":604800000")), 0,
		 NULL},
		{TEXT(VALID_BODY(",\"timeout_ms\":86400000")), 0, NULL},
		{TEXT(VALID_BODY(",\"wait\":true,\"timeout_ms\":30000")), 0,
		 NULL},
		{TEXT(VALID_BODY(",\"cpu_milli\":1024000,\"accelerators\":64")),
		 0, NULL},
		{TEXT("{\"pool\":\"p\",\"payload\":null}"), 0, NULL},
		{TEXT("{\"pool\":\"p\",\"payload\":\"[[[{{{\\\"[\"}"), 0, NULL},
		{TEXT(""), 400, NULL},
		{TEXT(" "), 400, NULL},
		{TEXT("{"), 400, NULL},
		{TEXT("{}{}"), 400, NULL},
		{TEXT("nul"), 400, NULL},
		{TEXT(VALID_BODY("") "\0"), 400, NULL},
		{TEXT("\0"), 400, NULL},
		{TEXT("\xef\xbb\xbf" VALID_BODY("")), 400, NULL},
		{TEXT("{'pool':'p'}"), 400, NULL},
		{TEXT("{\"pool\":\"p\",}"), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\xff\"")), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\xc0\xaf\"")), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\xed\xa0\x80\"")), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\\ud800\"")), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"\\u0000\"")), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"a\nb\"")), 400, NULL},
		{TEXT(VALID_BODY(",\"label\":\"a\",\"label\":\"a\"")), 400,
		 NULL},
		{TEXT("{\"pool\":\"p\",\"payload\":{\"a\":1,\"a\":2}}"), 400,
		 NULL},
		{TEXT(VALID_BODY(",\"run_ms\":99999999999999999999")), 400,
		 NULL},
		{TEXT(VALID_BODY(",\"run_ms\":1e999")), 400, NULL},
		{TEXT(VALID_BODY(",\"run_ms\":NaN")), 400, NULL},
		{TEXT(VALID_BODY(",\"run_ms\":0x10")), 400, NULL},
		{TEXT(VALID_BODY(",\"run_ms\":01")), 400, NULL},
		{TEXT(OPEN8 OPEN8 OPEN8 OPEN8 "[" CLOSE8 CLOSE8 CLOSE8 CLOSE8
					      "]"),
		 400, NULL},
		{TEXT(OPEN8 OPEN8 OPEN8 OPEN8 CLOSE8 CLOSE8 CLOSE8 CLOSE8), 422,
		 ""},
		{TEXT("[]"), 422, ""},
		{TEXT("null"), 422, ""},
		{TEXT("\"pool\""), 422, ""},
		{TEXT("{}"), 422, "/pool"},
		{TEXT("{}"), 422, "/payload"},
		{TEXT("{\"pool\":\"p\"}"), 422, "/payload"},
		{TEXT("{\"payload\":1}"), 422, "/pool"},
		{TEXT("{\"pool\":\"\",\"payload\":1}"), 422, "/pool"},
		{TEXT("{\"pool\":\"P\",\"payload\":1}"), 422, "/pool"},
		{TEXT("{\"pool\":\"a/b\",\"payload\":1}"), 422, "/pool"},
		{TEXT("{\"pool\":\"" X128 "\",\"payload\":1}"), 422, "/pool"},
		{TEXT("{\"pool\":7,\"payload\":1}"), 422, "/pool"},
		{TEXT(VALID_BODY(",\"team\":\"t\"")), 422, "/team"},
		{TEXT(VALID_BODY(",\"\":1")), 422, "/"},
		{TEXT(VALID_BODY(",\"a/b~c\":1")), 422, "/a~1b~0c"},
		{TEXT(VALID_BODY(",\"" X128 "\":1")), 422, "/" X16 X16 X16 X16},
		{TEXT(VALID_BODY(",\"label\":null")), 422, "/label"},
		{TEXT(VALID_BODY(",\"label\":\"" X128 "x\"")), 422, "/label"},
		{TEXT(VALID_BODY(",\"label\":\"\\n\"")), 422, "/label"},
		{TEXT(VALID_BODY(",\"label\":\"\\u007f\"")), 422, "/label"},
		{TEXT(VALID_BODY(",\"urgent\":1")), 422, "/urgent"},
		{TEXT(VALID_BODY(",\"wait\":\"true\"")), 422, "/wait"},
		{TEXT(VALID_BODY(",\"may_be_repeated\":null")), 422,
		 "/may_be_repeated"},
		{TEXT(VALID_BODY(",\"cpu_milli\":-1")), 422, "/cpu_milli"},
		{TEXT(VALID_BODY(",\"cpu_milli\":1024001")), 422, "/cpu_milli"},
		{TEXT(VALID_BODY(",\"cpu_milli\":1.0")), 422, "/cpu_milli"},
		{TEXT(VALID_BODY(",\"cpu_milli\":\"1\"")), 422, "/cpu_milli"},
		{TEXT(VALID_BODY(",\"memory_mb\":4194305")), 422, "/memory_mb"},
		{TEXT(VALID_BODY(",\"accelerators\":65")), 422,
		 "/accelerators"},
		{TEXT(VALID_BODY(",\"run_ms\":604800001")), 422, "/run_ms"},
		{TEXT(VALID_BODY(",\"run_ms\":4294967297")), 422, "/run_ms"},
		{TEXT(VALID_BODY(",\"timeout_ms\":0")), 422, "/timeout_ms"},
		{TEXT(VALID_BODY(",\"timeout_ms\":86400001")), 422,
		 "/timeout_ms"},
		{TEXT(VALID_BODY(",\"wait\":true,\"timeout_ms\":30001")), 422,
		 "/timeout_ms"},
		{TEXT(VALID_BODY(",\"urgent\":1,\"run_ms\":-1")), 422,
		 "/run_ms"},
	};
	struct caller_call c;
	size_t i;
	bool ok;

	for (i = 0; i < NELEMS(cases); i++) {
		ok = decode(&c, "POST", "/v1/jobs", auth, no_fields,
			    cases[i].body);
		cr_expect_eq(c.problem.http, cases[i].http, "%zu %.*s: %u %s",
			     i, BSTR_ARG(cases[i].body), c.problem.http,
			     c.problem.detail);
		cr_expect_eq(ok, !cases[i].http);
		cr_expect_eq(c.problem.findings.count > 0,
			     cases[i].location != NULL);
		if (cases[i].location)
			cr_expect(has_finding(&c, cases[i].location), "%zu", i);
		caller_call_free(&c);
	}
}

Test(caller_decode, submission_with_every_member)
{
	static const char *const fields[] = {
		"AUTHORIZATION",
		bearer,
		"Idempotency-Key",
		"round-7!",
		"Prefer",
		"respond-async, Wait=12 , handling=lenient",
		NULL};
	struct caller_call c;
	job_spec *s;

	cr_assert(decode(&c, "POST", "/v1/jobs", fields, no_fields,
			 bstr_lit("{\"pool\":\"p\",\"payload\": {\"b\" : 1, "
				  "\"a\" : [ 2.5, \"\\u00e9/\" ]},\"label\":"
				  "\"l\",\"may_be_repeated\":true,\"urgent\":"
				  "true,\"cpu_milli\":1,\"memory_mb\":2,"
				  "\"accelerators\":3,\"run_ms\":4}")));
	s = &c.request.body.caller_body_u.spec;
	cr_expect(bstr_eq_str(c.request.key_id, "k1"));
	cr_expect_eq(c.request.key_digest.bstr_len, 32);
	cr_expect(bstr_eq_str(s->key, "round-7!"));
	cr_expect(
		bstr_eq_str(s->payload, "{\"b\":1,\"a\":[2.5,\"\xc3\xa9/\"]}"),
		"%.*s", BSTR_ARG(s->payload));
	cr_expect(bstr_eq_str(s->label, "l"));
	cr_expect(!s->team.bstr_len);
	cr_expect(s->may_repeat && s->urgent && s->wait);
	cr_expect(s->cpu_milli == 1 && s->memory_mb == 2 &&
		  s->accelerators == 3 && s->run_ms == 4);
	cr_expect_eq(s->timeout_ms, 12000);
	cr_expect_eq(c.answer_ms, 12000);
	caller_call_free(&c);
}

/*
 * Requests with a method, path, header field and wait_ms.  They also have a
 * valid key, except for those that expect 401.
 */
Test(caller_decode, heads)
{
	static const char key129[] = X128 "x", job129[] = "/v1/jobs/" X128 "x",
			  basic[] = "Basic " CALLER_KEY,
			  two[] = "Bearer  " CALLER_KEY;
	static const struct {
		const char *method, *path, *field, *value, *wait_ms;
		unsigned http;
		const char *reason; /* 422: the location of a finding */
	} cases[] = {
		{"GET", "/v1/jobs/j", NULL, NULL, NULL, 0, NULL},
		{"GET", "/v1/jobs/j", NULL, NULL, "30000", 0, NULL},
		{"DELETE", "/v1/jobs/j", NULL, NULL, NULL, 0, NULL},
		{"GET", "/healthz", NULL, NULL, "x", 0, NULL},
		{"HEAD", "/metrics", NULL, NULL, NULL, 0, NULL},
		{"GET", "/", NULL, NULL, NULL, 404, "path"},
		{"GET", "", NULL, NULL, NULL, 404, "path"},
		{"GET", "*", NULL, NULL, NULL, 404, "path"},
		{"GET", "/v1/jobs/", NULL, NULL, NULL, 404, "path"},
		{"GET", "/v1/jobs/j/k", NULL, NULL, NULL, 404, "path"},
		{"GET", "/healthz/", NULL, NULL, NULL, 404, "path"},
		{"GET", "/V1/jobs/j", NULL, NULL, NULL, 404, "path"},
		{"GET", "/v1/jobs/J", NULL, NULL, NULL, 404, "job-unknown"},
		{"GET", job129, NULL, NULL, NULL, 404, "job-unknown"},
		{"HEAD", "/v1/jobs/j", NULL, NULL, NULL, 405, "method"},
		{"GET", "/v1/jobs", NULL, NULL, NULL, 405, "method"},
		{"GET", "/v1/cancel", NULL, NULL, NULL, 405, "method"},
		{"DELETE", "/healthz", NULL, NULL, NULL, 405, "method"},
		{"GET", "/v1/jobs/j", "Authorization", "", NULL, 401, "key"},
		{"GET", "/v1/jobs/j", "Authorization", "Bearer", NULL, 401,
		 "key"},
		{"GET", "/v1/jobs/j", "Authorization", basic, NULL, 401, "key"},
		{"GET", "/v1/jobs/j", "Authorization", two, NULL, 401, "key"},
		{"POST", "/v1/jobs", "Content-Length", "4096", NULL, 0, NULL},
		{"POST", "/v1/jobs", "Content-Length", "4097", NULL, 413,
		 "body-too-large"},
		{"POST", "/v1/jobs", "Content-Length",
		 "99999999999999999999999", NULL, 413, "body-too-large"},
		{"GET", "/healthz", "Transfer-Encoding", "gzip, chunked", NULL,
		 400, "malformed"},
		{"GET", "/healthz", "Transfer-Encoding", "Chunked", NULL, 0,
		 NULL},
		{"GET", "/healthz", "Expect", "200-maybe", NULL, 417,
		 "malformed"},
		{"GET", "/v1/jobs/j", "authorization", bearer, NULL, 400,
		 "malformed"},
		{"GET", "/v1/jobs/j", NULL, NULL, "30001", 422,
		 "query wait_ms"},
		{"GET", "/v1/jobs/j", NULL, NULL, "-1", 422, "query wait_ms"},
		{"GET", "/v1/jobs/j", NULL, NULL, "", 422, "query wait_ms"},
		{"GET", "/v1/jobs/j", NULL, NULL, "18446744073709551617", 422,
		 "query wait_ms"},
		{"DELETE", "/v1/jobs/j", NULL, NULL, "1", 422, "query"},
		{"POST", "/v1/jobs", "Idempotency-Key", "", NULL, 422,
		 "Idempotency-Key"},
		{"POST", "/v1/jobs", "Idempotency-Key", "a b", NULL, 422,
		 "Idempotency-Key"},
		{"POST", "/v1/jobs", "Idempotency-Key", "\xc3\xa9", NULL, 422,
		 "Idempotency-Key"},
		{"POST", "/v1/jobs", "Idempotency-Key", key129, NULL, 422,
		 "Idempotency-Key"},
		{"POST", "/v1/jobs", "Prefer", "wait=0", NULL, 422, "Prefer"},
		{"POST", "/v1/jobs", "Prefer", "wait=1, wait=2", NULL, 422,
		 "Prefer"},
		{"POST", "/v1/jobs", "Prefer", "wait=x", NULL, 422, "Prefer"},
		{"POST", "/v1/jobs", "Prefer", "wait=86401", NULL, 422,
		 "Prefer"},
		{"POST", "/v1/jobs", "Prefer", ",,wait", NULL, 0, NULL},
		{"POST", "/v1/jobs", "Prefer", "wait=999", NULL, 0, NULL},
	};
	struct caller_call c;
	size_t i;
	bool ok;

	for (i = 0; i < NELEMS(cases); i++) {
		const char *fields[] = {cases[i].field, cases[i].value,
					"Authorization", bearer, NULL};
		const char *queries[] = {cases[i].wait_ms ? "wait_ms" : NULL,
					 cases[i].wait_ms, NULL};

		if (cases[i].http == 401)
			fields[2] = NULL; /* no second field */
		ok = decode(&c, cases[i].method, cases[i].path,
			    cases[i].field ? fields : fields + 2, queries,
			    bstr_lit(VALID_BODY("")));
		cr_expect_eq(c.problem.http, cases[i].http, "%zu: %u %s", i,
			     c.problem.http, c.problem.detail);
		cr_expect_eq(ok, !cases[i].http, "%zu", i);
		if (cases[i].http == 422)
			cr_expect(has_finding(&c, cases[i].reason), "%zu", i);
		else if (cases[i].http)
			cr_expect_str_eq(c.problem.reason, cases[i].reason,
					 "%zu", i);
		cr_expect_eq(c.problem.allow != NULL, cases[i].http == 405);
		caller_call_free(&c);
	}
}

/* The limits on header fields, arguments, findings and payload. */
Test(caller_decode, many)
{
	struct caller_head h = {.method = bstr_lit("GET"),
				.path = bstr_lit("/healthz")};
	struct caller_call c;
	bstr body = BSTR_NONE, old;
	char *big;
	int i;

	for (i = 0; i < CALLER_FIELDS_MAX; i++)
		h.headers[i] = h.queries[i] = (struct caller_field){
			bstr_lit("x"), bstr_lit("y")};
	h.header_count = CALLER_FIELDS_MAX;
	cr_expect(caller_decode_head(&h, &limits, &c));
	caller_call_free(&c);
	h.header_count++;
	cr_expect(!caller_decode_head(&h, &limits, &c));
	cr_expect_eq(c.problem.http, 431);
	caller_call_free(&c);
	big = xcalloc(1, CALLER_HEADER_MAX);
	h.header_count = 1;
	h.headers[0].value = bstr_ref(big, CALLER_HEADER_MAX - 5);
	cr_expect(caller_decode_head(&h, &limits, &c));
	caller_call_free(&c);
	h.headers[0].value.bstr_len++;
	cr_expect(!caller_decode_head(&h, &limits, &c));
	cr_expect_eq(c.problem.http, 431);
	caller_call_free(&c);
	free(big);
	h.path = bstr_lit("/v1/jobs/j");
	h.headers[0] = (struct caller_field){bstr_lit("Authorization"),
					     bstr_lit("Bearer " CALLER_KEY)};
	h.query_count = CALLER_FIELDS_MAX + 1;
	cr_expect(caller_decode_head(&h, &limits, &c));
	cr_expect(!caller_decode_body(BSTR_NONE, &limits, &c));
	cr_expect_eq(c.problem.findings.count, CALLER_FINDINGS_MAX);
	caller_call_free(&c);
	/* encoding can lengthen a number, as 0.1 to 0.10000000000000001 */
	body = bstr_new("{\"pool\":\"p\",\"payload\":[0.1");
	for (i = 0; i < 500; i++) {
		old = body;
		body = bstr_printf("%.*s,0.1", BSTR_ARG(old));
		bstr_free(&old);
	}
	old = body;
	body = bstr_printf("%.*s]}", BSTR_ARG(old));
	cr_expect(!decode(&c, "POST", "/v1/jobs", auth, no_fields, body));
	cr_expect_eq(c.problem.http, 413);
	caller_call_free(&c);
	bstr_free(&old);
	bstr_free(&body);
}

Test(caller_decode, cancel_by_label)
{
	static const struct {
		const char *body;
		unsigned http;
	} cases[] = {
		{"{\"label\":\"l\"}", 0},
		{"{\"label\":\"\"}", 422},
		{"{}", 422},
		{"{\"label\":\"l\",\"pool\":\"p\"}", 422},
		{"{\"label\":[\"l\"]}", 422},
		{"", 400},
	};
	struct caller_call c;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		cr_expect_eq(decode(&c, "POST", "/v1/cancel", auth, no_fields,
				    bstr_lit(cases[i].body)),
			     !cases[i].http, "%zu", i);
		cr_expect_eq(c.problem.http, cases[i].http, "%zu", i);
		caller_call_free(&c);
	}
}

/* A result is any text of a worker; one that isn't JSON becomes a string. */
Test(caller_encode, results)
{
	static const struct {
		bstr result;
		const char *expected;
	} cases[] = {
		{TEXT(""), "\"result\":null"},
		{TEXT("{\"a\": [1]}"), "\"result\":{\"a\":[1]}"},
		{TEXT("7"), "\"result\":7"},
		{TEXT("\"s\""), "\"result\":\"s\""},
		{TEXT("done"), "\"result\":\"done\""},
		{TEXT("{\"a\":1,\"a\":2}"),
		 "\"result\":\"{\\\"a\\\":1,\\\"a\\\":2}\""},
		{TEXT("123456789012345678901"),
		 "\"result\":\"123456789012345678901\""},
		{TEXT("\xff\x80"), "\"result\":\"??\""},
		{TEXT("a\0b"), "\"result\":\"a\\u0000b\""},
	};
	struct caller_call c = {.route = ROUTE_GET};
	caller_answer a = {.http = 200};
	job_view v = {.state = (job_state)77};
	struct caller_reply r;
	size_t i;

	a.jobs.jobs_len = 1;
	a.jobs.jobs_val = &v;
	for (i = 0; i < NELEMS(cases); i++) {
		v.result = cases[i].result;
		caller_encode_answer(&c, &a, &r);
		cr_expect(memmem(r.body.bstr_val, r.body.bstr_len,
				 cases[i].expected, strlen(cases[i].expected)),
			  "%zu: %.*s", i, BSTR_ARG(r.body));
		/* an invalid state is encoded as unknown */
		cr_expect(memmem(r.body.bstr_val, r.body.bstr_len,
				 "\"state\":\"unknown\"", 17));
		bstr_free(&r.body);
	}
	a.http = 7;
	v.retry_after_ms = 1001; /* used, as the answer has none */
	v.reason = bstr_lit("no \xff name");
	caller_encode_answer(&c, &a, &r);
	cr_expect_eq(r.http, 500);
	cr_expect_eq(r.retry_after_s, 2);
	bstr_free(&r.body);
}
