#include "bamboofront.h"

#include <stdlib.h>
#include <string.h>

/* Initializes an empty list of findings. */
void error_init(struct error *e)
{
	TAILQ_INIT(&e->findings);
	e->count = 0;
}

/* Adds a finding at a location. */
void error_add(struct error *e, const char *location, const char *fmt, ...)
{
	struct finding *f = xcalloc(1, sizeof(*f));
	va_list ap;

	f->location = xstrdup(location);
	va_start(ap, fmt);
	if (vasprintf(&f->text, fmt, ap) < 0)
		abort();
	va_end(ap);
	TAILQ_INSERT_TAIL(&e->findings, f, entry);
	e->count++;
}

/* Prints the findings, one per line, in the order in which they were added. */
void error_print(const struct error *e, FILE *out)
{
	const struct finding *f;

	TAILQ_FOREACH(f, &e->findings, entry)
		fprintf(out, "%s: %s\n", f->location, f->text);
}

/* Returns all findings on one line; the caller frees it. */
char *error_text(const struct error *e)
{
	const struct finding *f;
	char *text = xstrdup(""), *next;

	TAILQ_FOREACH(f, &e->findings, entry) {
		next = xasprintf("%s%s%s: %s", text, *text ? "; " : "",
				 f->location, f->text);
		free(text);
		text = next;
	}
	return text;
}

/* Frees the findings; the list can be used again. */
void error_free(struct error *e)
{
	struct finding *f;

	while ((f = TAILQ_FIRST(&e->findings))) {
		TAILQ_REMOVE(&e->findings, f, entry);
		free(f->location);
		free(f->text);
		free(f);
	}
	e->count = 0;
}
