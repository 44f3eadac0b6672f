#include <criterion/criterion.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

/*
 * The catalogue pages in docs/ must list the same entries as the code, in the
 * same order, one row each and no other rows.  A row may have further columns
 * after those that are checked, for example what to do about an event.
 */
struct page {
	const char *path;
	FILE *file;
	char *line;
	size_t size;
};

/* Opens a page; tests run at the root of the project. */
static struct page page_open(const char *path)
{
	struct page d = {.path = path, .file = fopen(path, "r")};

	cr_assert(d.file, "%s can't be opened", path);
	return d;
}

/* Returns the next row: "| `name`" or "| number"; NULL at the end. */
static const char *page_next_row(struct page *d)
{
	while (getline(&d->line, &d->size, d->file) >= 0)
		if (d->line[0] == '|' &&
		    (d->line[2] == '`' || isdigit((unsigned char)d->line[2])))
			return d->line;
	return NULL;
}

/* Checks that the next row begins with a text. */
static void page_expect_row(struct page *d, const char *fmt, ...)
	PRINTF_LIKE(2, 3);
static void page_expect_row(struct page *d, const char *fmt, ...)
{
	const char *row = page_next_row(d);
	va_list ap;
	char *want;

	va_start(ap, fmt);
	cr_assert(vasprintf(&want, fmt, ap) >= 0);
	va_end(ap);
	cr_expect(row && !strncmp(row, want, strlen(want)),
		  "%s: expected %s, got %s", d->path, want,
		  row ? row : "the end");
	free(want);
}

/* Checks that there are no more rows and closes the page. */
static void page_close(struct page *d)
{
	const char *row = page_next_row(d);

	cr_expect_not(row, "%s: unexpected %s", d->path, row);
	fclose(d->file);
	free(d->line);
}

Test(catalogue, events)
{
	struct page d = page_open("docs/EVENTS.md");
	size_t i;

	for (i = 0; i < log_event_def_count; i++)
		page_expect_row(&d, "| %" PRIu32 " | `%s` | %s | %s |",
				log_event_defs[i].number,
				log_event_defs[i].name,
				settings_level_name(log_event_defs[i].level),
				log_event_defs[i].description);
	page_close(&d);
}

Test(catalogue, counters)
{
	struct page d = page_open("docs/COUNTERS.md");
	const struct counter_entry *c;
	int i;

	for (i = 0; i < COUNTER_MAX; i++) {
		c = &counter_entries[i];
		if (c->label)
			page_expect_row(&d, "| `%s{%s=\"%s\"}` | %s |",
					c->family, c->label, c->value, c->help);
		else
			page_expect_row(&d, "| `%s` | %s |", c->family,
					c->help);
	}
	page_close(&d);
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
	struct page d = page_open("docs/POLICY.md");
	size_t i;

	for (i = 0; i < NELEMS(rows); i++)
		page_expect_row(&d, "| `%s` | %s |", rows[i].word,
				rows[i].text);
	page_close(&d);
}

Test(catalogue, settings)
{
	struct page d = page_open("docs/SETTINGS.md");
	const struct setting *t;
	size_t i;

	for (i = 0; i < settings_count; i++) {
		t = &settings_table[i];
		if (t->type == SETTING_U32)
			page_expect_row(&d,
					"| `%s` | %s | %" PRIu64 " | %" PRIu64
					" to %" PRIu64 " |",
					t->path, t->unit, t->default_value,
					t->min, t->max);
		else if (t->type == SETTING_LEVEL)
			page_expect_row(&d, "| `%s` | level | %s |", t->path,
					settings_level_name(t->default_value));
		else
			page_expect_row(&d, "| `%s` |", t->path);
		cr_expect_eq(t->required, d.line && strstr(d.line, "required"),
			     "%s", t->path);
	}
	page_close(&d);
}
