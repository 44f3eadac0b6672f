/*
 * Following one id through the logs of all entry VMs: its own lines in the
 * order of time, with what happened meanwhile to the owner, the store and the
 * workers that they name.
 */
#include "cmd.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Lines about the owner and the store count from so long before the id. */
#define CONTEXT_MS 5000

struct trace_line {
	int64_t wall_ms;
	char *text; /* from "ev=" on */
	bool own;   /* names the id */
};

struct trace {
	struct trace_line *lines;
	size_t count;
	size_t room;
};

/* The value of a field; its length in len, NULL if it is not there. */
static const char *field_find(const char *line, const char *name, size_t *len)
{
	size_t n = strlen(name);
	const char *p = line;

	while ((p = strstr(p, name))) {
		if ((p == line || p[-1] == ' ') && p[n] == '=') {
			*len = strcspn(p + n + 1, " \n");
			return p + n + 1;
		}
		p += n;
	}
	return NULL;
}

/* Is it a line about the owner or the store, which concerns every job? */
static bool line_is_context(const char *line)
{
	static const char *const names[] = {"OWNER_", "STORE_", "SUSPENDED",
					    "WORKER_LOST"};
	size_t len, i;
	const char *name = field_find(line, "name", &len);

	for (i = 0; name && i < NELEMS(names); i++)
		if (strncmp(name, names[i], strlen(names[i])) == 0)
			return true;
	return false;
}

/* Keep a line of a log. */
static void trace_add(struct trace *t, const char *line, const char *id)
{
	const char *text = strstr(line, "ev="), *wall;
	size_t len;

	if (!text || !(wall = field_find(text, "wall_ms", &len)))
		return;
	if (!strstr(text, id) && !line_is_context(text))
		return;
	if (t->count == t->room) {
		t->room = t->room ? 2 * t->room : 64;
		t->lines = xrealloc(t->lines, t->room, sizeof(*t->lines));
	}
	t->lines[t->count++] = (struct trace_line){
		.wall_ms = strtoll(wall, NULL, 10),
		.text = xstrdup(text),
		.own = strstr(text, id) != NULL};
}

/* The order of time; lines of one moment stay in the order they came. */
static int trace_cmp(const void *a, const void *b)
{
	const struct trace_line *x = a, *y = b;

	return (x->wall_ms > y->wall_ms) - (x->wall_ms < y->wall_ms);
}

/* Does a line speak of a worker that a line of the id names? */
static bool trace_names_worker(const struct trace *t, const char *line)
{
	size_t len, n, i;
	const char *worker = field_find(line, "worker", &len), *own;

	if (!worker)
		return true;
	for (i = 0; i < t->count; i++) {
		own = t->lines[i].own
			      ? field_find(t->lines[i].text, "worker", &n)
			      : NULL;
		if (own && n == len && strncmp(own, worker, len) == 0)
			return true;
	}
	return false;
}

/* Print the id's lines and what lies between them; their number. */
static size_t trace_print(const struct trace *t, FILE *out)
{
	int64_t first = INT64_MAX, last = INT64_MIN;
	const struct trace_line *l;
	size_t i, own = 0;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (!l->own)
			continue;
		own++;
		first = l->wall_ms < first ? l->wall_ms : first;
		last = l->wall_ms > last ? l->wall_ms : last;
	}
	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (!l->own &&
		    (l->wall_ms < first - CONTEXT_MS || l->wall_ms > last ||
		     !trace_names_worker(t, l->text)))
			continue;
		fprintf(out, "%+8lld ms %c %s", (long long)(l->wall_ms - first),
			l->own ? '*' : ' ', l->text);
	}
	return own;
}

/* Read a log and print what it tells of an id. */
static int trace_exec(const struct cmd_client *c, const struct command *cmd,
		      union cmd_values *v)
{
	char *id = bstr_cstr(v->job.job), *path = bstr_cstr(v->job.label);
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	struct trace t = {0};
	struct error e;
	char *line = NULL;
	size_t room = 0, own = 0, i;

	(void)cmd;
	error_init(&e);
	if (!f)
		error_add(&e, path, "can't be opened: %s", strerror(errno));
	while (f && getline(&line, &room, f) > 0)
		trace_add(&t, line, id);
	if (t.count)
		qsort(t.lines, t.count, sizeof(*t.lines), trace_cmp);
	own = trace_print(&t, c->out);
	if (f && !own)
		error_add(&e, id, "no line names it");
	for (i = 0; i < t.count; i++)
		free(t.lines[i].text);
	free(t.lines);
	free(line);
	free(id);
	free(path);
	if (f && f != stdin)
		fclose(f);
	return findings_exit(c, &e, own ? CMD_OK : CMD_NOT_FOUND);
}

#define TRACE(field) offsetof(struct cmd_job, field)

static const struct cmd_field trace_fields[] = {
	{"ID", FIELD_TEXT, true, TRACE(job), NULL},
	{"FILE", FIELD_TEXT, true, TRACE(label), NULL},
	{0}};

const struct command trace_commands[] = {
	{"trace", trace_fields, trace_exec, 0, false,
	 "follow a job's id through logs, \"-\" for standard input"},
	{0}};
