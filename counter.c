#include "bamboofront.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

const struct counter_entry counter_entries[COUNTER_MAX] = {
#define COUNTER(name, family, label, value, help) {family, label, value, help},
#include "counter.def"
#undef COUNTER
};

static uint64_t counters[COUNTER_MAX];

/* Add to a counter, from any thread. */
void counter_add(enum counter_id id, uint64_t n)
{
	ck_pr_add_64(&counters[id], n);
}

/* Set a gauge, from any thread. */
void counter_set(enum counter_id id, uint64_t n)
{
	ck_pr_store_64(&counters[id], n);
}

/* Read a counter. */
uint64_t counter_get(enum counter_id id)
{
	return ck_pr_load_64(&counters[id]);
}

/*
 * All counters in the text exposition format.  A family whose name ends in
 * _total only grows; any other is a gauge.
 */
bstr counter_text(void)
{
	const struct counter_entry *c;
	const char *last = "", *kind;
	char *text = NULL;
	size_t size = 0;
	bstr b;
	FILE *f;
	int i;

	f = open_memstream(&text, &size);
	if (!f)
		abort();
	for (i = 0; i < COUNTER_MAX; i++) {
		c = &counter_entries[i];
		if (strcmp(last, c->family) != 0) {
			kind = strstr(c->family, "_total") ? "counter"
							   : "gauge";
			fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", c->family,
				c->help, c->family, kind);
			last = c->family;
		}
		if (c->label)
			fprintf(f, "%s{%s=\"%s\"} %" PRIu64 "\n", c->family,
				c->label, c->value, counter_get(i));
		else
			fprintf(f, "%s %" PRIu64 "\n", c->family,
				counter_get(i));
	}
	histograms_print(f);
	fclose(f);
	b = bstr_from_bytes(text, size);
	free(text);
	return b;
}

/* All counters as one JSON object, "family" or "family.value" to number. */
json_t *counter_json(void)
{
	const struct counter_entry *c;
	json_t *j = json_object();
	char *name;
	int i;

	for (i = 0; i < COUNTER_MAX; i++) {
		c = &counter_entries[i];
		name = c->label ? xasprintf("%s.%s", c->family, c->value)
				: xstrdup(c->family);
		json_object_set_new(j, name,
				    json_integer((json_int_t)counter_get(i)));
		free(name);
	}
	return j;
}
