#include "support-entry.h"

#include "standin.h"

#include <libgen.h>
#include <limits.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <unistd.h>

/* Writes the settings of a process. */
static void settings_write(const struct entry_process *p, const char *path)
{
	const char *ip = p->ip ? p->ip : "127.0.0.1";
	FILE *f = fopen(path, "we");

	if (!f)
		abort();
	fprintf(f,
		"{\"vm\": \"%s\", \"dc\": \"east\", "
		"\"callers\": \"%s:%u\", \"readiness\": \"%s:%u\", "
		"\"store\": \"127.0.0.1:%u\", \"machines\": \"127.0.0.1:%u\", "
		"\"advice\": \"\", \"bounds\": {\"lease_max_ms\": 6000, "
		"\"stop_ms\": 400, \"keep_s\": %u, \"grace_s\": 6}}",
		p->name, ip, p->callers_port, ip, p->readiness_port,
		p->store_port, p->machines_port, p->keep_s ? p->keep_s : 120);
	fclose(f);
}

/*
 * Writes the settings and starts the process; the kernel kills it when its
 * parent ends.
 */
void entry_process_start(struct entry_process *p, const char *dir)
{
	char self[PATH_MAX] = "", *path, *file, *log;

	if (readlink("/proc/self/exe", self, sizeof(self) - 1) < 0)
		abort();
	if (!p->callers_port)
		p->callers_port = port_choose();
	if (!p->readiness_port)
		p->readiness_port = port_choose();
	path = xasprintf("%s/bamboofront-entryd", dirname(self));
	file = xasprintf("%s/%s.json", dir, p->name);
	log = xasprintf("%s/%s-%u.log", dir, p->name, p->start_number);
	settings_write(p, file);
	p->pid = fork();
	if (!p->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (freopen(log, "a", stdout) && freopen(log, "a", stderr))
			execl(path, path, "--settings", file, (char *)NULL);
		_exit(127);
	}
	free(path);
	free(file);
	free(log);
}
