#include "support-caller.h"

#include <cstdlib>
#include <cstring>
#include <rapidcheck.h>
#include <string>

static const caller_limits limits = {2048, 30000};

static bstr ref(const std::string &s)
{
	return bstr_ref(s.data(), s.size());
}

/* Decodes a request and checks what must hold of any, accepted or not. */
static void check_request(
	const std::string &method, const std::string &path,
	const std::vector<std::pair<std::string, std::string>> &fields,
	const std::string &query, const std::string &body)
{
	caller_head h;
	caller_call c;
	caller_reply r;

	h.method = ref(method);
	h.path = ref(path);
	h.header_count = h.query_count = 0;
	for (const auto &f : fields)
		h.headers[h.header_count++] = {ref(f.first), ref(f.second)};
	if (!query.empty())
		h.queries[h.query_count++] = {bstr_lit("wait_ms"), ref(query)};
	bool ok = caller_decode_head(&h, &limits, &c) &&
		  caller_decode_body(ref(body), &limits, &c);
	RC_TAG(ok ? "accepted" : c.problem.reason);
	if (!ok) {
		RC_ASSERT(c.problem.http >= 400 && c.problem.http < 500);
		RC_ASSERT(c.problem.counter < COUNTER_MAX);
		RC_ASSERT((c.problem.http == 405) ==
			  (c.problem.allow != nullptr));
		RC_ASSERT(c.problem.http != 422 ||
			  c.problem.findings.count > 0);
		caller_encode_problem(&c, &c.problem, &r);
		json_t *j = json_loadb(r.body.bstr_val, r.body.bstr_len,
				       JSON_REJECT_DUPLICATES, NULL);
		RC_ASSERT(j != nullptr);
		RC_ASSERT(json_integer_value(json_object_get(j, "status")) ==
			  c.problem.http);
		RC_ASSERT(json_array_size(json_object_get(j, "errors")) <=
			  CALLER_FINDINGS_MAX);
		json_decref(j);
		bstr_free(&r.body);
	} else if (c.route == ROUTE_SUBMIT) {
		const job_spec *s = &c.request.body.caller_body_u.spec;
		json_t *p;

		RC_ASSERT(c.request.key_digest.bstr_len == 32);
		RC_ASSERT(bstr_is_name(s->pool, CALLER_POOL_MAX));
		RC_ASSERT(!s->key.bstr_len || caller_key_is_valid(s->key));
		RC_ASSERT(s->label.bstr_len <= CALLER_LABEL_MAX);
		RC_ASSERT(s->cpu_milli <= CALLER_CPU_MAX);
		RC_ASSERT(s->memory_mb <= CALLER_MEMORY_MAX);
		RC_ASSERT(s->accelerators <= CALLER_ACCELERATORS_MAX);
		RC_ASSERT(s->run_ms <= CALLER_RUN_MAX);
		RC_ASSERT(s->timeout_ms >= 1 &&
			  s->timeout_ms <= CALLER_TIMEOUT_MAX);
		RC_ASSERT(!s->wait || s->timeout_ms <= limits.max_wait_ms);
		RC_ASSERT(!s->team.bstr_len);
		/* the payload equals that of the body */
		p = json_loadb(s->payload.bstr_val, s->payload.bstr_len,
			       JSON_DECODE_ANY, NULL);
		json_t *b = json_loadb(body.data(), body.size(), 0, NULL);
		RC_ASSERT(p && json_equal(p, json_object_get(b, "payload")));
		json_decref(p);
		json_decref(b);
		bstr x = xdr_encode(XDR_PROC(xdr_caller_request), &c.request);
		RC_ASSERT(x.bstr_len > 0);
		bstr_free(&x);
	} else if (c.route == ROUTE_GET) {
		RC_ASSERT(c.request.body.caller_body_u.job.wait_ms <=
			  limits.max_wait_ms);
	}
	caller_call_free(&c);
}

/* Text of JSON tokens, which reaches all parts of the grammar. */
static rc::Gen<std::string> json_like()
{
	static const std::vector<std::string> parts = {"{",
						       "}",
						       "[",
						       "]",
						       ",",
						       ":",
						       "\"",
						       "\\",
						       "\"pool\"",
						       "\"payload\"",
						       "\"label\"",
						       "\"wait\"",
						       "\"run_ms\"",
						       "\"timeout_ms\"",
						       "\"a\"",
						       "true",
						       "null",
						       "0",
						       "-1",
						       "30001",
						       "1e9",
						       "86400000",
						       "99999999999999999999",
						       "\\u0000",
						       "\\ud83d",
						       "\xff",
						       "\xc3\xa9",
						       " ",
						       "\n",
						       std::string("\0", 1)};
	return rc::gen::map(rc::gen::container<std::vector<std::string>>(
				    rc::gen::elementOf(parts)),
			    [](const std::vector<std::string> &v) {
				    std::string s;
				    for (const auto &p : v)
					    s += p;
				    return s;
			    });
}

/* A member of a submission, with a value that may be invalid. */
static rc::Gen<std::string> member()
{
	static const std::vector<std::string> names = {
		"label",	"may_be_repeated", "urgent",
		"wait",		"cpu_milli",	   "memory_mb",
		"accelerators", "run_ms",	   "timeout_ms"};
	static const std::vector<std::string> values = {
		"true",	 "false",    "0",	   "1",	    "64",  "65",
		"30000", "86400001", "4294967296", "\"x\"", "null"};
	return rc::gen::map(rc::gen::pair(rc::gen::elementOf(names),
					  rc::gen::elementOf(values)),
			    [](const std::pair<std::string, std::string> &p) {
				    return ",\"" + p.first + "\":" + p.second;
			    });
}

static const std::vector<std::pair<std::string, std::string>> auth = {
	{"Authorization", "Bearer " CALLER_KEY}};

int main(void)
{
	int failed = 0;

	/* a fixed seed, so that runs are reproducible */
	setenv("RC_PARAMS", "seed=42 max_success=2000", 0);
	failed += !rc::check("any bytes as a body", [](const std::string &s) {
		check_request("POST", "/v1/jobs", auth, "", s);
		check_request("POST", "/v1/cancel", auth, "", s);
	});
	failed += !rc::check("bodies near the grammar", [] {
		std::string s = *json_like();

		check_request("POST", "/v1/jobs", auth, "", s);
		check_request("POST", "/v1/jobs", auth, "",
			      "{\"pool\":\"p\",\"payload\":" + s + "}");
	});
	failed += !rc::check("bodies with one or a few members", [] {
		auto v = *rc::gen::resize(
			4,
			rc::gen::container<std::vector<std::string>>(member()));
		std::string s = "{\"pool\":\"p\",\"payload\":[1.5,\"a\"]";

		for (const auto &m : v)
			s += m;
		check_request("POST", "/v1/jobs", auth, "", s + "}");
	});
	failed += !rc::check("any head", [](const std::string &method,
					    const std::string &path_end,
					    const std::string &name,
					    const std::string &value) {
		const auto any_method = *rc::gen::elementOf(
			std::vector<std::string>{"GET", "POST", "DELETE",
						 method});
		const auto field = *rc::gen::elementOf(std::vector<std::string>{
			"Idempotency-Key", "Prefer", "Authorization",
			"Content-Length", "Expect", name});
		auto fields = auth;

		fields.push_back({field, value});
		check_request(any_method, "/v1/jobs/" + path_end, fields, value,
			      "");
		check_request(any_method, "/v1/jobs", fields, value,
			      "{\"pool\":\"p\",\"payload\":1}");
		check_request(any_method, path_end, {{field, value}}, "",
			      value);
	});
	printf("%d passed, %d failed\n", 4 - failed, failed);
	return failed != 0;
}
