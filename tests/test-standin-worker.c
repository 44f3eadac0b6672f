#include "standin.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Requests with a lease that is longer than any test. */
#define CELL(pool, dc, epoch) \
	"{'pool':'" pool "','dc':'" dc "','epoch':" epoch ",'lease_ms':3600000"
#define HOME CELL("p", "a", "1")
#define CMD "POST", "/v1/command"
#define ONE(id, load)                        \
	"{'task':'" id "','payload':'<" load \
	">','start_by_ms':3600000,'cpu_milli':1000}"
#define START(id, load) CMD, HOME ",'starts':[" ONE(id, load) "]}"
#define ORDER(id, verb) \
	CMD, HOME ",'orders':[{'task':'" id "','verb':'" verb "'}]}"
/* A watch answers when something has changed, so no test sleeps. */
#define WATCH_CELL(cell, since, wait) \
	"POST", "/v1/watch", cell ",'since':" since ",'wait_ms':" wait "}"
#define WATCH(since) WATCH_CELL(HOME, since, "60000")
#define CONTROL(mode) "POST", "/control", "{'mode':'" mode "'}"
#define LOG "GET", "/control/log", NULL
#define LONG "{'sleep_ms':3600000,'team':'t'}"
#define QUICK "{'sleep_ms':0,'result':'r'}"
#define IS(id, state, reason) \
	"{'task':'" id "','state':'" state "','reason':'" reason "'"
#define GAVE(id, state, reason, result) \
	IS(id, state, reason) ",'result':'<" result ">'"
#define RUN(...) cr_expect_eq(HTTP_STEPS(port, __VA_ARGS__), 0)

static struct standin worker;
static uint16_t port; /* of the worker, or of the control port */

/* Starts one worker with an option. */
static void start(const char *option, const char *value)
{
	const char *const args[] = {"--prefix", "w", option, value, NULL};

	standin_start(&worker, "standin-worker", args);
	cr_assert_eq(worker.worker_count, 1);
	cr_assert_str_eq(worker.workers[0].name, "w");
	port = worker.workers[0].port;
}

static void stop(void)
{
	standin_stop(&worker);
}

/* Repeats a step until its answer is the expected one. */
static void run_until(struct http_step st)
{
	while (!http_step(port, &st, false))
		continue;
}

/*
 * Sends a request on a connection that stays open; opens one if fd is negative.
 */
static int send_on(int fd, const char *method, const char *path,
		   const char *body)
{
	char *text = http_expand(body ? body : "");

	if (fd < 0)
		fd = http_connect(port, NULL);
	cr_assert(http_send(fd, method, path, text));
	free(text);
	return fd;
}

/* Checks that the answer on a connection contains a text, and closes it. */
static void expect_on(int fd, const char *want)
{
	char *text;

	cr_assert_eq(http_recv(fd, &text), 200);
	cr_expect(strstr(text, want), "%s", text);
	free(text);
	close(fd);
}

Test(standin_worker, runs_and_reports, .fini = stop)
{
	start("--usage-lag-ms", "3600000");
	RUN({WATCH("0"), 200,
	     "'epoch':1,'seq':1,'leaving':false,'slots':8,'tasks':[]}"},
	    {START("1", QUICK), 200, GAVE("1", "running", "", "")},
	    {WATCH("1"), 200, GAVE("1", "done", "", "r")},
	    /* The second start reports the first. */
	    {START("1", LONG), 200, GAVE("1", "done", "", "r")},
	    {START("2", "{'fail':true,'result':'why'}"), 200, "running"},
	    {WATCH("2"), 200, GAVE("2", "failed", "task-failed", "why")},
	    {WATCH("1"), 200, IS("1", "done", "")},
	    /* A payload that isn't JSON is returned as the result. */
	    {START("3", "any"), 200, "running"},
	    {WATCH("3"), 200, GAVE("3", "done", "", "any")},
	    {START("4", LONG), 200, IS("4", "running", "")},
	    {START("4", LONG), 200, "'cpu_milli':0"},
	    {ORDER("4", "stop"), 200, GAVE("4", "stopped", "", "")},
	    {ORDER("4", "checkpoint"), 200, IS("4", "stopped", "")},
	    {ORDER("4", "forget"), 200, "'tasks':[]"},
	    /* A task that is stopped before its start can't start any more. */
	    {ORDER("5", "stop"), 200, IS("5", "refused", "tombstone")},
	    {START("5", QUICK), 200, IS("5", "refused", "tombstone")},
	    {ORDER("6", "checkpoint"), 200, "'tasks':[]"},
	    {CMD, HOME ",'starts':[{'task':'7','start_by_ms':-1}]}", 200,
	     IS("7", "refused", "late")},
	    {START("7", QUICK), 200, IS("7", "refused", "late")},
	    /*
	     * The submitter keeps the checkpoint and passes it to the next
	     * start.
	     */
	    {START("8", LONG), 200, "running"},
	    {ORDER("8", "forget"), 200, IS("8", "running", "")},
	    {ORDER("8", "checkpoint"), 200, IS("8", "checkpointed", "")},
	    {CMD,
	     HOME ",'starts':[{'task':'9','payload':'<" LONG ">',"
		  "'start_by_ms':1000,'checkpoint':'<{'done_ms':3600000}>'}]}",
	     200, IS("9", "running", "")},
	    {WATCH("6"), 200, IS("9", "done", "")},
	    {LOG, 200, "'teams':{'t':{'running':0,'most':1}}"},
	    {LOG, 200, "'workers':{'w':{'running':0,'most':1}}"});
}

Test(standin_worker, has_eight_slots, .fini = stop)
{
	start(NULL, NULL);
	RUN({CMD,
	     HOME
	     ",'starts':[" ONE("1", LONG) "," ONE("2", LONG) "," ONE("3", LONG) "," ONE(
		     "4", LONG) "," ONE("5",
					LONG) "," ONE("6",
						      LONG) "," ONE("7",
								    LONG) "]}",
	     200},
	    {"GET", "/v1/run?sleep_ms=1", NULL, 200, "done"},
	    {START("8", LONG), 200, IS("8", "running", "")},
	    {START("9", LONG), 200, IS("9", "refused", "no-slot")},
	    {"GET", "/v1/run?sleep_ms=0", NULL, 503, "\r\nRetry-After: "},
	    {ORDER("1", "stop"), 200, "stopped"},
	    /* A refused start stays refused: a late copy of it must not run. */
	    {START("9", LONG), 200, IS("9", "refused", "no-slot")},
	    {START("10", LONG), 200, IS("10", "running", "")},
	    {LOG, 200, "'teams':{'t':{'running':8,'most':8}}"},
	    {LOG, 200, "'workers':{'w':{'running':8,'most':8}}"});
}

/*
 * Each pool has its own epochs; a request with a lower one changes nothing,
 * including leases.
 */
Test(standin_worker, fences_by_epoch, .fini = stop)
{
	start(NULL, NULL);
	RUN({CMD, CELL("p", "a", "5") "}", 200, "'epoch':5"},
	    {START("1", QUICK), 409, "{'epoch':5,'boot':'w-"},
	    {WATCH("0"), 409, "'epoch':5"}, {CMD, CELL("p", "b", "4") "}", 409},
	    {CMD, CELL("q", "a", "1") "}", 200, "'epoch':1"},
	    {CMD, CELL("p", "b", "6") "}", 200, "'epoch':6"},
	    {CMD, CELL("p", "a", "5") "}", 409, "'epoch':6"},
	    {LOG, 200, "'starts':[]"}, {CONTROL("restart"), 200},
	    {START("1", QUICK), 200, "'epoch':1,"});
}

/*
 * If the owner of a cell goes silent, its tasks lapse when the lease expires,
 * and a successor with a higher epoch sees them in its report.  Tasks of other
 * cells continue.
 */
Test(standin_worker, ends_leases_by_cell, .fini = stop)
{
	start(NULL, NULL);
	RUN({START("1", LONG), 200, "running"},
	    {CMD,
	     "{'pool':'p','dc':'b','epoch':1,'lease_ms':1,'starts':[" ONE(
		     "2", LONG) "]}",
	     200, "running"},
	    {WATCH("1"), 200, GAVE("2", "lapsed", "", "")},
	    {WATCH_CELL(CELL("p", "b", "2"), "0", "0"), 200,
	     IS("1", "running", "")},
	    /* A watch renews the lease as a command does. */
	    {CMD, CELL("q", "b", "1") ",'starts':[" ONE("3", LONG) "]}", 200,
	     "running"},
	    {WATCH_CELL("{'pool':'q','dc':'b','epoch':1,'lease_ms':1", "9",
			"0"),
	     200, "'tasks':[]"},
	    {WATCH_CELL(CELL("p", "a", "2"), "2", "60000"), 200, "'seq':3"},
	    {LOG, 200, "'state':'lapsed'}]"},
	    {LOG, 200, "'teams':{'t':{'running':1,'most':2}}"});
}

/*
 * A task that is throttled to 0 doesn't end; its usage is reported with a lag.
 */
Test(standin_worker, throttles, .fini = stop)
{
	start("--usage-lag-ms", "1");
	RUN({START("1", "{'sleep_ms':3600000}"), 200, "'cpu_milli':0"},
	    {WATCH("1"), 200, IS("1", "running", "")},
	    {CMD, HOME ",'orders':[{'task':'1','verb':'throttle'}]}", 200,
	     "running"},
	    {WATCH("2"), 200, "'cpu_milli':0"},
	    {CMD,
	     HOME ",'orders':[{'task':'1','verb':'throttle','percent':101}]}",
	     400});
}

/* Results and tombstones are dropped after keep_ms. */
Test(standin_worker, forgets_in_time, .fini = stop)
{
	start("--keep-ms", "1");
	RUN({ORDER("1", "stop"), 200, "tombstone"});
	run_until((struct http_step){START("1", QUICK), 200,
				     IS("1", "running", "")});
}

Test(standin_worker, refuses_what_is_malformed, .fini = stop)
{
	start(NULL, NULL);
	RUN({CMD, "", 400}, {CMD, "[]", 400},
	    {CMD, "{'pool':'p','dc':'a','epoch':1}", 400},
	    {CMD, "{'pool':'p','dc':'a','lease_ms':1}", 400},
	    {CMD, "{'pool':'p','epoch':1,'lease_ms':1}", 400},
	    {CMD, "{'dc':'a','epoch':1,'lease_ms':1}", 400},
	    {CMD, HOME ",'starts':{}}", 400},
	    {CMD, HOME ",'starts':[{}]}", 400},
	    {CMD, HOME ",'starts':[{'task':''}]}", 400},
	    {CMD, HOME ",'starts':[{'task':'1','payload':'?'}]}", 400},
	    {CMD, HOME ",'orders':[{'task':'1'}]}", 400},
	    {ORDER("1", "odd"), 400}, {ORDER("", "stop"), 400},
	    {"POST", "/v1/watch", "{}", 400}, {"GET", "/v1/watch", NULL, 405},
	    {"GET", "/", NULL, 404}, {CONTROL("odd"), 400},
	    {LOG, 200, "{'seq':0,'starts':[]"});
}

/* The modes whose effect an owner sees immediately. */
Test(standin_worker, obeys_control, .fini = stop)
{
	start(NULL, NULL);
	RUN({START("1", LONG), 200, "'boot':'w-"}, {CONTROL("refuse"), 200},
	    {START("2", LONG), 503, "\r\nRetry-After: "},
	    {CONTROL("none"), 200}, {CONTROL("leave"), 200},
	    {WATCH("2"), 200, "'leaving':true"}, {CONTROL("none"), 200},
	    {WATCH("3"), 200, "'leaving':false"}, {CONTROL("fail-all"), 200},
	    {START("3", LONG), 200},
	    {WATCH("4"), 200, IS("3", "failed", "task-failed")},
	    {CONTROL("restart"), 200},
	    {WATCH("0"), 200, "'seq':1,'leaving':false,'slots':8,'tasks':[]"},
	    {LOG, 200, "'state':'lost'}"},
	    {LOG, 200, "'teams':{'t':{'running':0,'most':2}}"},
	    {"POST", "/control/fault", "{'mode':'lose','ops':['command']}",
	     200},
	    {START("4", LONG), 0},
	    {"POST", "/control/fault", "{'mode':'none'}", 200},
	    {WATCH("1"), 200, IS("4", "failed", "task-failed")});
}

/*
 * At the limit a further connection is closed at once.  When another ends there
 * is room again, also if it closed while its watch waited.
 */
Test(standin_worker, limits_connections, .fini = stop)
{
	char *text;
	int fds[64], i, fd;

	start(NULL, NULL);
	for (i = 0; i < 64; i++) {
		fds[i] = send_on(-1, LOG);
		cr_assert_eq(http_recv(fds[i], &text), 200);
		free(text);
	}
	fd = http_connect(port, NULL);
	cr_expect_eq(http_recv(fd, &text), 0);
	close(fd);
	send_on(fds[0], WATCH("1"));
	close(fds[0]);
	run_until((struct http_step){LOG, 200});
	for (i = 1; i < 64; i++)
		close(fds[i]);
}

/*
 * The worker goes silent on the open connections, as if something on the
 * network path had lost track of them.  They stay open and are never answered,
 * whether a request waits or comes later.  New connections work, and show that
 * a request on a silent one had no effect.
 */
Test(standin_worker, goes_silent, .fini = stop)
{
	char *text;
	int idle, watching;

	start(NULL, NULL);
	idle = send_on(-1, START("1", LONG));
	cr_assert_eq(http_recv(idle, &text), 200);
	free(text);
	watching = send_on(-1, WATCH("1"));
	RUN({LOG, 200}, {CONTROL("silent"), 200});
	send_on(idle, START("2", QUICK));
	RUN({ORDER("1", "stop"), 200, "stopped"}, {CONTROL("none"), 200},
	    {WATCH("0"), 200, IS("1", "stopped", "")}, {LOG, 200, "{'seq':1,"});
	cr_expect(http_silent(idle));
	cr_expect(http_silent(watching));
	close(idle);
	close(watching);
}

/*
 * A frozen worker answers no request and no lease expires.  After the thaw,
 * expired leases end their tasks before anything else is handled, and a start
 * that waited past its deadline is refused.
 */
Test(standin_worker, freezes_and_thaws, .fini = stop)
{
	static const struct http_step running = {LOG, 200,
						 "'state':'running'}]"};
	int fd, watch, lease;
	bool frozen = false;
	int64_t end;
	char *body;

	start(NULL, NULL);
	/*
	 * On a busy machine the lease may expire before the freeze; then try
	 * again with a longer one.
	 */
	for (lease = 40; !frozen; lease *= 2) {
		body = xasprintf("{'pool':'p','dc':'b','epoch':1,'lease_ms':%d,"
				 "'starts':[" ONE("1", LONG) "]}",
				 lease);
		RUN({CONTROL("restart"), 200}, {CONTROL("none"), 200},
		    {CMD, body, 200, IS("1", "running", "")},
		    {CONTROL("freeze"), 200});
		frozen = http_step(port, &running, false);
		free(body);
	}
	watch = send_on(-1, WATCH("2"));
	fd = send_on(-1, CMD, HOME ",'starts':[{'task':'2','start_by_ms':1}]}");
	cr_expect(http_step(port, &running, true));
	for (end = clock_now() + lease; clock_now() <= end;)
		usleep(1000); /* the worker uses the same clock */
	cr_expect(http_step(port, &running, true));
	cr_expect(http_silent(fd));
	cr_expect(http_silent(watch));
	RUN({CONTROL("none"), 200});
	expect_on(watch, "\"state\":\"lapsed\"");
	expect_on(fd, "\"reason\":\"late\"");
}

/* Many workers in one process, addressed by port or by name. */
Test(standin_worker, plays_many, .fini = stop)
{
	const char *const args[] = {"--workers", "50", "--prefix", "m", NULL};
	size_t i;

	standin_start(&worker, "standin-worker", args);
	cr_assert_eq(worker.worker_count, 50);
	port = worker.port;
	RUN({"POST", "/control", "{'mode':'refuse','workers':['m-2']}", 200,
	     "{'workers':1}"},
	    {"POST", "/control", "{'mode':'refuse','workers':['x']}", 400},
	    {"GET", "/v1/run", NULL, 404},
	    {LOG, 200, "'m-50':{'running':0,'most':0}"});
	for (i = 0; i < 50; i++)
		cr_expect_eq(http_call(worker.workers[i].port, "GET", "/v1/run",
				       NULL, NULL),
			     i == 1 ? 503 : 200);
}
