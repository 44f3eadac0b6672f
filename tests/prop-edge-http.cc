#include "support-fake.h"

#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

enum kind { READ, SCAN, VMS, WATCH, KINDS };

static const char *const bodies[KINDS] = {
	"{\"rows\":[{\"key\":\"k\",\"version\":0},"
	"{\"key\":\"l\",\"version\":4,\"value\":\"aGk=\"}]}",
	"{\"rows\":[{\"key\":\"v/a\",\"version\":1,\"value\":\"aGk=\"},"
	"{\"key\":\"v/b\",\"version\":2,\"value\":\"\"}],\"more\":false}",
	"{\"vms\":[{\"vm\":\"w1\",\"dc\":\"a\",\"rack\":\"r\","
	"\"address\":\"127.0.0.1:1\",\"leaving\":false}]}",
	"{\"worker\":\"w1\",\"boot\":\"b\",\"epoch\":7,\"seq\":3,"
	"\"leaving\":false,\"slots\":8,\"tasks\":[{\"task\":\"t1\","
	"\"state\":\"done\",\"reason\":\"\",\"result\":\"aGk=\","
	"\"ran_ms\":5,\"cpu_milli\":6,\"memory_mb\":7}]}"};

/* Changes, drops or inserts a few bytes, or cuts off the end. */
static std::string corrupt(std::string text)
{
	static const std::string json_chars =
		"{}[]\",:0123456789-.eE\\u+ /\r\n";
	int edits = *rc::gen::inRange(1, 4);

	while (edits-- && !text.empty()) {
		size_t at = *rc::gen::inRange<size_t>(0, text.size());
		char c = *rc::gen::oneOf(rc::gen::elementOf(json_chars),
					 rc::gen::inRange<char>(1, 127),
					 rc::gen::inRange<char>(-128, 0));

		switch (*rc::gen::weightedElement<int>(
			{{4, 0}, {3, 1}, {3, 2}, {1, 3}})) {
		case 0:
			text[at] = c;
			break;
		case 1:
			text.erase(at, 1);
			break;
		case 2:
			text.insert(at, 1, c);
			break;
		default:
			text.resize(at);
		}
	}
	return text;
}

static effect *request_new(kind k, uint16_t port)
{
	static const effect_kind kinds[] = {FX_READ, FX_SCAN, FX_VM_LIST,
					    FX_WORKER};
	effect *fx = effect_new(kinds[k]);

	if (k == READ) {
		fx->effect_u.read.keys.keys_len = 2;
		fx->effect_u.read.keys.keys_val = (bstr *)xcalloc(2,
								  sizeof(bstr));
		fx->effect_u.read.keys.keys_val[0] = bstr_new("k");
		fx->effect_u.read.keys.keys_val[1] = bstr_new("l");
	} else if (k == SCAN) {
		fx->effect_u.scan.prefix = bstr_new("v/");
	} else if (k == WATCH) {
		fx->effect_u.worker.vm = bstr_new("w1");
		fx->effect_u.worker.address = bstr_printf("127.0.0.1:%u", port);
		fx->effect_u.worker.epoch = 7;
		fx->effect_u.worker.watch = TRUE;
	}
	return fx;
}

static std::string text_of(bstr b)
{
	return std::string(b.bstr_val ? b.bstr_val : "", b.bstr_len);
}

/* Checks what must hold of any event from the platform. */
static void check_platform(kind k, const ev_platform &p)
{
	std::set<std::string> names;
	std::string last;

	if (p.outcome != PLATFORM_OK) {
		RC_ASSERT(!p.rows.rows_len && !p.vms.vms_len);
		return;
	}
	if (k == READ) {
		RC_ASSERT(p.rows.rows_len == 2u);
		RC_ASSERT(bstr_eq_str(p.rows.rows_val[0].key, "k"));
		RC_ASSERT(bstr_eq_str(p.rows.rows_val[1].key, "l"));
	}
	for (u_int i = 0; k == SCAN && i < p.rows.rows_len; i++) {
		std::string key = text_of(p.rows.rows_val[i].key);

		RC_ASSERT(key.compare(0, 2, "v/") == 0);
		RC_ASSERT(last < key);
		RC_ASSERT(p.rows.rows_val[i].revision > 0u);
		last = key;
	}
	for (u_int i = 0; i < p.vms.vms_len; i++) {
		RC_ASSERT(bstr_is_name(p.vms.vms_val[i].vm, 128));
		RC_ASSERT(names.insert(text_of(p.vms.vms_val[i].vm)).second);
	}
}

/* Checks what must hold of any event from a worker. */
static void check_worker(const ev_worker &w)
{
	std::set<std::string> names;

	RC_ASSERT(bstr_eq_str(w.vm, "w1"));
	RC_ASSERT(w.outcome == WORKER_OK || !w.tasks.tasks_len);
	RC_ASSERT(w.outcome != WORKER_OK || w.epoch >= 7u);
	for (u_int i = 0; i < w.tasks.tasks_len; i++) {
		const task_report &t = w.tasks.tasks_val[i];

		RC_ASSERT(names.insert(text_of(t.task)).second);
		RC_ASSERT(t.state >= TASK_RUNNING &&
			  t.state <= TASK_CHECKPOINTED);
	}
}

/*
 * Makes an exchange with a corrupted answer.  It must yield one event, which
 * has no invalid or contradictory data.
 */
static void exchange(kind k)
{
	std::string body = bodies[k];
	bool headers = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});

	if (!headers)
		body = corrupt(body);
	std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
			   std::to_string(body.size()) + "\r\n\r\n" + body;
	if (headers)
		text = corrupt(text);
	fake_step answer = {FAKE_RAW, 0, text.c_str(), NULL, NULL, 0};
	struct fake *f = fake_start(&answer, 1);
	struct mailbox *inbox = mailbox_new(16);
	std::string url = "http://127.0.0.1:" + std::to_string(fake_port(f));
	struct settings s = {};
	struct error e;

	error_init(&e);
	s.platform.url = &url[0];
	s.platform.timeout_ms = s.workers.timeout_ms = 10000;
	s.platform.max_in_flight = s.workers.max_connections = 2;
	struct edge_platform *p = edge_platform_start(&s, inbox, &e);
	struct edge_worker *w = edge_worker_start(&s, inbox, &e);
	effect *fx = request_new(k, fake_port(f));
	bool sent = k == WATCH ? edge_worker_send(w, fx)
			       : edge_platform_send(p, fx);
	event *ev = fake_next_event(inbox);

	edge_platform_stop(p);
	edge_worker_stop(w);
	event *second = (event *)mailbox_take(inbox);
	fake_stop(f);
	mailbox_free(inbox);
	RC_ASSERT(sent && ev && !second);
	bstr x = xdr_encode(XDR_PROC(xdr_event), ev);
	RC_ASSERT(x.bstr_len > 0u);
	bstr_free(&x);
	if (k == WATCH) {
		RC_TAG(ev->body.event_body_u.worker.outcome);
		check_worker(ev->body.event_body_u.worker);
	} else {
		RC_TAG(ev->body.event_body_u.platform.outcome);
		check_platform(k, ev->body.event_body_u.platform);
	}
	event_free(ev);
}

int main()
{
	static const char *const names[KINDS] = {"read", "scan", "VM list",
						 "watch"};
	int passed = 0;

	setenv("RC_PARAMS", "seed=42 max_success=250", 0);
	log_open("prop-edge-http", LEVEL_ERR);
	for (int k = 0; k < KINDS; k++)
		passed += rc::check(std::string("a damaged answer to a ") +
					    names[k],
				    [k] { exchange((kind)k); });
	printf("%d passed, %d failed\n", passed, KINDS - passed);
	return passed != KINDS;
}
