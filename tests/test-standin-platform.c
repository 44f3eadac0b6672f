#include "standin.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define COMMIT "POST", "/v1/table/commit"
#define READ "POST", "/v1/table/read"
#define SCAN "POST", "/v1/table/scan"
#define FAULT "POST", "/control/fault"
#define STATS "GET", "/control/stats", NULL
#define DUMP "GET", "/control/table", NULL
#define RUN(...) cr_expect_eq(HTTP_STEPS(platform.port, __VA_ARGS__), 0)

static struct standin platform;

/* Starts the platform with up to four arguments. */
static void start(const char *a, const char *b, const char *c, const char *d)
{
	const char *const args[] = {a, b, c, d, NULL};

	standin_start(&platform, "standin-platform", args);
}

static void stop(void)
{
	standin_stop(&platform);
}

/*
 * Transactions, versions that are never reused, idempotent transaction IDs, and
 * pages of a scan.
 */
Test(standin_platform, keeps_the_contract, .fini = stop)
{
	start(NULL, NULL, NULL, NULL);
	RUN(
		/* Version 0 in a check: the row must not exist. */
		{COMMIT,
		 "{'txid':'1','checks':[{'key':'a','version':0}],"
		 "'writes':[{'key':'a','value':'<x>'}]}",
		 200, "{'rows':[{'key':'a','version':1}]}"},
		{COMMIT,
		 "{'txid':'2','checks':[{'key':'a','version':0}],"
		 "'writes':[{'key':'b','value':'<y>'}]}",
		 409, "{'rows':[{'key':'a','version':1,'value':'<x>'}]}"},
		/*
		 * One check fails: nothing is written, and only the row of that
		 * check is returned.
		 */
		{COMMIT,
		 "{'txid':'3','checks':[{'key':'a','version':1},"
		 "{'key':'b','version':9}],'writes':[{'key':'a','value':''}]}",
		 409, "{'rows':[{'key':'b','version':0}]}"},
		{READ, "{'keys':['b','a']}", 200,
		 "{'rows':[{'key':'b','version':0},"
		 "{'key':'a','version':1,'value':'<x>'}]}"},
		/*
		 * A transaction that conflicted wasn't committed, so its ID can
		 * be used again.
		 */
		{COMMIT, "{'txid':'2','writes':[{'key':'b','value':'<y>'}]}",
		 200, "{'key':'b','version':2}"},
		{COMMIT, "{'txid':'2','writes':[{'key':'b','value':'<z>'}]}",
		 200, "{'key':'b','version':2}"},
		{READ, "{'keys':['b']}", 200, "'value':'<y>'"},
		{STATS, 200, "'replays':1"},
		/*
		 * A row that is removed and written again gets a new version.
		 */
		{COMMIT, "{'txid':'4','writes':[{'key':'a','remove':true}]}",
		 200, "{'key':'a','version':0}"},
		{READ, "{'keys':['a']}", 200, "[{'key':'a','version':0}]"},
		{COMMIT,
		 "{'txid':'5','checks':[{'key':'a','version':0}],"
		 "'writes':[{'key':'a','value':'<x>'}]}",
		 200, "{'key':'a','version':3}"},
		{COMMIT,
		 "{'txid':'6','writes':[{'key':'p/2','value':''},"
		 "{'key':'p/1','value':''},{'key':'p/3','value':''},"
		 "{'key':'p0','value':''}]}",
		 200, "rows"},
		{SCAN, "{'prefix':'p/','limit':2}", 200,
		 "{'rows':[{'key':'p/1','version':5,'value':''},"
		 "{'key':'p/2','version':4,'value':''}],'more':true}"},
		{SCAN, "{'prefix':'p/','after':'p/2','limit':2}", 200,
		 "{'rows':[{'key':'p/3','version':6,'value':''}],"
		 "'more':false}"},
		{SCAN, "{'prefix':'q','limit':2}", 200,
		 "{'rows':[],'more':false}"},
		{SCAN, "{'prefix':'p','after':'a','limit':9}", 200, "p0"},
		{"PUT", "/v1/objects/o", "bytes", 201},
		{"PUT", "/v1/objects/o", "bytes", 200},
		{"PUT", "/v1/objects/o", "other", 409},
		{"GET", "/v1/objects/o", NULL, 200, "\r\n\r\nbytes"},
		{"GET", "/v1/objects/p", NULL, 404},
		{STATS, 200,
		 "'commits':5,'rows_written':8,'rows_read':14,'conflicts':2,"
		 "'refusals':0"});
}

Test(standin_platform, refuses_what_is_malformed, .fini = stop)
{
	start(NULL, NULL, NULL, NULL);
	RUN({COMMIT, "", 400}, {COMMIT, "{", 400}, {COMMIT, "[]", 400},
	    {COMMIT, "{'txid':'1'}", 400},
	    {COMMIT, "{'txid':'','writes':[]}", 400},
	    {COMMIT, "{'txid':1,'writes':[]}", 400},
	    {COMMIT, "{'txid':'1','writes':{}}", 400},
	    {COMMIT, "{'txid':'1','writes':[{'key':''}]}", 400},
	    {COMMIT, "{'txid':'1','writes':[{'key':'a'}]}", 400},
	    {COMMIT, "{'txid':'1','writes':[{'key':'a','value':'?'}]}", 400},
	    {COMMIT,
	     "{'txid':'1','writes':[{'key':'a','value':''},"
	     "{'key':'a','remove':true}]}",
	     400},
	    {COMMIT, "{'txid':'1','checks':[{'key':'a'}],'writes':[]}", 400},
	    {READ, "{'keys':[]}", 400}, {READ, "{'keys':['a',1]}", 400},
	    {SCAN, "{'prefix':'a'}", 400},
	    {SCAN, "{'prefix':'a','limit':0}", 400}, {SCAN, "{'limit':1}", 400},
	    {"PUT", "/v1/objects/", "x", 400},
	    {"GET", "/v1/table/read", NULL, 405}, {"GET", "/v2", NULL, 404},
	    {FAULT, "{'mode':'odd'}", 400}, {DUMP, 200, "{'rows':[]}"});
}

/*
 * Over the limit the caller gets 429 with Retry-After, and nothing is done.  A
 * bucket holds the tokens of one second.  A larger request passes when the
 * bucket is full and leaves it negative, here for a minute, so no later step
 * can find it refilled.
 */
Test(standin_platform, limits_writes_and_reads, .fini = stop)
{
	char commit[4096] = "{'txid':'1','writes':[", keys[1024] = "";
	size_t n = strlen(commit), m = 0;
	int i;

	for (i = 0; i < 60; i++) {
		n += (size_t)sprintf(commit + n, "{'key':'%d','value':''}%s", i,
				     i < 59 ? "," : "]}");
		m += (size_t)sprintf(keys + m, "%s'%d'%s",
				     i ? "," : "{'keys':[", i + 30,
				     i < 59 ? "" : "]}");
	}
	start("--writes-per-s", "1", "--reads-per-s", "1");
	RUN({COMMIT, commit, 200},
	    {COMMIT, "{'txid':'2','writes':[{'key':'d','value':''}]}", 429,
	     "\r\nRetry-After: "},
	    {"PUT", "/v1/objects/o", "x", 429, "\r\nRetry-After: "},
	    /* Reads have their own bucket; a missing row counts as well. */
	    {READ, keys, 200},
	    {READ, "{'keys':['a']}", 429, "\r\nRetry-After: "},
	    {SCAN, "{'prefix':'none','limit':1}", 429, "\r\nRetry-After: "},
	    {"GET", "/v1/objects/o", NULL, 429}, {"GET", "/v1/vms", NULL, 200},
	    {STATS, 200, "'rows_written':60,'rows_read':60"},
	    {STATS, 200, "'refusals':5,"}, {STATS, 200, "'rows':60}"});
}

/*
 * The response to a commit under each fault, and whether it took effect.
 * "lose" and "truncate" act after the commit: the same transaction ID again
 * must find it done and write nothing.
 */
Test(standin_platform, fails_as_told, .fini = stop)
{
	static const struct {
		const char *fault;
		int status;
		bool effect;
	} cases[] = {
		{"{'mode':'none'}", 200, true},
		{"{'mode':'refuse'}", 503, false},
		{"{'mode':'slow','ms':1}", 200, true},
		{"{'mode':'lose'}", 0, true},
		{"{'mode':'truncate'}", 0, true},
		{"{'mode':'garbage'}", 200, true},
		{"{'mode':'lose','ops':['read']}", 200, true},
		{"{'mode':'lose','ops':['commit']}", 0, true},
		{"{'mode':'lose','from':['127.0.0.2']}", 200, true},
		{"{'mode':'refuse','from':['127.0.0.1']}", 503, false},
		{"{'mode':'refuse','share':0}", 200, true},
		{"[{'mode':'refuse','ops':['read']},{'mode':'lose'}]", 0, true},
	};
	size_t i, replays = 0;
	char *body, *want;

	start(NULL, NULL, NULL, NULL);
	for (i = 0; i < NELEMS(cases); i++) {
		body = xasprintf("{'txid':'t%zu','writes':[{'key':'k%zu',"
				 "'value':''}]}",
				 i, i);
		replays += cases[i].effect;
		want = xasprintf("'replays':%zu,", replays);
		RUN({FAULT, cases[i].fault, 200},
		    {COMMIT, body, cases[i].status},
		    {FAULT, "{'mode':'none'}", 200}, {COMMIT, body, 200},
		    {STATS, 200, want});
		free(body);
		free(want);
	}
}

/*
 * A caller gets no answer from a platform that is down, and the connection is
 * closed when the fault ends.  Callers from other addresses are served
 * meanwhile.  The commits are never applied.
 */
Test(standin_platform, is_down_for_some, .fini = stop)
{
	char *body = http_expand(
		"{'txid':'1','writes':[{'key':'a','value':''}]}");
	char *text;
	int fds[40];
	size_t i;

	start(NULL, NULL, NULL, NULL);
	RUN({FAULT, "{'mode':'down','from':['127.0.0.2']}", 200});
	for (i = 0; i < NELEMS(fds); i++) {
		fds[i] = http_connect(platform.port, "127.0.0.2");
		cr_assert(http_send(fds[i], COMMIT, body));
	}
	RUN({COMMIT, "{'txid':'2','writes':[]}", 200},
	    {READ, "{'keys':['a']}", 200, "'version':0"},
	    {STATS, 200, "'commits':1"});
	for (i = 0; i < NELEMS(fds); i++)
		cr_expect(http_silent(fds[i]));
	RUN({FAULT, "{'mode':'none'}", 200}, {DUMP, 200, "{'rows':[]}"});
	for (i = 0; i < NELEMS(fds); i++) {
		cr_expect_eq(http_recv(fds[i], &text), 0);
		close(fds[i]);
	}
	free(body);
}

/* A share of the requests fails; the seed is fixed. */
Test(standin_platform, fails_a_share, .fini = stop)
{
	int i, refused = 0;

	start(NULL, NULL, NULL, NULL);
	RUN({FAULT, "{'mode':'refuse','share':0.5}", 200});
	for (i = 0; i < 200; i++)
		refused += http_call(platform.port, "GET", "/v1/vms", NULL,
				     NULL) == 503;
	cr_expect(refused > 60 && refused < 140, "%d", refused);
}

/* The VM list shows a change only after its lag. */
Test(standin_platform, lists_vms_late, .fini = stop)
{
	static const struct http_step shown = {"GET", "/v1/vms", NULL, 200,
					       "{'vms':[{'vm':'v1'}]}"};

	start("--list-lag-ms", "3600000", NULL, NULL);
	RUN({"POST", "/control/vms", "[{'vm':'v1'}]", 200},
	    {"GET", "/v1/vms", NULL, 200, "{'vms':[]}"});
	standin_stop(&platform);
	start("--list-lag-ms", "1", NULL, NULL);
	RUN({"POST", "/control/vms", "[{'vm':'v1'}]", 200});
	while (!http_step(platform.port, &shown, false))
		continue;
}

/*
 * A reboot names the boot that is to end.  The worker restarts once; the same
 * request again, as after a lost answer, finds another boot and does nothing.
 * A VM that isn't listed, or has no worker, is answered with 404.
 */
Test(standin_platform, reboots_a_boot_once, .fini = stop)
{
	const char *const args[] = {"--prefix", "v1", NULL};
	char *list, *reboot;
	struct standin worker;
	json_t *report;
	bstr boot;

	start("--list-lag-ms", "3600000", NULL, NULL);
	standin_start(&worker, "standin-worker", args);
	list = xasprintf("[{'vm':'v1','address':'127.0.0.1:%u'},{'vm':'v2'}]",
			 worker.workers[0].port);
	cr_assert_eq(http_call(worker.workers[0].port, "POST", "/v1/watch",
			       "{\"pool\":\"p\",\"dc\":\"d\",\"epoch\":1,"
			       "\"lease_ms\":1000,\"since\":0,\"wait_ms\":0}",
			       &report),
		     200);
	boot = json_ref(report, "boot");
	reboot = xasprintf("{'boot':'%.*s'}", BSTR_ARG(boot));
	RUN({"POST", "/control/vms", list, 200},
	    {"POST", "/v1/vms/v1/reboot", "{}", 400},
	    {"POST", "/v1/vms/v1/reboot", "{'boot':'x'}", 409},
	    {"POST", "/v1/vms/v1/reboot", reboot, 202},
	    {"POST", "/v1/vms/v1/reboot", reboot, 409},
	    {"POST", "/v1/vms/v2/reboot", reboot, 404},
	    {"POST", "/v1/vms/v3/reboot", reboot, 404},
	    {"POST", "/v1/vms/v1/halt", reboot, 404},
	    {STATS, 200, "'reboots':1"});
	json_decref(report);
	free(list);
	free(reboot);
	standin_stop(&worker);
}

Test(standin_platform, wants_its_token, .fini = stop)
{
	start("--token", "t", NULL, NULL);
	RUN({"GET", "/v1/vms", NULL, 401},
	    {"GET", "/v1/vms HTTP/1.1\r\nAuthorization: Bearer t2\r\nX:", NULL,
	     401},
	    {"GET", "/v1/vms HTTP/1.1\r\nAuthorization: Bearer t\r\nX:", NULL,
	     200},
	    {STATS, 200});
}
