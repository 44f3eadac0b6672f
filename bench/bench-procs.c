/*
 * Measures what processes use over a period: processor time and memory from
 * /proc, and the traffic of their TCP sockets from the kernel's counters of
 * each socket, by sock_diag.  The counters of a network interface wouldn't do:
 * on a shared machine they include the traffic of all other processes.
 */
#include "../bamboofront.h"

#include <curl/curl.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <uthash.h>

#define HEADER_BYTES 52 /* IPv4 and TCP with time stamps, per segment */
/* Listening sockets carry no traffic. */
#define EXCLUDED_STATES ((1U << 10) | 1U)

/* A socket of a measured process. */
struct sock {
	uint64_t inode;
	struct proc *proc;
	uint64_t in, out, packets; /* totals in the last sample */
	bool seen;		   /* in any sample */
	UT_hash_handle hh;
};
/* A measured process. */
struct proc {
	char *name;
	int pid;
	double cpu_s; /* at the start of the period */
	long rss_kb, peak_kb;
	uint64_t in, out, packets; /* during the period */
	unsigned sockets;
	bool gone;
};

static struct sock *socks;
static struct proc *procs;
static size_t proc_count;
static double seconds = 10, interval_s = 0.5;
static char *platform_url, *list_file;
static int as_json;

/* Returns a process's total processor time in s, or -1 if it is gone. */
static double proc_cpu(const struct proc *p)
{
	char *path = xasprintf("/proc/%d/stat", p->pid), line[1024], *s = NULL;
	unsigned long user = 0, sys = 0;
	FILE *f = fopen(path, "r");

	free(path);
	if (f && fgets(line, sizeof(line), f))
		s = strrchr(line, ')');
	if (f)
		fclose(f);
	if (!s || sscanf(s + 1,
			 " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
			 &user, &sys) != 2)
		return -1;
	return (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
}

/* Reads the current and the peak resident memory of a process. */
static void proc_memory(struct proc *p)
{
	char *path = xasprintf("/proc/%d/status", p->pid), line[256];
	FILE *f = fopen(path, "r");

	free(path);
	while (f && fgets(line, sizeof(line), f)) {
		sscanf(line, "VmRSS: %ld", &p->rss_kb);
		sscanf(line, "VmHWM: %ld", &p->peak_kb);
	}
	if (f)
		fclose(f);
}

/* Adds the open sockets of a process to the table. */
static void proc_add_sockets(struct proc *p)
{
	char *path = xasprintf("/proc/%d/fd", p->pid), target[64];
	DIR *d = opendir(path);
	struct dirent *e;
	struct sock *s;
	uint64_t inode;
	ssize_t n;

	free(path);
	while (d && (e = readdir(d))) {
		n = readlinkat(dirfd(d), e->d_name, target, sizeof(target) - 1);
		if (n <= 0)
			continue;
		target[n] = '\0';
		if (sscanf(target, "socket:[%ju]", (uintmax_t *)&inode) != 1)
			continue;
		HASH_FIND(hh, socks, &inode, sizeof(inode), s);
		if (s)
			continue;
		s = xcalloc(1, sizeof(*s));
		s->inode = inode;
		s->proc = p;
		HASH_ADD(hh, socks, inode, sizeof(s->inode), s);
	}
	if (d)
		closedir(d);
}

/*
 * Updates a socket from the kernel's counters.  In the first sample, the totals
 * are traffic from before the period and aren't counted; a socket that appears
 * later was opened during the period, so all of its traffic counts.
 */
static void sock_update(const struct inet_diag_msg *m, size_t len, bool first)
{
	const struct rtattr *a = (const void *)(m + 1);
	int left = (int)(len - sizeof(*m));
	uint64_t inode = m->idiag_inode;
	struct tcp_info ti = {0};
	struct sock *s;
	size_t n;

	HASH_FIND(hh, socks, &inode, sizeof(inode), s);
	if (!s)
		return;
	for (; RTA_OK(a, left); a = RTA_NEXT(a, left)) {
		if (a->rta_type != INET_DIAG_INFO)
			continue;
		n = RTA_PAYLOAD(a);
		memcpy(&ti, RTA_DATA(a), n < sizeof(ti) ? n : sizeof(ti));
	}
	if (!first) {
		s->proc->in += ti.tcpi_bytes_received - s->in;
		s->proc->out += ti.tcpi_bytes_acked - s->out;
		s->proc->packets += ti.tcpi_segs_in + ti.tcpi_segs_out -
				    s->packets;
		s->proc->sockets += !s->seen;
	}
	s->seen = true;
	s->in = ti.tcpi_bytes_received;
	s->out = ti.tcpi_bytes_acked;
	s->packets = (uint64_t)ti.tcpi_segs_in + ti.tcpi_segs_out;
}

/*
 * Takes a sample of all TCP sockets over IPv4 of this machine; returns false if
 * the kernel doesn't answer.
 */
static bool socks_sample(bool first)
{
	struct {
		struct nlmsghdr h;
		struct inet_diag_req_v2 r;
	} q = {.h = {.nlmsg_len = sizeof(q),
		     .nlmsg_type = SOCK_DIAG_BY_FAMILY,
		     .nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP},
	       .r = {.sdiag_family = AF_INET,
		     .sdiag_protocol = IPPROTO_TCP,
		     .idiag_ext = 1 << (INET_DIAG_INFO - 1),
		     .idiag_states = ~EXCLUDED_STATES}};
	static char buf[65536] __attribute__((aligned(8)));
	int fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	const struct nlmsghdr *h;
	bool done = false, ok = false;
	ssize_t n;
	size_t i;

	for (i = 0; i < proc_count; i++)
		proc_add_sockets(&procs[i]);
	if (fd < 0 || send(fd, &q, sizeof(q), 0) < 0)
		done = true;
	while (!done && (n = recv(fd, buf, sizeof(buf), 0)) > 0) {
		for (h = (const void *)buf; NLMSG_OK(h, (size_t)n);
		     h = NLMSG_NEXT(h, n)) {
			done = done || h->nlmsg_type == NLMSG_DONE ||
			       h->nlmsg_type == NLMSG_ERROR;
			ok = ok || h->nlmsg_type == NLMSG_DONE;
			if (!done)
				sock_update(NLMSG_DATA(h),
					    h->nlmsg_len - NLMSG_HDRLEN, first);
		}
	}
	if (fd >= 0)
		close(fd);
	return ok;
}

/* Appends received data to an answer; called by libcurl. */
static size_t answer_receive(char *p, size_t size, size_t n, void *arg)
{
	bstr *b = arg;

	b->bstr_val = xrealloc(b->bstr_val, b->bstr_len + size * n, 1);
	memcpy(b->bstr_val + b->bstr_len, p, size * n);
	b->bstr_len += (u_int)(size * n);
	return size * n;
}

/* Returns the request counters of the platform stand-in. */
static json_t *platform_stats(void)
{
	CURL *c = platform_url ? curl_easy_init() : NULL;
	bstr text = BSTR_NONE;
	json_t *j;
	char *url;

	if (!c)
		return json_object();
	url = xasprintf("%s/control/stats", platform_url);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_TIMEOUT, 5L);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, answer_receive);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &text);
	curl_easy_perform(c);
	j = json_loadb(text.bstr_val ? text.bstr_val : "", text.bstr_len, 0,
		       NULL);
	free(url);
	bstr_free(&text);
	curl_easy_cleanup(c);
	return j ? j : json_object();
}

/* Sends the list of VMs to the platform stand-in. */
static bool vm_list_send(void)
{
	json_t *list = json_load_file(list_file, 0, NULL);
	char *text = json_dumps(list, JSON_COMPACT);
	char *url = xasprintf("%s/control/vms", platform_url);
	CURL *c = curl_easy_init();
	bstr answer = BSTR_NONE;
	bool ok = text && c;

	if (ok) {
		curl_easy_setopt(c, CURLOPT_URL, url);
		curl_easy_setopt(c, CURLOPT_FAILONERROR, 1L);
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, text);
		curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, answer_receive);
		curl_easy_setopt(c, CURLOPT_WRITEDATA, &answer);
		ok = !curl_easy_perform(c);
	}
	curl_easy_cleanup(c);
	bstr_free(&answer);
	free(url);
	free(text);
	json_decref(list);
	return ok;
}

/* Returns the increase of each counter. */
static json_t *stats_difference(const json_t *a, json_t *b)
{
	json_t *out = json_object(), *value;
	const char *name;

	json_object_foreach(b, name, value)
		json_object_set_new(
			out, name,
			json_integer(
				json_integer_value(value) -
				json_integer_value(json_object_get(a, name))));
	return out;
}

/* Returns the monotonic clock in s. */
static double clock_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Returns a process's figures as JSON; prints them as a row of the table. */
static json_t *proc_report(struct proc *p, double period_s)
{
	double cpu = proc_cpu(p), percent = 100 * (cpu - p->cpu_s) / period_s;
	double bytes = (double)(p->in + p->out) / period_s;
	double wire = bytes + (double)p->packets * HEADER_BYTES / period_s;

	p->gone = cpu < 0 || p->cpu_s < 0;
	proc_memory(p);
	if (!as_json)
		printf("%-12s %8.2f %8.1f %8.1f %10.2f %10.2f %10.2f %8u%s\n",
		       p->name, percent, (double)p->rss_kb / 1024,
		       (double)p->peak_kb / 1024,
		       (double)p->in / period_s / 1000,
		       (double)p->out / period_s / 1000, wire / 1000,
		       p->sockets, p->gone ? " gone" : "");
	return json_pack(
		"{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:b}", "name", p->name,
		"cpu_percent", percent, "rss_mb", (double)p->rss_kb / 1024,
		"peak_mb", (double)p->peak_kb / 1024, "in_kb_s",
		(double)p->in / period_s / 1000, "out_kb_s",
		(double)p->out / period_s / 1000, "wire_kb_s", wire / 1000,
		"sockets", (int)p->sockets, "gone", p->gone);
}

/* Adds a process given as NAME=PID or PID; returns false if it is invalid. */
static bool proc_add(const char *text)
{
	const char *eq = strchr(text, '=');
	struct proc *p;

	procs = xrealloc(procs, proc_count + 1, sizeof(*procs));
	p = &procs[proc_count++];
	memset(p, 0, sizeof(*p));
	p->name = xstrdup(text);
	p->name[strcspn(p->name, "=")] = '\0';
	p->pid = (int)strtol(eq ? eq + 1 : text, NULL, 10);
	return p->pid > 0;
}

/* Takes samples until the period is over; returns its actual length in s. */
static double measure(void)
{
	double start = clock_s();
	bool ok = socks_sample(true);
	size_t i;

	for (i = 0; i < proc_count; i++)
		procs[i].cpu_s = proc_cpu(&procs[i]);
	while (clock_s() - start < seconds) {
		usleep((useconds_t)(interval_s * 1e6));
		ok = socks_sample(false) && ok;
	}
	if (!ok)
		fprintf(stderr, "sock_diag requests failed: bytes unknown\n");
	return clock_s() - start;
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{"seconds", 0, POPT_ARG_DOUBLE, &seconds, 0,
		 "length of the period, default 10", "S"},
		{"step-s", 0, POPT_ARG_DOUBLE, &interval_s, 0,
		 "time between samples, default 0.5; a socket that lives for less "
		 "is missed",
		 "S"},
		{"platform", 0, POPT_ARG_STRING, &platform_url, 0,
		 "platform stand-in, for its counters", "URL"},
		{"list", 0, POPT_ARG_STRING, &list_file, 0,
		 "only send this list of VMs to the platform stand-in", "FILE"},
		{"json", 'j', POPT_ARG_NONE, &as_json, 0, "print JSON", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
	json_t *before, *after, *list = json_array(), *result, *value;
	bool ok = poptGetNextOpt(pc) == -1;
	const char *arg, *name;
	double period_s;
	size_t i;

	poptSetOtherOptionHelp(pc, "NAME=PID...");
	while (ok && (arg = poptGetArg(pc)))
		ok = proc_add(arg);
	poptFreeContext(pc);
	if (ok && list_file && platform_url)
		return vm_list_send() ? 0 : 1;
	if (!ok || !proc_count) {
		fprintf(stderr, "see bench-procs --help\n");
		return 2;
	}
	before = platform_stats();
	period_s = measure();
	after = platform_stats();
	if (!as_json)
		printf("%-12s %8s %8s %8s %10s %10s %10s %8s\n", "process",
		       "cpu %", "rss MB", "peak MB", "in KB/s", "out KB/s",
		       "wire KB/s", "sockets");
	for (i = 0; i < proc_count; i++)
		json_array_append_new(list, proc_report(&procs[i], period_s));
	result = json_pack("{s:f,s:o,s:o}", "seconds", period_s, "processes",
			   list, "platform", stats_difference(before, after));
	if (as_json) {
		json_dumpf(result, stdout,
			   JSON_INDENT(1) | JSON_REAL_PRECISION(6));
		putchar('\n');
	} else {
		json_object_foreach(json_object_get(result, "platform"), name,
				    value)
			printf("platform %s: %.2f/s\n", name,
			       (double)json_integer_value(value) / period_s);
	}
	json_decref(before);
	json_decref(after);
	json_decref(result);
	return 0;
}
