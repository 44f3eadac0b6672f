#include "bamboofront.h"

#include <stdlib.h>
#include <string.h>

/* Start with no findings. */
void error_init(struct error *e)
{
	TAILQ_INIT(&e->findings);
	e->count = 0;
}

/* Add a finding at a place. */
void error_add(struct error *e, const char *place, const char *fmt, ...)
{
	struct finding *f = xcalloc(1, sizeof(*f));
	va_list ap;

	f->location = xstrdup(place);
	va_start(ap, fmt);
	if (vasprintf(&f->text, fmt, ap) < 0)
		abort();
	va_end(ap);
	TAILQ_INSERT_TAIL(&e->findings, f, entry);
	e->count++;
}

/* Print the findings, one a line, in the order they were found. */
void error_print(const struct error *e, FILE *out)
{
	const struct finding *f;

	TAILQ_FOREACH(f, &e->findings, entry)
		fprintf(out, "%s: %s\n", f->location, f->text);
}

/* Join the findings into one line. */
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

/* Free the findings; the error may be used again. */
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
