#include <criterion/criterion.h>
#include <libgen.h>
#include <limits.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bamboofront.h"
#include "standin.h"

/* Tests of bamboofrontd as a process. */

#define KEY32 "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define SETTINGS                                                             \
	"{\"vm\": \"e1\", \"dc\": \"east\","                                 \
	" \"callers\": {\"listen\": \"127.0.0.1:0\"},"                       \
	" \"operators\": {\"listen\": \"127.0.0.1:0\","                      \
	"  \"keys\": {\"ann\": \"" KEY32 "\"}},"                             \
	" \"peers\": {\"listen\": \"127.0.0.1:0\", \"key\": \"" KEY32 "\"}," \
	" \"platform\": {\"url\": \"http://127.0.0.1:%u\"}%s}"

static char dir[] = "/tmp/test-daemon-XXXXXX";

struct process {
	pid_t pid;
	FILE *err;
	char *text; /* output on standard error so far */
	size_t len;
};

/* Writes settings with the platform's port; more is added to the object. */
static void settings_write(const char *name, unsigned port, const char *more)
{
	FILE *f = fopen(name, "w");

	cr_assert(f && fprintf(f, SETTINGS, port, more) > 0);
	fclose(f);
}

static void set_up(void)
{
	cr_assert(mkdtemp(dir));
	cr_assert_eq(chdir(dir), 0);
	settings_write("good", 1, "");
	settings_write("bad", 1, ", \"x\": 1, \"timing\": {\"y\": 1}");
}

static void tear_down(void)
{
	static const char *const names[] = {"good", "bad", "ports", "record"};
	size_t i;

	for (i = 0; i < NELEMS(names); i++)
		remove(names[i]);
	rmdir(dir);
}

TestSuite(daemon, .init = set_up, .fini = tear_down);

/* Starts the daemon from the directory of this program. */
static struct process daemon_start(char *const args[])
{
	struct process p = {.text = xstrdup("")};
	char self[PATH_MAX] = "", path[PATH_MAX + 16];
	int fds[2];

	cr_assert(readlink("/proc/self/exe", self, sizeof(self) - 1) > 0);
	cr_assert_eq(pipe(fds), 0);
	snprintf(path, sizeof(path), "%s/bamboofrontd", dirname(self));
	p.pid = fork();
	if (!p.pid) {
		/* a failed test must leave no process behind */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fds[1], STDERR_FILENO);
		close(fds[0]);
		close(fds[1]);
		execv(path, args);
		_exit(127);
	}
	close(fds[1]);
	p.err = fdopen(fds[0], "r");
	return p;
}

/*
 * Reads standard error up to a line with a word, or to the end for NULL.
 * Returns false if there is no such line.
 */
static bool wait_for_line(struct process *p, const char *word)
{
	char line[2048];
	size_t n;

	while (fgets(line, sizeof(line), p->err)) {
		n = strlen(line);
		p->text = xrealloc(p->text, p->len + n + 1, 1);
		memcpy(p->text + p->len, line, n + 1);
		p->len += n;
		if (word && strstr(line, word))
			return true;
	}
	return !word;
}

/* Waits for the daemon; returns its exit status, or -1 after a signal. */
static int daemon_wait(struct process *p)
{
	int status;

	wait_for_line(p, NULL);
	fclose(p->err);
	waitpid(p->pid, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Command lines with which the daemon exits: its status and its messages. */
Test(daemon, ends)
{
	const struct {
		const char *args[5];
		int status;
		const char *messages[2];
	} cases[] = {
		{{"--check", "good"}, 0, {"", ""}},
		{{"--check", "bad"},
		 1,
		 {"bad: $.x: unknown key", "bad: $.timing.y: unknown key"}},
		{{"--settings", "bad"}, 1, {"unknown key", ""}},
		{{"--check", "/no/such/file"}, 1, {"can't be opened", ""}},
		{{"--version"}, 0, {"", ""}},
		{{NULL}, 2, {"Usage", ""}},
		{{"--nonsense"}, 2, {"unknown option", ""}},
		{{"a", "b"}, 2, {"Usage", ""}},
		{{"good", "--record", "good"},
		 1,
		 {"1004 START_FAILED", "can't be recorded to"}},
		{{"good", "--announce", "/no/such/dir/f"},
		 1,
		 {"1004 START_FAILED", "can't be written"}},
	};
	char *argv[7] = {(char *)"bamboofrontd"};
	struct process p;
	size_t i, k;

	for (i = 0; i < NELEMS(cases); i++) {
		memcpy(argv + 1, cases[i].args, sizeof(cases[i].args));
		p = daemon_start(argv);
		cr_expect_eq(daemon_wait(&p), cases[i].status, "case %zu: %s",
			     i, p.text);
		for (k = 0; k < 2; k++)
			cr_expect(strstr(p.text, cases[i].messages[k]),
				  "case %zu: %s", i, p.text);
		free(p.text);
	}
}

/* Starts the daemon, waits until it runs and checks the announced ports. */
static struct process daemon_start_ready(void)
{
	char *argv[] = {(char *)"bamboofrontd",
			(char *)"good",
			(char *)"--announce",
			(char *)"ports",
			(char *)"--record",
			(char *)"record",
			NULL};
	struct process p = daemon_start(argv);
	json_t *j;

	cr_assert(wait_for_line(&p, "1001 STARTED"), "%s", p.text);
	j = json_load_file("ports", 0, NULL);
	cr_expect_eq(json_integer_value(json_object_get(j, "pid")), p.pid);
	cr_expect(json_integer_value(json_object_get(j, "callers")));
	cr_expect(json_integer_value(json_object_get(j, "operators")));
	cr_expect(json_integer_value(json_object_get(j, "peers")));
	json_decref(j);
	return p;
}

/*
 * One signal makes the daemon hand over its units, stop all edges and exit
 * without leaks, also while the platform can't be reached.
 */
Test(daemon, planned_stop)
{
	static const int signals[] = {SIGTERM, SIGINT};
	struct standin platform;
	struct process p;
	size_t i;

	standin_start(&platform, "standin-platform", NULL);
	for (i = 0; i < NELEMS(signals); i++) {
		p = daemon_start_ready();
		cr_assert(!i || wait_for_line(&p, "2003 OWNED"), "%s", p.text);
		kill(p.pid, signals[i]);
		cr_expect_eq(daemon_wait(&p), 0, "%s", p.text);
		cr_expect(strstr(p.text, "1002 STOPPING"));
		cr_expect(strstr(p.text, "1003 STOPPED: all handed over"), "%s",
			  p.text);
		free(p.text);
		remove("record");
		settings_write("good", platform.port, "");
	}
	standin_stop(&platform);
}

/*
 * A second signal during the planned stop makes the daemon exit at once, with a
 * status and a log event that don't claim that its units were handed over.
 * Both signals are sent while it is paused, so that it sees them together,
 * before the platform can have answered a hand-over.
 */
Test(daemon, second_signal)
{
	struct standin platform;
	struct process p;
	int status;

	standin_start(&platform, "standin-platform", NULL);
	settings_write("good", platform.port, "");
	p = daemon_start_ready();
	cr_assert(wait_for_line(&p, "2003 OWNED"), "%s", p.text);
	kill(p.pid, SIGSTOP);
	waitpid(p.pid, &status, WUNTRACED);
	kill(p.pid, SIGTERM);
	kill(p.pid, SIGINT);
	kill(p.pid, SIGCONT);
	cr_expect_eq(daemon_wait(&p), 1, "%s", p.text);
	cr_expect(strstr(p.text, "1006 STOP_FORCED"), "%s", p.text);
	free(p.text);
	standin_stop(&platform);
}
