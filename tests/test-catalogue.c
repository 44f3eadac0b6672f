#include <criterion/criterion.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

/*
 * The catalogues in docs/ hold what the code does: each entry has its row,
 * in the code's order, and there is no row beside.  A row may go on after
 * what is checked, with what to do about it.
 */
struct doc {
	const char *path;
	FILE *file;
	char *line;
	size_t room;
};

/* Open a page; tests run at the root of the project. */
static struct doc doc_open(const char *path)
{
	struct doc d = {.path = path, .file = fopen(path, "r")};

	cr_assert(d.file, "%s can't be opened", path);
	return d;
}

/* The next row of a table: "| `name`" or "| number"; NULL at the end. */
static const char *doc_row(struct doc *d)
{
	while (getline(&d->line, &d->room, d->file) >= 0)
		if (d->line[0] == '|' &&
		    (d->line[2] == '`' || isdigit((unsigned char)d->line[2])))
			return d->line;
	return NULL;
}

/* The next row must begin so. */
static void doc_expect(struct doc *d, const char *fmt, ...) PRINTF_LIKE(2, 3);
static void doc_expect(struct doc *d, const char *fmt, ...)
{
	const char *row = doc_row(d);
	va_list ap;
	char *want;

	va_start(ap, fmt);
	cr_assert(vasprintf(&want, fmt, ap) >= 0);
	va_end(ap);
	cr_expect(row && !strncmp(row, want, strlen(want)),
		  "%s: expected %s, is %s", d->path, want,
		  row ? row : "the end");
	free(want);
}

/* There must be no further row. */
static void doc_close(struct doc *d)
{
	const char *row = doc_row(d);

	cr_expect_not(row, "%s: unexpected %s", d->path, row);
	fclose(d->file);
	free(d->line);
}

Test(catalogue, events)
{
	struct doc d = doc_open("docs/EVENTS.md");
	size_t i;

	for (i = 0; i < log_entry_count; i++)
		doc_expect(&d, "| %" PRIu32 " | `%s` | %s | %s |",
			   log_entries[i].number, log_entries[i].name,
			   settings_level_name(log_entries[i].level),
			   log_entries[i].description);
	doc_close(&d);
}

Test(catalogue, counters)
{
	struct doc d = doc_open("docs/COUNTERS.md");
	const struct counter_entry *c;
	int i;

	for (i = 0; i < COUNTER_MAX; i++) {
		c = &counter_entries[i];
		if (c->label)
			doc_expect(&d, "| `%s{%s=\"%s\"}` | %s |", c->family,
				   c->label, c->value, c->help);
		else
			doc_expect(&d, "| `%s` | %s |", c->family, c->help);
	}
	doc_close(&d);
}

Test(catalogue, mechanisms)
{
	static const struct {
		const char *word;
		const char *text;
	} rows[] = {
#define POLICY(name, word, text) {word, text},
#include "../policy.def"
#undef POLICY
	};
	struct doc d = doc_open("docs/POLICY.md");
	size_t i;

	for (i = 0; i < NELEMS(rows); i++)
		doc_expect(&d, "| `%s` | %s |", rows[i].word, rows[i].text);
	doc_close(&d);
}

Test(catalogue, settings)
{
	struct doc d = doc_open("docs/SETTINGS.md");
	const struct setting *t;
	size_t i;

	for (i = 0; i < settings_count; i++) {
		t = &settings_table[i];
		if (t->type == SETTING_U32)
			doc_expect(&d,
				   "| `%s` | %s | %" PRIu64 " | %" PRIu64
				   " to %" PRIu64 " |",
				   t->path, t->unit, t->default_value, t->min,
				   t->max);
		else if (t->type == SETTING_LEVEL)
			doc_expect(&d, "| `%s` | level | %s |", t->path,
				   settings_level_name(t->default_value));
		else
			doc_expect(&d, "| `%s` |", t->path);
		cr_expect_eq(t->required, d.line && strstr(d.line, "required"),
			     "%s", t->path);
	}
	doc_close(&d);
}
