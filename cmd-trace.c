/*
 * The trace command.  It prints the lines about one id from the logs of all
 * entry VMs, ordered by time, together with the lines of the same period about
 * the owner, the store and the workers that they name.
 */
#include "cmd.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Context lines are printed from this long before the first line of the id. */
#define CONTEXT_MS 5000

struct trace_line {
	int64_t wall_ms;
	char *text;  /* starting with "ev=" */
	bool has_id; /* contains the id */
};

struct trace {
	struct trace_line *lines;
	size_t count;
	size_t capacity;
};

/*
 * Returns the value of a field and its length in len, or NULL if the line does
 * not have it.
 */
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

/*
 * Returns true if a line is about the owner, the store or a lost worker, which
 * may concern every job.
 */
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

/* Adds a log line, if it contains the id or is a context line. */
static void trace_add(struct trace *t, const char *line, const char *id)
{
	const char *text = strstr(line, "ev="), *wall;
	size_t len;

	if (!text || !(wall = field_find(text, "wall_ms", &len)))
		return;
	if (!strstr(text, id) && !line_is_context(text))
		return;
	if (t->count == t->capacity) {
		t->capacity = t->capacity ? 2 * t->capacity : 64;
		t->lines = xrealloc(t->lines, t->capacity, sizeof(*t->lines));
	}
	t->lines[t->count++] = (struct trace_line){
		.wall_ms = strtoll(wall, NULL, 10),
		.text = xstrdup(text),
		.has_id = strstr(text, id) != NULL};
}

/*
 * Orders lines by wall-clock time.  Lines of the same time are equal, so that a
 * stable qsort keeps the order of the log.
 */
static int trace_cmp(const void *a, const void *b)
{
	const struct trace_line *x = a, *y = b;

	return (x->wall_ms > y->wall_ms) - (x->wall_ms < y->wall_ms);
}

/*
 * Returns true if a line has no worker field, or names the same worker as a
 * line of the id.
 */
static bool trace_concerns_worker(const struct trace *t, const char *line)
{
	size_t len, n, i;
	const char *worker = field_find(line, "worker", &len), *other;

	if (!worker)
		return true;
	for (i = 0; i < t->count; i++) {
		other = t->lines[i].has_id
				? field_find(t->lines[i].text, "worker", &n)
				: NULL;
		if (other && n == len && strncmp(other, worker, len) == 0)
			return true;
	}
	return false;
}

/*
 * Prints the lines of the id and the context lines of their period.  Returns
 * the number of lines of the id.
 */
static size_t trace_print(const struct trace *t, FILE *out)
{
	int64_t first = INT64_MAX, last = INT64_MIN;
	const struct trace_line *l;
	size_t i, matches = 0;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (!l->has_id)
			continue;
		matches++;
		first = l->wall_ms < first ? l->wall_ms : first;
		last = l->wall_ms > last ? l->wall_ms : last;
	}
	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (!l->has_id &&
		    (l->wall_ms < first - CONTEXT_MS || l->wall_ms > last ||
		     !trace_concerns_worker(t, l->text)))
			continue;
		fprintf(out, "%+8lld ms %c %s", (long long)(l->wall_ms - first),
			l->has_id ? '*' : ' ', l->text);
	}
	return matches;
}

/* Reads a log and prints the trace of an id. */
static int trace_exec(const struct cmd_client *c, const struct command *cmd,
		      union cmd_values *v)
{
	char *id = bstr_cstr(v->trace.id), *path = bstr_cstr(v->trace.file);
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	struct trace t = {0};
	struct error e;
	char *line = NULL;
	size_t capacity = 0, matches = 0, i;

	(void)cmd;
	error_init(&e);
	if (!f)
		error_add(&e, path, "can't be opened: %s", strerror(errno));
	while (f && getline(&line, &capacity, f) > 0)
		trace_add(&t, line, id);
	if (t.count)
		qsort(t.lines, t.count, sizeof(*t.lines), trace_cmp);
	matches = trace_print(&t, c->out);
	if (f && !matches)
		error_add(&e, id, "no log line contains it");
	for (i = 0; i < t.count; i++)
		free(t.lines[i].text);
	free(t.lines);
	free(line);
	free(id);
	free(path);
	if (f && f != stdin)
		fclose(f);
	return findings_exit(c, &e, matches ? CMD_OK : CMD_NOT_FOUND);
}

#define TRACE(field) offsetof(struct cmd_trace, field)

static const struct cmd_field trace_fields[] = {
	{"ID", FIELD_TEXT, true, TRACE(id), NULL},
	{"FILE", FIELD_TEXT, true, TRACE(file), NULL},
	{0}};

const struct command trace_commands[] = {
	{"trace", trace_fields, trace_exec, 0, false,
	 "follow a job's id through logs, \"-\" for standard input"},
	{0}};
