#include "bamboofront.h"

#include <stdlib.h>
#include <string.h>

/*
 * Ends the process after a failed allocation.  The error is not passed to
 * callers, because the daemon keeps no state of its own that would be lost:
 * another entry VM takes over.
 */
static void xmalloc_fail(size_t size)
{
	fprintf(stderr, "bamboofront: out of memory (%zu bytes)\n", size);
	abort();
}

/* Allocates size bytes.  For size 0 it also returns a pointer to free. */
void *xmalloc(size_t size)
{
	void *p = malloc(size ? size : 1);

	if (!p)
		xmalloc_fail(size);
	return p;
}

/* Allocates count zeroed elements. */
void *xcalloc(size_t count, size_t size)
{
	void *p = calloc(count ? count : 1, size ? size : 1);

	if (!p)
		xmalloc_fail(size);
	return p;
}

/* Resizes to count elements; ends the process if count * size overflows. */
void *xrealloc(void *p, size_t count, size_t size)
{
	void *q;

	if (size && count > SIZE_MAX / size)
		xmalloc_fail(SIZE_MAX);
	q = realloc(p, count && size ? count * size : 1);
	if (!q)
		xmalloc_fail(count * size);
	return q;
}

/* Duplicates a C string. */
char *xstrdup(const char *s)
{
	size_t len = strlen(s) + 1;

	return memcpy(xmalloc(len), s, len);
}

/* Formats into a new C string. */
char *xasprintf(const char *fmt, ...)
{
	va_list ap;
	char *s;

	va_start(ap, fmt);
	if (vasprintf(&s, fmt, ap) < 0)
		xmalloc_fail(0);
	va_end(ap);
	return s;
}
