#include "support-fake.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Starts an edge to a port with a timeout and a limit of requests in flight. */
static struct edge_platform *start(struct mailbox *inbox, uint16_t port,
				   uint32_t timeout_ms, uint32_t in_flight)
{
	struct settings s = {0};
	struct edge_platform *edge;
	struct error e;

	error_init(&e);
	s.platform.url = xasprintf("http://127.0.0.1:%u/", port);
	s.platform.token = xstrdup("sesame");
	s.platform.timeout_ms = timeout_ms;
	s.platform.max_in_flight = in_flight;
	edge = edge_platform_start(&s, inbox, &e);
	cr_assert(edge);
	free(s.platform.url);
	free(s.platform.token);
	return edge;
}

/*
 * Returns an effect of a kind, about the keys k and l, the prefix v/ or the
 * object o.
 */
static effect *request(effect_kind kind, uint64_t req)
{
	effect *fx = effect_new(kind);
	fx_commit *c = &fx->effect_u.commit;
	fx_read *r = &fx->effect_u.read;

	switch (kind) {
	case FX_COMMIT:
		c->req = req;
		c->txid = bstr_new("tx");
		c->checks.checks_len = 1;
		c->checks.checks_val = xcalloc(1, sizeof(table_check));
		c->checks.checks_val->key = bstr_new("k");
		c->checks.checks_val->revision = 3;
		c->writes.writes_len = 2;
		c->writes.writes_val = xcalloc(2, sizeof(table_write));
		c->writes.writes_val[0].key = bstr_new("k");
		c->writes.writes_val[0].value = bstr_new("hi");
		c->writes.writes_val[1].key = bstr_new("l");
		c->writes.writes_val[1].remove = TRUE;
		break;
	case FX_READ:
		r->req = req;
		r->keys.keys_len = 2;
		r->keys.keys_val = xcalloc(2, sizeof(bstr));
		r->keys.keys_val[0] = bstr_new("k");
		r->keys.keys_val[1] = bstr_new("l");
		break;
	case FX_SCAN:
		fx->effect_u.scan.req = req;
		fx->effect_u.scan.prefix = bstr_new("v/");
		break;
	case FX_OBJECT_PUT:
	case FX_OBJECT_GET:
		fx->effect_u.object.req = req;
		fx->effect_u.object.name = bstr_new("o");
		if (kind == FX_OBJECT_PUT)
			fx->effect_u.object.body = bstr_new("bytes");
		break;
	default:
		fx->effect_u.vm_list = req;
	}
	return fx;
}

#define ROWS(rows) "{\"rows\":[" rows "]}"
#define PAGE(rows, more) "{\"rows\":[" rows "],\"more\":" more "}"
#define GONE(key) "{\"key\":\"" key "\",\"version\":0}"
#define DONE(key, version) "{\"key\":\"" key "\",\"version\":" version "}"
#define ROW(key, version, value) \
	"{\"key\":\"" key "\",\"version\":" version ",\"value\":\"" value "\"}"
#define VM(name)                                            \
	"{\"vm\":\"" name "\",\"dc\":\"a\",\"rack\":\"r\"," \
	"\"address\":\"127.0.0.1:1\",\"leaving\":false}"
#define STEP(...)           \
	{                   \
		__VA_ARGS__ \
	}
#define SAY(status, body)                 \
	{                                 \
		FAKE_ANSWER, status, body \
	}
#define REFUSE(status, after)                                         \
	{                                                             \
		FAKE_ANSWER, status, "", "Retry-After: " after "\r\n" \
	}
#define CASE(what, kind, outcome, ...)                     \
	{                                                  \
		what, kind, outcome, 0, false, __VA_ARGS__ \
	}
#define REFUSED(what, kind, after, ...)                                 \
	{                                                               \
		what, kind, PLATFORM_REFUSED, after, false, __VA_ARGS__ \
	}
/* A write with an invalid answer may have been applied. */
#define WRITES(kind) ((kind) == FX_COMMIT || (kind) == FX_OBJECT_PUT)
#define GARBAGE(what, kind, ...)                                               \
	{                                                                      \
		what, kind,                                                    \
			WRITES(kind) ? PLATFORM_UNKNOWN : PLATFORM_INVALID, 0, \
			true, __VA_ARGS__                                      \
	}
#define K64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define K1 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64 K64
#define H8 "A: " K1 K1 K1 K1 K1 K1 K1 K1 "\r\n"
#define LONG_HEADERS H8 H8 H8 H8 H8 H8 H8 H8 H8
#define LONG_MS 20000 /* a timeout that must not expire */
#define SHORT_MS 200  /* a timeout that is meant to expire */

/* Takes the event of an effect and checks its outcome. */
static ev_platform expect(struct mailbox *inbox, uint64_t req,
			  platform_outcome outcome, const char *what)
{
	event *ev = fake_next_event(inbox);
	ev_platform p;

	cr_assert(ev, "%s: no event", what);
	cr_assert_eq(ev->body.kind, EV_PLATFORM);
	p = ev->body.event_body_u.platform;
	cr_expect_eq(p.req, req, "%s: req %lu", what, p.req);
	cr_expect_eq(p.outcome, outcome, "%s: %d", what, p.outcome);
	free(ev);
	return p;
}

/* Frees an event. */
static void discard(ev_platform p)
{
	xdr_free(XDR_PROC(xdr_ev_platform), (char *)&p);
}

struct answer_case {
	const char *what;
	effect_kind kind;
	platform_outcome outcome;
	uint32_t retry_after_ms;
	bool garbage;
	struct fake_step step;
};

/*
 * One effect with one answer each, most of them with a fault.  The reducer must
 * get exactly one event of that effect, without contents of an invalid answer.
 */
Test(edge_platform, answers, .timeout = 120)
{
	static const struct answer_case cases[] = {
		/* Complete answers. */
		CASE("commit", FX_COMMIT, PLATFORM_OK,
		     SAY(200, ROWS(DONE("k", "4")))),
		CASE("removed row named", FX_COMMIT, PLATFORM_OK,
		     SAY(200, ROWS(DONE("k", "4") "," GONE("l")))),
		CASE("byte by byte", FX_COMMIT, PLATFORM_OK,
		     STEP(FAKE_ANSWER_BYTEWISE, 200, ROWS(DONE("k", "4")))),
		CASE("conflict", FX_COMMIT, PLATFORM_CONFLICT,
		     SAY(409, ROWS(ROW("k", "9", "aGk=")))),
		CASE("conflict, row gone", FX_COMMIT, PLATFORM_CONFLICT,
		     SAY(409, ROWS(GONE("k")))),
		CASE("empty scan", FX_SCAN, PLATFORM_OK,
		     SAY(200, PAGE("", "false"))),
		CASE("object there", FX_OBJECT_PUT, PLATFORM_OK, SAY(200, "")),
		CASE("other object there", FX_OBJECT_PUT, PLATFORM_CONFLICT,
		     SAY(409, "")),
		CASE("empty object", FX_OBJECT_GET, PLATFORM_OK, SAY(200, "")),
		CASE("no such object", FX_OBJECT_GET, PLATFORM_NOT_FOUND,
		     SAY(404, "")),
		CASE("no VMs", FX_VM_LIST, PLATFORM_OK,
		     SAY(200, "{\"vms\":[]}")),
		/* Refusals. */
		REFUSED("limited", FX_COMMIT, 250, REFUSE(429, "0.25")),
		REFUSED("down", FX_COMMIT, 2000, REFUSE(503, "2")),
		REFUSED("limited read", FX_READ, 1500, REFUSE(429, " 1.5 ")),
		REFUSED("limited scan", FX_SCAN, 1000, REFUSE(429, "1")),
		REFUSED("down for objects", FX_OBJECT_PUT, 1000,
			REFUSE(503, "1")),
		REFUSED("no Retry-After", FX_COMMIT, 0, SAY(503, "")),
		REFUSED("too long a time", FX_COMMIT, 60000,
			REFUSE(429, "1e12")),
		REFUSED("endless time", FX_COMMIT, 0, REFUSE(429, "inf")),
		REFUSED("a time before now", FX_COMMIT, 0, REFUSE(429, "-1")),
		REFUSED("no time at all", FX_COMMIT, 0, REFUSE(429, "soon")),
		REFUSED("much text for a time", FX_COMMIT, 0,
			REFUSE(429, "1111111111111111111111111111111111111")),
		/* No complete answer. */
		CASE("silent", FX_COMMIT, PLATFORM_UNKNOWN,
		     STEP(FAKE_NO_ANSWER)),
		CASE("silent read", FX_READ, PLATFORM_UNKNOWN,
		     STEP(FAKE_NO_ANSWER)),
		CASE("reset, effect done", FX_COMMIT, PLATFORM_UNKNOWN,
		     STEP(FAKE_RESET)),
		CASE("reset, put done", FX_OBJECT_PUT, PLATFORM_UNKNOWN,
		     STEP(FAKE_RESET)),
		CASE("reset read", FX_READ, PLATFORM_UNKNOWN, STEP(FAKE_RESET)),
		CASE("cut short", FX_COMMIT, PLATFORM_UNKNOWN,
		     STEP(FAKE_TRUNCATE, 200, ROWS(DONE("k", "4")))),
		CASE("cut short read", FX_READ, PLATFORM_UNKNOWN,
		     STEP(FAKE_TRUNCATE, 200, ROWS(GONE("k") "," GONE("l")))),
		CASE("cut short object", FX_OBJECT_GET, PLATFORM_UNKNOWN,
		     STEP(FAKE_TRUNCATE, 200, "byte")),
		CASE("cut in the headers", FX_COMMIT, PLATFORM_UNKNOWN,
		     STEP(FAKE_RAW, 0, "HTTP/1.1 200 OK\r\nConte")),
		CASE("cut after the length", FX_OBJECT_GET, PLATFORM_UNKNOWN,
		     STEP(FAKE_RAW, 0,
			  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")),
		CASE("closed without an answer", FX_COMMIT, PLATFORM_UNKNOWN,
		     STEP(FAKE_RAW, 0, "")),
		/* Invalid answers. */
		GARBAGE("no HTTP", FX_COMMIT,
			STEP(FAKE_RAW, 0, "\x01\x02garbage\r\n\r\n")),
		GARBAGE("no HTTP, read", FX_READ,
			STEP(FAKE_RAW, 0, "garbage\r\n\r\n")),
		GARBAGE("length unknown", FX_COMMIT,
			STEP(FAKE_ANSWER_CLOSE, 200, ROWS(DONE("k", "4")))),
		GARBAGE("length of object unknown", FX_OBJECT_GET,
			STEP(FAKE_ANSWER_CLOSE, 200, "bytes")),
		GARBAGE("too long", FX_COMMIT,
			STEP(FAKE_ANSWER, 200, ROWS(DONE("k", "4")), NULL, NULL,
			     17 << 20)),
		GARBAGE("too long list", FX_VM_LIST,
			STEP(FAKE_ANSWER, 200, "{\"vms\":[]}", NULL, NULL,
			     17 << 20)),
		GARBAGE("too long object", FX_OBJECT_GET,
			STEP(FAKE_ANSWER, 200, "", NULL, NULL, BSTR_MAX + 1)),
		CASE("longest object", FX_OBJECT_GET, PLATFORM_OK,
		     STEP(FAKE_ANSWER, 200, "", NULL, NULL, BSTR_MAX)),
		GARBAGE("too long headers", FX_READ,
			STEP(FAKE_ANSWER, 200, "", LONG_HEADERS)),
		GARBAGE("an HTML page", FX_READ,
			SAY(200, "<html>login</html>")),
		GARBAGE("redirect", FX_READ,
			STEP(FAKE_ANSWER, 301, "", "Location: /v1/vms\r\n")),
		GARBAGE("error in commit", FX_COMMIT, SAY(500, "")),
		GARBAGE("denied commit", FX_COMMIT, SAY(403, "")),
		GARBAGE("error in put", FX_OBJECT_PUT, SAY(500, "")),
		GARBAGE("error in read", FX_READ, SAY(500, "")),
		GARBAGE("conflict in read", FX_READ, SAY(409, ROWS(""))),
		GARBAGE("denied object", FX_OBJECT_GET, SAY(403, "no")),
		GARBAGE("no body", FX_COMMIT, SAY(200, "")),
		GARBAGE("more after it", FX_READ,
			SAY(200, ROWS(GONE("k") "," GONE("l")) "x")),
		GARBAGE("a key of JSON twice", FX_READ,
			SAY(200, "{\"rows\":[],\"rows\":[" GONE("k") "," GONE(
					 "l") "]}")),
		GARBAGE("NUL in a key", FX_READ,
			SAY(200, ROWS(GONE("k\\u0000") "," GONE("l")))),
		GARBAGE("rows no list", FX_READ, SAY(200, "{\"rows\":{}}")),
		GARBAGE("a list alone", FX_READ, SAY(200, "[]")),
		/* Commits. */
		GARBAGE("written row missing", FX_COMMIT, SAY(200, ROWS(""))),
		GARBAGE("row not written", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "4") "," DONE("m", "4")))),
		GARBAGE("row twice", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "4") "," DONE("k", "5")))),
		GARBAGE("version of an earlier commit", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "3")))),
		GARBAGE("written row gone", FX_COMMIT,
			SAY(200, ROWS(GONE("k")))),
		GARBAGE("removed row there", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "4") "," DONE("l", "5")))),
		GARBAGE("version below zero", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "-4")))),
		GARBAGE("version with a point", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "4.5")))),
		GARBAGE("version out of range", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "99999999999999999999")))),
		GARBAGE("version a text", FX_COMMIT,
			SAY(200, ROWS(DONE("k", "\"4\"")))),
		GARBAGE("conflict about nothing", FX_COMMIT,
			SAY(409, ROWS(""))),
		GARBAGE("conflict that is none", FX_COMMIT,
			SAY(409, ROWS(ROW("k", "3", "")))),
		GARBAGE("conflict elsewhere", FX_COMMIT,
			SAY(409, ROWS(ROW("m", "9", "")))),
		GARBAGE("conflict without a value", FX_COMMIT,
			SAY(409, ROWS(DONE("k", "9")))),
		/* Reads. */
		GARBAGE("row missing", FX_READ, SAY(200, ROWS(GONE("k")))),
		GARBAGE("row too many", FX_READ,
			SAY(200, ROWS(GONE("k") "," GONE("l") "," GONE("m")))),
		GARBAGE("another row", FX_READ,
			SAY(200, ROWS(GONE("k") "," GONE("m")))),
		GARBAGE("same row twice", FX_READ,
			SAY(200, ROWS(GONE("k") "," GONE("k")))),
		GARBAGE("no row with a value", FX_READ,
			SAY(200, ROWS(ROW("k", "0", "aGk=") "," GONE("l")))),
		GARBAGE("row without a value", FX_READ,
			SAY(200, ROWS(DONE("k", "4") "," GONE("l")))),
		GARBAGE("value no base64", FX_READ,
			SAY(200, ROWS(ROW("k", "4", "aGk") "," GONE("l")))),
		GARBAGE("row no object", FX_READ,
			SAY(200, ROWS("7," GONE("l")))),
		/* Scans. */
		GARBAGE("not under the prefix", FX_SCAN,
			SAY(200, PAGE(ROW("w/a", "1", ""), "false"))),
		GARBAGE("shorter than the prefix", FX_SCAN,
			SAY(200, PAGE(ROW("v", "1", ""), "false"))),
		GARBAGE("out of order", FX_SCAN,
			SAY(200,
			    PAGE(ROW("v/b", "1", "") "," ROW("v/a", "1", ""),
				 "false"))),
		GARBAGE("row of a scan gone", FX_SCAN,
			SAY(200, PAGE(GONE("v/a"), "false"))),
		GARBAGE("more of nothing", FX_SCAN, SAY(200, PAGE("", "true"))),
		GARBAGE("more is missing", FX_SCAN, SAY(200, ROWS(""))),
		/* The list of VMs. */
		GARBAGE("VM twice", FX_VM_LIST,
			SAY(200, "{\"vms\":[" VM("w1") "," VM("w1") "]}")),
		GARBAGE("VM without a name", FX_VM_LIST,
			SAY(200, "{\"vms\":[" VM("") "]}")),
		GARBAGE("VM with a bad name", FX_VM_LIST,
			SAY(200, "{\"vms\":[" VM("a/b") "]}")),
		GARBAGE("no list of VMs", FX_VM_LIST, SAY(200, "{}")),
	};
	struct mailbox *inbox = mailbox_new(16);
	const struct answer_case *c;
	struct edge_platform *edge;
	uint64_t garbage;
	struct fake *f;
	ev_platform p;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		c = &cases[i];
		garbage = counter_get(COUNT_DROPPED_PLATFORM_GARBAGE);
		f = fake_start(&c->step, 1);
		edge = start(inbox, fake_port(f),
			     c->step.action == FAKE_NO_ANSWER ? SHORT_MS
							      : LONG_MS,
			     4);
		cr_assert(edge_platform_send(edge, request(c->kind, i)));
		p = expect(inbox, i, c->outcome, c->what);
		cr_expect_eq(p.retry_after_ms, c->retry_after_ms, "%s: %u",
			     c->what, p.retry_after_ms);
		if (p.outcome != PLATFORM_OK && p.outcome != PLATFORM_CONFLICT)
			cr_expect(!p.rows.rows_len && !p.vms.vms_len &&
					  !p.body.bstr_len,
				  "%s: has contents", c->what);
		cr_expect_eq(counter_get(COUNT_DROPPED_PLATFORM_GARBAGE),
			     garbage + c->garbage, "%s: counter", c->what);
		edge_platform_stop(edge);
		cr_expect_null(mailbox_take(inbox), "%s: twice", c->what);
		discard(p);
		fake_stop(f);
	}
	mailbox_free(inbox);
}

/*
 * The contents of an answer reach the reducer, and each request has the
 * documented form.
 */
Test(edge_platform, each_effect_has_its_event)
{
	static const struct fake_step steps[] = {
		{FAKE_ANSWER, 200, ROWS(DONE("k", "4")), NULL, "/commit "},
		{FAKE_ANSWER, 200, ROWS(GONE("l") "," ROW("k", "4", "aGk=")),
		 NULL, "/read "},
		{FAKE_ANSWER, 201, "", NULL, "PUT /v1/objects/o "},
		{FAKE_ANSWER, 200, "bytes", NULL, "GET /v1/objects/o "},
		{FAKE_ANSWER, 200, "{\"vms\":[" VM("w1") "]}", NULL,
		 "/v1/vms "},
	};
	static const struct {
		effect_kind kind;
		const char *line;
		const char *body;
	} cases[] = {
		{FX_COMMIT, "POST /v1/table/commit ",
		 "{\"txid\":\"tx\",\"checks\":[{\"key\":\"k\",\"version\":3}],"
		 "\"writes\":[{\"key\":\"k\",\"value\":\"aGk=\"},"
		 "{\"key\":\"l\",\"remove\":true}]}"},
		{FX_READ, "POST /v1/table/read ", "{\"keys\":[\"k\",\"l\"]}"},
		{FX_OBJECT_PUT, "PUT /v1/objects/o ", "bytes"},
		{FX_OBJECT_GET, "GET /v1/objects/o ", ""},
		{FX_VM_LIST, "GET /v1/vms ", ""},
	};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge = start(inbox, fake_port(f), LONG_MS, 4);
	const struct fake_request *r;
	ev_platform p[NELEMS(cases)];
	const listed_vm *vm;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		cr_assert(edge_platform_send(edge, request(cases[i].kind, i)));
		p[i] = expect(inbox, i, PLATFORM_OK, cases[i].line);
		r = fake_wait(f, i);
		cr_expect_eq(
			strncmp(r->head, cases[i].line, strlen(cases[i].line)),
			0, "%s", r->head);
		cr_expect(strstr(r->head, "Authorization: Bearer sesame\r\n"));
		cr_expect(bstr_eq_str(r->body, cases[i].body), "%.*s",
			  BSTR_ARG(r->body));
	}
	cr_assert_eq(p[0].rows.rows_len, 1);
	cr_expect_eq(p[0].rows.rows_val[0].revision, 4);
	cr_assert_eq(p[1].rows.rows_len, 2);
	cr_expect(bstr_eq_str(p[1].rows.rows_val[0].value, "hi"));
	cr_expect(bstr_eq_str(p[1].rows.rows_val[1].key, "l"));
	cr_expect(bstr_eq_str(p[3].body, "bytes"));
	cr_assert_eq(p[4].vms.vms_len, 1);
	vm = p[4].vms.vms_val;
	cr_expect(bstr_eq_str(vm->vm, "w1") && bstr_eq_str(vm->dc, "a") &&
		  bstr_eq_str(vm->rack, "r") && !vm->leaving &&
		  bstr_eq_str(vm->address, "127.0.0.1:1"));
	for (i = 0; i < NELEMS(cases); i++)
		discard(p[i]);
	edge_platform_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/*
 * A scan continues from page to page, after a refusal and after a page that is
 * too long, and returns all rows in one event; otherwise it fails as a whole.
 */
Test(edge_platform, scans)
{
#define FIRST SAY(200, PAGE(ROW("v/a", "1", ""), "true"))
#define LAST SAY(200, PAGE(ROW("v/b", "2", ""), "false"))
	static const struct {
		const char *what;
		platform_outcome outcome;
		u_int rows;
		size_t requests;
		const char *last; /* body of the last request */
		struct fake_step steps[4];
	} cases[] = {
		{"two pages",
		 PLATFORM_OK,
		 2,
		 2,
		 "{\"prefix\":\"v/\",\"after\":\"v/a\",\"limit\":500}",
		 {FIRST, LAST}},
		{"refused between them",
		 PLATFORM_OK,
		 2,
		 4,
		 "{\"prefix\":\"v/\",\"after\":\"v/a\",\"limit\":500}",
		 {FIRST, REFUSE(429, "0.01"), SAY(503, ""), LAST}},
		{"too long between them",
		 PLATFORM_OK,
		 2,
		 3,
		 "{\"prefix\":\"v/\",\"after\":\"v/a\",\"limit\":250}",
		 {FIRST, {FAKE_ANSWER, 200, "", NULL, NULL, 17 << 20}, LAST}},
		{"refused for too long",
		 PLATFORM_REFUSED,
		 0,
		 2,
		 NULL,
		 {FIRST, REFUSE(503, "1e9")}},
		{"goes round", PLATFORM_INVALID, 0, 2, NULL, {FIRST, FIRST}},
		{"garbage at the end",
		 PLATFORM_INVALID,
		 0,
		 2,
		 NULL,
		 {FIRST, SAY(200, "x")}},
		{"reset at the end",
		 PLATFORM_UNKNOWN,
		 0,
		 3,
		 NULL,
		 {FIRST, {FAKE_RESET}, {FAKE_RESET}}},
	};
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge;
	const struct fake_request *r;
	struct fake *f;
	ev_platform p;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		f = fake_start(cases[i].steps, 4);
		edge = start(inbox, fake_port(f), 7000, 4);
		cr_assert(edge_platform_send(edge, request(FX_SCAN, i)));
		p = expect(inbox, i, cases[i].outcome, cases[i].what);
		cr_expect_eq(p.rows.rows_len, cases[i].rows, "%s",
			     cases[i].what);
		cr_expect_eq(fake_request_count(f), cases[i].requests,
			     "%s: %zu", cases[i].what, fake_request_count(f));
		r = fake_wait(f, cases[i].requests - 1);
		if (cases[i].last)
			cr_expect(bstr_eq_str(r->body, cases[i].last),
				  "%s: %.*s", cases[i].what, BSTR_ARG(r->body));
		discard(p);
		edge_platform_stop(edge);
		cr_expect_null(mailbox_take(inbox));
		fake_stop(f);
	}
	mailbox_free(inbox);
}

/*
 * Without a connection nothing has reached the platform, so a write must be
 * reported as refused, not as unknown, and can be sent again.
 */
Test(edge_platform, not_sent)
{
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge;
	int refusing, hanging[2], i;
	uint16_t ports[2];
	effect_kind kind;

	ports[0] = fake_refusing_port(&refusing);
	ports[1] = fake_hanging_port(hanging);
	for (i = 0; i < 2; i++) {
		edge = start(inbox, ports[i], SHORT_MS, 4);
		for (kind = FX_COMMIT; kind <= FX_VM_LIST; kind++) {
			cr_assert(edge_platform_send(edge, request(kind, 7)));
			discard(expect(inbox, 7, PLATFORM_REFUSED,
				       i ? "hanging" : "refusing"));
		}
		edge_platform_stop(edge);
	}
	mailbox_free(inbox);
	close(refusing);
	close(hanging[0]);
	close(hanging[1]);
}

/*
 * The platform resets each connection as it accepts it.  If the client notices
 * that before it sends, nothing was done; if later, it can't know.  Only these
 * two outcomes are correct, and which of them comes is a race.
 */
Test(edge_platform, reset_at_once)
{
	static const struct fake_step steps[] = {
		{FAKE_RESET_ACCEPT}, {FAKE_RESET_ACCEPT}, {FAKE_RESET_ACCEPT}};
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge;
	platform_outcome outcome;
	struct fake *f;
	event *ev;
	int i;

	for (i = 0; i < 20; i++) {
		f = fake_start(steps, NELEMS(steps));
		edge = start(inbox, fake_port(f), LONG_MS, 4);
		cr_assert(edge_platform_send(edge, request(FX_COMMIT, 1)));
		ev = fake_next_event(inbox);
		cr_assert(ev);
		outcome = ev->body.event_body_u.platform.outcome;
		cr_expect(outcome == PLATFORM_REFUSED ||
				  outcome == PLATFORM_UNKNOWN,
			  "%d", outcome);
		cr_expect_eq(fake_request_count(f), 0);
		event_free(ev);
		edge_platform_stop(edge);
		cr_expect_null(mailbox_take(inbox));
		fake_stop(f);
	}
	mailbox_free(inbox);
}

/*
 * An answer is lost after the write took effect: the commit is unknown, and is
 * sent again with the same transaction ID, which the platform reports as done.
 * There are four requests for three sends, as libcurl repeats a request whose
 * kept connection was reset without an answer.
 */
Test(edge_platform, reply_lost_after_effect)
{
	static const struct fake_step steps[] = {
		{FAKE_RESET},
		SAY(200, ROWS(DONE("k", "4"))),
		{FAKE_RESET},
		SAY(200, ROWS(DONE("k", "4"))),
	};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge = start(inbox, fake_port(f), LONG_MS, 4);
	uint64_t unknown = counter_get(COUNT_TABLE_UNKNOWN);
	static const platform_outcome outcomes[] = {PLATFORM_UNKNOWN,
						    PLATFORM_OK, PLATFORM_OK};
	size_t i;

	for (i = 0; i < NELEMS(outcomes); i++) {
		cr_assert(edge_platform_send(edge, request(FX_COMMIT, i)));
		discard(expect(inbox, i, outcomes[i], "commit"));
	}
	cr_expect_eq(counter_get(COUNT_TABLE_UNKNOWN), unknown + 1);
	cr_assert_eq(fake_request_count(f), 4);
	for (i = 1; i < 4; i++)
		cr_expect(
			bstr_eq(fake_wait(f, 0)->body, fake_wait(f, i)->body));
	edge_platform_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/*
 * Of two kept connections one goes silent, so its request is unknown.  The
 * other is as old, and whatever lost track of the one may have lost track of
 * the other, so the next request must use a new connection instead of waiting
 * for another timeout.
 */
Test(edge_platform, connections_gone_silent)
{
	static const struct fake_step steps[] = {
		{FAKE_HOLD, 200, "a"}, {FAKE_HOLD, 200, "b"}, {FAKE_NO_ANSWER},
		SAY(200, "d"),	       SAY(200, "e"),
	};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge = start(inbox, fake_port(f), 1000, 4);
	event *ev;
	size_t i;

	for (i = 0; i < 2; i++)
		cr_assert(edge_platform_send(edge, request(FX_OBJECT_GET, i)));
	fake_wait(f, 1);
	fake_release(f, 0);
	fake_release(f, 1);
	for (i = 0; i < 2; i++) {
		ev = fake_next_event(inbox); /* of either request */
		cr_assert(ev);
		cr_expect_eq(ev->body.event_body_u.platform.outcome,
			     PLATFORM_OK);
		event_free(ev);
	}
	for (; i < 5; i++) {
		cr_assert(edge_platform_send(edge, request(FX_OBJECT_GET, i)));
		discard(expect(inbox, i,
			       i == 2 ? PLATFORM_UNKNOWN : PLATFORM_OK,
			       "silent"));
	}
	cr_expect_leq(fake_wait(f, 2)->connection, 2);
	cr_expect_eq(fake_wait(f, 3)->connection, 3);
	cr_expect_eq(fake_wait(f, 4)->connection, 3);
	edge_platform_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/*
 * A second answer to the last request waits on a kept connection, or arrives
 * after that request has timed out.  The next request must not take it as its
 * own.
 */
Test(edge_platform, answers_of_others)
{
	static const enum fake_action actions[] = {
		FAKE_ANSWER_TWICE, FAKE_ANSWER_AGAIN, FAKE_HOLD};
	struct mailbox *inbox = mailbox_new(16);
	struct fake_step steps[] = {SAY(200, "old"), SAY(200, "new")};
	struct edge_platform *edge;
	struct fake *f;
	ev_platform p;
	size_t i;

	for (i = 0; i < NELEMS(actions); i++) {
		steps[0].action = actions[i];
		f = fake_start(steps, NELEMS(steps));
		edge = start(inbox, fake_port(f), 1000, 4);
		cr_assert(edge_platform_send(edge, request(FX_OBJECT_GET, 1)));
		discard(expect(inbox, 1,
			       actions[i] == FAKE_HOLD ? PLATFORM_UNKNOWN
						       : PLATFORM_OK,
			       "first"));
		fake_release(f, 0);
		cr_assert(edge_platform_send(edge, request(FX_OBJECT_GET, 2)));
		p = expect(inbox, 2, PLATFORM_OK, "second");
		cr_expect(bstr_eq_str(p.body, "new"), "act %d", actions[i]);
		cr_expect_eq(fake_wait(f, 1)->connection, 2, "act %d",
			     actions[i]);
		discard(p);
		edge_platform_stop(edge);
		fake_stop(f);
	}
	mailbox_free(inbox);
}

/*
 * Two requests may be in flight, so the third waits.  Answers come in another
 * order than the requests, and each must reach its own request.
 */
Test(edge_platform, out_of_order_within_the_bound)
{
	static const struct fake_step steps[] = {
		{FAKE_HOLD, 200, "a", NULL, "/o0 "},
		{FAKE_HOLD, 200, "b", NULL, "/o1 "},
		SAY(200, "c")};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(16);
	struct edge_platform *edge = start(inbox, fake_port(f), LONG_MS, 2);
	static const uint64_t order[] = {1, 2, 0};
	size_t i, first;
	ev_platform p;
	effect *fx;

	for (i = 0; i < 3; i++) {
		fx = request(FX_OBJECT_GET, i);
		bstr_free(&fx->effect_u.object.name);
		fx->effect_u.object.name = bstr_printf("o%zu", i);
		cr_assert(edge_platform_send(edge, fx));
	}
	fake_wait(f, 1);
	cr_expect_eq(fake_request_count(f), 2);
	first = strstr(fake_wait(f, 0)->head, "/o0 ") ? 0 : 1;
	fake_release(f, 1 - first);
	for (i = 0; i < 3; i++) {
		if (i == 2)
			fake_release(f, first);
		p = expect(inbox, order[i], PLATFORM_OK, "out of order");
		cr_expect(bstr_eq(p.body, bstr_ref("abc" + order[i], 1)));
		discard(p);
	}
	edge_platform_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/* Stops an edge in a thread, while the test reads a small inbox. */
static void *stop_run(void *arg)
{
	edge_platform_stop(arg);
	return NULL;
}

/*
 * The platform is silent and the queue fills up.  The effect that finds it full
 * stays with its sender.  The stop must then end all accepted effects with one
 * correct event each: unknown if it was sent, refused if it was queued.
 */
Test(edge_platform, stop_with_a_full_queue)
{
	static const struct fake_step steps[] = {{FAKE_NO_ANSWER},
						 {FAKE_NO_ANSWER}};
	struct fake *f = fake_start(steps, NELEMS(steps));
	struct mailbox *inbox = mailbox_new(4);
	struct edge_platform *edge = start(inbox, fake_port(f), LONG_MS, 2);
	effect *fx = request(FX_COMMIT, 0);
	uint64_t n = 0, i, seen = 0, unknown = 0;
	bool *got;
	pthread_t t;
	event *ev;

	while (edge_platform_send(edge, fx))
		fx = request(FX_COMMIT, ++n);
	cr_expect_eq(fx->effect_u.commit.req, n);
	effect_free(fx);
	fake_wait(f, 1);
	got = xcalloc(n, sizeof(*got));
	pthread_create(&t, NULL, stop_run, edge);
	for (i = 0; i < n; i++) {
		ev = fake_next_event(inbox);
		cr_assert(ev);
		seen += !got[ev->body.event_body_u.platform.req];
		got[ev->body.event_body_u.platform.req] = true;
		unknown += ev->body.event_body_u.platform.outcome ==
			   PLATFORM_UNKNOWN;
		event_free(ev);
	}
	pthread_join(t, NULL);
	cr_expect_null(mailbox_take(inbox));
	cr_expect_eq(seen, n);
	cr_expect_eq(unknown, 2);
	free(got);
	mailbox_free(inbox);
	fake_stop(f);
}

/* Each proper prefix of a valid answer is an error. */
Test(edge_platform, every_part_of_an_answer)
{
	static const char whole[] = ROWS(GONE("k") "," ROW("l", "4", "aGk="));
	struct mailbox *inbox = mailbox_new(16);
	struct fake_step steps[sizeof(whole)] = {{0}};
	struct edge_platform *edge;
	struct fake *f;
	size_t i;

	for (i = 0; i < NELEMS(steps); i++) {
		steps[i] = (struct fake_step)SAY(200, xstrdup(whole));
		((char *)steps[i].body)[i] = '\0';
	}
	f = fake_start(steps, NELEMS(steps));
	edge = start(inbox, fake_port(f), LONG_MS, 1);
	for (i = 0; i < NELEMS(steps); i++) {
		cr_assert(edge_platform_send(edge, request(FX_READ, i)));
		discard(expect(inbox, i,
			       i < sizeof(whole) - 1 ? PLATFORM_INVALID
						     : PLATFORM_OK,
			       steps[i].body));
		free((char *)steps[i].body);
	}
	edge_platform_stop(edge);
	mailbox_free(inbox);
	fake_stop(f);
}

/*
 * The edge doesn't start with a CA file that doesn't exist, or with a token
 * that would add a header.
 */
Test(edge_platform, bad_settings)
{
	struct settings s = {0};
	struct error e;
	unsigned i;

	error_init(&e);
	s.platform.url = "https://127.0.0.1:1";
	for (i = 0; i < 2; i++) {
		s.platform.tls_ca = i ? NULL : "tests/no-such-file.pem";
		s.platform.token = i ? "a\r\nHost: b" : NULL;
		cr_expect_null(edge_platform_start(&s, NULL, &e));
		cr_expect_eq(e.count, i + 1);
	}
	error_free(&e);
}
