/*
 * Decodes and validates the requests of callers: method, path, header fields,
 * query arguments and JSON body.
 */
#include "caller.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum member_kind {
	MEMBER_NAME,
	MEMBER_TEXT,
	MEMBER_BOOL,
	MEMBER_NUMBER,
	MEMBER_JSON
};

/* A member of a JSON body: where it is stored and which values are valid. */
struct member {
	const char *name;
	enum member_kind kind;
	size_t offset; /* in job_spec */
	uint32_t min;  /* of a number, or of a string's length in bytes */
	uint32_t max;
	bool required;
};

#define MEMBER(name, kind, field, min, max, required)                     \
	{                                                                 \
		name, kind, offsetof(job_spec, field), min, max, required \
	}
static const struct member submit_members[] = {
	MEMBER("pool", MEMBER_NAME, pool, 1, CALLER_POOL_MAX, true),
	MEMBER("payload", MEMBER_JSON, payload, 0, 0, true),
	MEMBER("label", MEMBER_TEXT, label, 0, CALLER_LABEL_MAX, false),
	MEMBER("may_be_repeated", MEMBER_BOOL, may_repeat, 0, 1, false),
	MEMBER("urgent", MEMBER_BOOL, urgent, 0, 1, false),
	MEMBER("wait", MEMBER_BOOL, wait, 0, 1, false),
	MEMBER("cpu_milli", MEMBER_NUMBER, cpu_milli, 0, CALLER_CPU_MAX, false),
	MEMBER("memory_mb", MEMBER_NUMBER, memory_mb, 0, CALLER_MEMORY_MAX,
	       false),
	MEMBER("accelerators", MEMBER_NUMBER, accelerators, 0,
	       CALLER_ACCELERATORS_MAX, false),
	MEMBER("run_ms", MEMBER_NUMBER, run_ms, 0, CALLER_RUN_MAX, false),
	MEMBER("timeout_ms", MEMBER_NUMBER, timeout_ms, 1, CALLER_TIMEOUT_MAX,
	       false),
};
static const struct member cancel_members[] = {
	MEMBER("label", MEMBER_TEXT, label, 1, CALLER_LABEL_MAX, true),
};

/* All pairs of path and method with their routes. */
static const struct {
	const char *path; /* if it ends in '/', a job ID follows */
	const char *method;
	enum caller_route route;
	const char *allow; /* all methods of the path */
} routes[] = {
	{"/v1/jobs", "POST", ROUTE_SUBMIT, "POST"},
	{"/v1/jobs/", "GET", ROUTE_GET, "GET, DELETE"},
	{"/v1/jobs/", "DELETE", ROUTE_CANCEL, "GET, DELETE"},
	{"/v1/cancel", "POST", ROUTE_CANCEL_LABEL, "POST"},
	{"/healthz", "GET", ROUTE_HEALTH, "GET, HEAD"},
	{"/healthz", "HEAD", ROUTE_HEALTH, "GET, HEAD"},
	{"/readyz", "GET", ROUTE_READY, "GET, HEAD"},
	{"/readyz", "HEAD", ROUTE_READY, "GET, HEAD"},
	{"/metrics", "GET", ROUTE_METRICS, "GET, HEAD"},
	{"/metrics", "HEAD", ROUTE_METRICS, "GET, HEAD"},
};

/* Header fields that are evaluated, each of which may occur only once. */
enum {
	FIELD_AUTHORIZATION,
	FIELD_KEY,
	FIELD_PREFER,
	FIELD_LENGTH,
	FIELD_ENCODING,
	FIELD_EXPECT,
	FIELD_HOST,
	FIELD_COUNT
};
static const char *const field_names[FIELD_COUNT] = {
	"Authorization",     "Idempotency-Key", "Prefer", "Content-Length",
	"Transfer-Encoding", "Expect",		"Host",
};

/* Sets the problem of a refused request, unless one is set already. */
void caller_refuse(struct caller_problem *p, uint32_t http, const char *reason,
		   enum counter_id counter, const char *fmt, ...)
{
	va_list ap;

	if (p->http)
		return;
	p->http = http;
	p->reason = reason;
	p->counter = counter;
	va_start(ap, fmt);
	if (vasprintf(&p->detail, fmt, ap) < 0)
		abort();
	va_end(ap);
}

void caller_problem_free(struct caller_problem *p)
{
	error_free(&p->findings);
	free(p->detail);
	p->detail = NULL;
}

void caller_call_free(struct caller_call *c)
{
	xdr_free(XDR_PROC(xdr_caller_request), (char *)&c->request);
	bstr_free(&c->key);
	caller_problem_free(&c->problem);
}

/*
 * Returns true if key is a valid idempotency key: 1 to CALLER_KEY_MAX visible
 * ASCII characters.
 */
bool caller_key_is_valid(bstr key)
{
	u_int i;

	for (i = 0; i < key.bstr_len; i++)
		if (key.bstr_val[i] < 0x21 || key.bstr_val[i] > 0x7e)
			return false;
	return i && i <= CALLER_KEY_MAX;
}

/* Returns true if b equals s, ignoring case. */
static bool bstr_eq_nocase(bstr b, const char *s)
{
	return b.bstr_len == strlen(s) &&
	       !strncasecmp(b.bstr_val, s, b.bstr_len);
}

/* Parses a decimal integer. Returns false unless it is from min to max. */
static bool number_read(bstr text, uint32_t min, uint32_t max, uint32_t *n)
{
	uint64_t v = 0;
	u_int i;

	for (i = 0; i < text.bstr_len; i++) {
		if (text.bstr_val[i] < '0' || text.bstr_val[i] > '9')
			return false;
		v = v * 10 + (uint64_t)(text.bstr_val[i] - '0');
		if (v > max)
			return false;
	}
	*n = (uint32_t)v;
	return i && v >= min;
}

/* Adds a finding, up to CALLER_FINDINGS_MAX. */
static void finding_add(struct caller_call *c, const char *place,
			const char *fmt, ...) PRINTF_LIKE(3, 4);
static void finding_add(struct caller_call *c, const char *place,
			const char *fmt, ...)
{
	va_list ap;
	char *text;

	if (c->problem.findings.count >= CALLER_FINDINGS_MAX)
		return;
	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		abort();
	va_end(ap);
	error_add(&c->problem.findings, place, "%s", text);
	free(text);
}

/* Refuses a call that has findings. Returns true if it has none. */
static bool findings_check(struct caller_call *c)
{
	if (!c->problem.findings.count)
		return true;
	caller_refuse(&c->problem, 422, "spec-invalid", COUNT_REFUSED_SPEC,
		      "%u members, arguments or header fields are wrong",
		      c->problem.findings.count);
	return false;
}

/*
 * Sets the job ID of a request. A text that is not a valid name cannot be the
 * ID of any job, so it is answered like the ID of a job that does not exist.
 */
static void job_id_decode(bstr job, struct caller_call *c)
{
	if (!bstr_is_name(job, CALLER_JOB_MAX)) {
		caller_refuse(&c->problem, 404, "job-unknown",
			      COUNT_REFUSED_JOB, "there is no such job");
		return;
	}
	bstr_set(&c->request.body.caller_body_u.job.job, job);
}

/*
 * Determines the route from method and path and sets the members of the request
 * that depend on it.
 */
static bool route_find(const struct caller_head *h, struct caller_call *c)
{
	const char *allow = NULL;
	size_t i, len;
	bool has_job;

	for (i = 0; i < NELEMS(routes); i++) {
		len = strlen(routes[i].path);
		has_job = routes[i].path[len - 1] == '/';
		if (h->path.bstr_len < len + has_job ||
		    (!has_job && h->path.bstr_len != len) ||
		    memcmp(h->path.bstr_val, routes[i].path, len) != 0 ||
		    (has_job && memchr(h->path.bstr_val + len, '/',
				       h->path.bstr_len - len)))
			continue;
		allow = routes[i].allow;
		if (!bstr_eq_str(h->method, routes[i].method))
			continue;
		c->route = routes[i].route;
		break;
	}
	if (!allow)
		caller_refuse(&c->problem, 404, "path", COUNT_REFUSED_PATH,
			      "there is no such path");
	else if (!c->route)
		caller_refuse(&c->problem, 405, "method", COUNT_REFUSED_METHOD,
			      "this path takes %s", allow);
	c->problem.allow = c->route ? NULL : allow;
	switch (c->route) {
	case ROUTE_SUBMIT:
		c->request.body.kind = CALL_SUBMIT;
		break;
	case ROUTE_GET:
	case ROUTE_CANCEL:
		c->request.body.kind = c->route == ROUTE_GET ? CALL_GET
							     : CALL_CANCEL;
		len = strlen("/v1/jobs/");
		job_id_decode(bstr_ref(h->path.bstr_val + len,
				       h->path.bstr_len - len),
			      c);
		break;
	case ROUTE_CANCEL_LABEL:
		c->request.body.kind = CALL_CANCEL_LABEL;
		break;
	case ROUTE_NONE:
	case ROUTE_HEALTH:
	case ROUTE_READY:
	case ROUTE_METRICS:
		break;
	}
	return !c->problem.http;
}

/*
 * Selects the header fields that are evaluated. A request that contains one of
 * them twice is refused, because the load balancer and this program might use
 * different ones of the two. For the same reason, Content-Length and
 * Transfer-Encoding together are refused.
 */
static bool fields_select(const struct caller_head *h, struct caller_call *c,
			  bstr fields[FIELD_COUNT])
{
	bool seen[FIELD_COUNT] = {false};
	size_t i, k, size = 0;

	if (h->header_count > CALLER_FIELDS_MAX) {
		caller_refuse(&c->problem, 431, "header-too-large",
			      COUNT_REFUSED_HEADER_TOO_LARGE,
			      "at most %d header fields", CALLER_FIELDS_MAX);
		return false;
	}
	for (i = 0; i < h->header_count; i++) {
		const struct caller_field *f = &h->headers[i];

		size += f->name.bstr_len + f->value.bstr_len + 4;
		for (k = 0; k < FIELD_COUNT; k++) {
			if (!bstr_eq_nocase(f->name, field_names[k]))
				continue;
			if (seen[k])
				caller_refuse(&c->problem, 400, "malformed",
					      COUNT_REFUSED_MALFORMED,
					      "%s comes twice", field_names[k]);
			seen[k] = true;
			fields[k] = f->value;
		}
	}
	if (size > CALLER_HEADER_MAX) {
		caller_problem_free(&c->problem);
		c->problem.http = 0;
		caller_refuse(&c->problem, 431, "header-too-large",
			      COUNT_REFUSED_HEADER_TOO_LARGE,
			      "at most %d bytes of header fields",
			      CALLER_HEADER_MAX);
	}
	if (seen[FIELD_LENGTH] && seen[FIELD_ENCODING])
		caller_refuse(&c->problem, 400, "malformed",
			      COUNT_REFUSED_MALFORMED,
			      "Content-Length and Transfer-Encoding together");
	if (seen[FIELD_ENCODING] &&
	    !bstr_eq_nocase(fields[FIELD_ENCODING], "chunked"))
		caller_refuse(&c->problem, 400, "malformed",
			      COUNT_REFUSED_MALFORMED,
			      "Transfer-Encoding can only be chunked");
	if (seen[FIELD_EXPECT] &&
	    !bstr_eq_nocase(fields[FIELD_EXPECT], "100-continue"))
		caller_refuse(&c->problem, 417, "malformed",
			      COUNT_REFUSED_MALFORMED,
			      "only 100-continue can be expected");
	if (seen[FIELD_KEY] && !fields[FIELD_KEY].bstr_len)
		finding_add(c, "Idempotency-Key", "is empty");
	return !c->problem.http;
}

/*
 * Takes the key ID and the digest of the secret from the Authorization field.
 * Refuses the request if there is no well-formed secret.
 */
static bool authorization_decode(bstr field, struct caller_call *c)
{
	const size_t len = strlen("Bearer ");

	if (field.bstr_len > len &&
	    !strncasecmp(field.bstr_val, "Bearer ", len) &&
	    secret_split(bstr_ref(field.bstr_val + len, field.bstr_len - len),
			 &c->request.key_id, &c->request.key_digest))
		return true;
	caller_refuse(&c->problem, 401, "key", COUNT_REFUSED_KEY, "%s",
		      field.bstr_len
			      ? "Authorization holds no key of this system"
			      : "show a key: Authorization: Bearer bf_...");
	return false;
}

/*
 * Parses wait=SECONDS in a Prefer field. RFC 7240 requires a server to ignore
 * preferences that it does not support, so only an invalid wait is a finding.
 */
static void prefer_decode(bstr field, const struct caller_limits *limits,
			  struct caller_call *c)
{
	const char *p = field.bstr_val, *end = p + field.bstr_len, *next;
	uint32_t seconds;
	bstr item;

	for (; p < end; p = next + 1) {
		next = memchr(p, ',', (size_t)(end - p));
		if (!next)
			next = end;
		while (p < next && (*p == ' ' || *p == '\t'))
			p++;
		item = bstr_ref(p, (size_t)(next - p));
		while (item.bstr_len && (p[item.bstr_len - 1] == ' ' ||
					 p[item.bstr_len - 1] == '\t'))
			item.bstr_len--;
		if (item.bstr_len < 5 || strncasecmp(p, "wait=", 5) != 0)
			continue;
		item = bstr_ref(p + 5, item.bstr_len - 5);
		if (c->prefer_wait_ms ||
		    !number_read(item, 1, CALLER_TIMEOUT_MAX / 1000, &seconds))
			finding_add(c, "Prefer",
				    "expected one wait=SECONDS, 1 to %d",
				    CALLER_TIMEOUT_MAX / 1000);
		else
			c->prefer_wait_ms = seconds * 1000 < limits->max_wait_ms
						    ? seconds * 1000
						    : limits->max_wait_ms;
	}
}

/* Parses the query arguments. Only ROUTE_GET has one, wait_ms. */
static void queries_decode(const struct caller_head *h,
			   const struct caller_limits *limits,
			   struct caller_call *c)
{
	size_t i, n = h->query_count;
	bool seen = false;
	uint32_t ms;
	char *name;

	if (n > CALLER_FIELDS_MAX) {
		finding_add(c, "query", "at most %d arguments",
			    CALLER_FIELDS_MAX);
		n = CALLER_FIELDS_MAX;
	}
	for (i = 0; i < n; i++) {
		const struct caller_field *f = &h->queries[i];

		if (c->route == ROUTE_GET && !seen &&
		    bstr_eq_str(f->name, "wait_ms")) {
			seen = true;
			if (number_read(f->value, 0, limits->max_wait_ms, &ms))
				c->request.body.caller_body_u.job.wait_ms = ms;
			else
				finding_add(c, "query wait_ms",
					    "expected a whole number from 0 "
					    "to %u",
					    limits->max_wait_ms);
			continue;
		}
		name = bstr_cstr(bstr_ref(
			f->name.bstr_val,
			f->name.bstr_len < 64 ? f->name.bstr_len : 64));
		finding_add(c, "query",
			    seen && !strcmp(name, "wait_ms")
				    ? "%s comes twice"
				    : "unknown argument %s",
			    name);
		free(name);
	}
}

/*
 * Decodes method, path and header fields. Returns false if the request is
 * refused, see c->problem. Findings alone do not refuse it yet, so that they
 * are reported together with those of the body.
 */
bool caller_decode_head(const struct caller_head *h,
			const struct caller_limits *limits,
			struct caller_call *c)
{
	bstr fields[FIELD_COUNT] = {BSTR_NONE};
	uint32_t length;

	memset(c, 0, sizeof(*c));
	error_init(&c->problem.findings);
	/* A refused request has no kind yet, but xdr_free needs a valid one. */
	c->request.body.kind = CALL_CANCEL_LABEL;
	if (!fields_select(h, c, fields) || !route_find(h, c))
		return false;
	if (fields[FIELD_LENGTH].bstr_len &&
	    !number_read(fields[FIELD_LENGTH], 0, limits->max_body, &length)) {
		caller_refuse(&c->problem, 413, "body-too-large",
			      COUNT_REFUSED_BODY_TOO_LARGE,
			      "a body has at most %u bytes", limits->max_body);
		return false;
	}
	if (c->route >= ROUTE_HEALTH)
		return true;
	if (!authorization_decode(fields[FIELD_AUTHORIZATION], c))
		return false;
	queries_decode(h, limits, c);
	if (c->route != ROUTE_SUBMIT)
		return true;
	if (fields[FIELD_PREFER].bstr_len)
		prefer_decode(fields[FIELD_PREFER], limits, c);
	if (caller_key_is_valid(fields[FIELD_KEY]))
		bstr_set(&c->request.body.caller_body_u.spec.key,
			 fields[FIELD_KEY]);
	else if (fields[FIELD_KEY].bstr_len)
		finding_add(c, "Idempotency-Key",
			    "expected 1 to %d visible ASCII characters",
			    CALLER_KEY_MAX);
	return true;
}

/*
 * Returns true if arrays and objects are nested at most CALLER_DEPTH_MAX deep.
 */
static bool depth_is_valid(bstr text)
{
	bool in_string = false;
	unsigned depth = 0;
	u_int i;

	for (i = 0; i < text.bstr_len; i++) {
		char ch = text.bstr_val[i];

		if (in_string) {
			if (ch == '\\')
				i++;
			else if (ch == '"')
				in_string = false;
		} else if (ch == '"') {
			in_string = true;
		} else if (ch == '[' || ch == '{') {
			if (++depth > CALLER_DEPTH_MAX)
				return false;
		} else if ((ch == ']' || ch == '}') && depth) {
			depth--;
		}
	}
	return true;
}

/* Returns the JSON pointer of a member. A long name is truncated. */
static char *json_pointer(const char *name)
{
	char text[72], *p = text;

	for (*p++ = '/'; *name && p < text + 65; name++) {
		if (*name == '~' || *name == '/') {
			*p++ = '~';
			*p++ = *name == '~' ? '0' : '1';
		} else {
			*p++ = *name;
		}
	}
	/* Do not truncate within a UTF-8 sequence. */
	if (*name)
		while (p > text && ((unsigned char)*name & 0xc0) == 0x80) {
			p--;
			name--;
		}
	*p = '\0';
	return xstrdup(text);
}

/* Returns true if b contains a control character. */
static bool has_control_char(bstr b)
{
	u_int i;

	for (i = 0; i < b.bstr_len; i++)
		if ((unsigned char)b.bstr_val[i] < 0x20 ||
		    b.bstr_val[i] == 0x7f)
			return true;
	return false;
}

/*
 * Stores a string member. Returns NULL, or a text that says what was expected.
 */
static char *string_decode(const struct member *m, const json_t *v, bstr *to)
{
	bool name = m->kind == MEMBER_NAME;
	bstr b = bstr_ref(json_string_value(v), json_string_length(v));

	if (json_is_string(v) && b.bstr_len >= m->min && b.bstr_len <= m->max &&
	    (name ? bstr_is_name(b, m->max) : !has_control_char(b))) {
		bstr_set(to, b);
		return NULL;
	}
	if (name)
		return xasprintf("expected a name: at most %u of a-z 0-9 . _ "
				 "-, the first a letter or digit",
				 m->max);
	return xasprintf("expected a string of %u to %u bytes without control "
			 "characters",
			 m->min, m->max);
}

/*
 * Stores a member at its place in the job_spec. Returns NULL, or a text that
 * says what was expected.
 */
static char *member_decode(const struct member *m, const json_t *v, void *at)
{
	bstr *text = at;
	bool_t *flag = at;
	uint32_t *number = at;
	json_int_t n = json_integer_value(v);

	switch (m->kind) {
	case MEMBER_NAME:
	case MEMBER_TEXT:
		return string_decode(m, v, text);
	case MEMBER_BOOL:
		if (!json_is_boolean(v))
			return xstrdup("expected true or false");
		*flag = json_is_true(v);
		return NULL;
	case MEMBER_NUMBER:
		if (!json_is_integer(v) || n < m->min || n > m->max)
			return xasprintf("expected a whole number from %u to "
					 "%u",
					 m->min, m->max);
		*number = (uint32_t)n;
		return NULL;
	case MEMBER_JSON:
		text->bstr_val = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
		text->bstr_len = (u_int)strlen(text->bstr_val);
		return NULL;
	}
	return NULL;
}

/* Stores all members of a body and reports unknown and missing ones. */
static void members_decode(struct caller_call *c, const json_t *body,
			   const struct member *members, size_t count,
			   job_spec *spec)
{
	const char *name;
	char *place, *text;
	json_t *v;
	size_t i;

	if (!json_is_object(body)) {
		finding_add(c, "", "expected an object");
		return;
	}
	for (i = 0; i < count; i++) {
		v = json_object_get(body, members[i].name);
		place = json_pointer(members[i].name);
		if (v) {
			text = member_decode(&members[i], v,
					     (char *)spec + members[i].offset);
			if (text)
				finding_add(c, place, "%s", text);
			free(text);
		} else if (members[i].required) {
			finding_add(c, place, "is missing");
		}
		free(place);
	}
	json_object_foreach((json_t *)body, name, v) {
		for (i = 0; i < count; i++)
			if (!strcmp(name, members[i].name))
				break;
		if (i < count)
			continue;
		place = json_pointer(name);
		finding_add(c, place, "unknown member");
		free(place);
	}
}

/*
 * Parses a body as JSON. Returns NULL and refuses the call if the body is not
 * JSON, is nested too deep or contains an object with duplicate members.
 */
static json_t *body_parse(bstr body, struct caller_call *c)
{
	json_error_t err;
	json_t *j;

	if (!depth_is_valid(body)) {
		caller_refuse(
			&c->problem, 400, "malformed", COUNT_REFUSED_MALFORMED,
			"JSON is nested more than %d deep", CALLER_DEPTH_MAX);
		return NULL;
	}
	j = json_loadb(body.bstr_val ? body.bstr_val : "", body.bstr_len,
		       JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &err);
	if (!j)
		caller_refuse(&c->problem, 400, "malformed",
			      COUNT_REFUSED_MALFORMED,
			      "no JSON: line %d, column %d: %s", err.line,
			      err.column, err.text);
	return j;
}

/* Sets wait and timeout_ms of a submission after its members were decoded. */
static void wait_resolve(struct caller_call *c,
			 const struct caller_limits *limits, job_spec *s)
{
	if (c->prefer_wait_ms)
		s->wait = true;
	if (!s->timeout_ms) {
		s->timeout_ms = c->prefer_wait_ms ? c->prefer_wait_ms
						  : CALLER_TIMEOUT_DEFAULT;
		if (s->wait && s->timeout_ms > limits->max_wait_ms)
			s->timeout_ms = limits->max_wait_ms;
	}
	if (s->wait && s->timeout_ms > limits->max_wait_ms)
		finding_add(c, "/timeout_ms",
			    "expected at most %u from a caller that waits",
			    limits->max_wait_ms);
}

/*
 * Decodes the body, after the head. Returns false if the request is refused,
 * see c->problem. A payload is encoded again from the parsed JSON. It can
 * become longer by that (1e9 becomes 1000000000.0), so its length is checked
 * again.
 */
bool caller_decode_body(bstr body, const struct caller_limits *limits,
			struct caller_call *c)
{
	job_spec *s = &c->request.body.caller_body_u.spec, label = {0};
	json_t *j = NULL;

	if (body.bstr_len > limits->max_body) {
		caller_refuse(&c->problem, 413, "body-too-large",
			      COUNT_REFUSED_BODY_TOO_LARGE,
			      "a body has at most %u bytes", limits->max_body);
		return false;
	}
	switch (c->route) {
	case ROUTE_SUBMIT:
		j = body_parse(body, c);
		if (!j)
			return false;
		members_decode(c, j, submit_members, NELEMS(submit_members), s);
		wait_resolve(c, limits, s);
		if (s->payload.bstr_len > limits->max_body)
			caller_refuse(&c->problem, 413, "body-too-large",
				      COUNT_REFUSED_BODY_TOO_LARGE,
				      "a payload has at most %u bytes",
				      limits->max_body);
		c->answer_ms = s->timeout_ms;
		break;
	case ROUTE_CANCEL_LABEL:
		j = body_parse(body, c);
		if (!j)
			return false;
		members_decode(c, j, cancel_members, NELEMS(cancel_members),
			       &label);
		c->request.body.caller_body_u.label = label.label;
		c->answer_ms = CALLER_CANCEL_MS;
		break;
	case ROUTE_CANCEL:
		c->answer_ms = CALLER_CANCEL_MS;
		break;
	case ROUTE_GET:
		c->answer_ms = c->request.body.caller_body_u.job.wait_ms;
		break;
	case ROUTE_NONE:
	case ROUTE_HEALTH:
	case ROUTE_READY:
	case ROUTE_METRICS:
		break;
	}
	json_decref(j);
	return findings_check(c) && !c->problem.http;
}
