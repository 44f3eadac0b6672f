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

/* Adds to a counter; any thread may call this. */
void counter_add(enum counter_id id, uint64_t n)
{
	ck_pr_add_64(&counters[id], n);
}

/* Sets a gauge; any thread may call this. */
void counter_set(enum counter_id id, uint64_t n)
{
	ck_pr_store_64(&counters[id], n);
}

/* Returns the value of a counter or gauge. */
uint64_t counter_get(enum counter_id id)
{
	return ck_pr_load_64(&counters[id]);
}

/*
 * Returns all counters, gauges and histograms in the Prometheus text exposition
 * format.  A family is a counter if its name ends in _total, else a gauge.
 */
bstr counter_text(void)
{
	const struct counter_entry *c;
	const char *prev_family = "", *type;
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
		if (strcmp(prev_family, c->family) != 0) {
			type = strstr(c->family, "_total") ? "counter"
							   : "gauge";
			fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", c->family,
				c->help, c->family, type);
			prev_family = c->family;
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

/*
 * Returns all counters and gauges as a JSON object, with "family" or
 * "family.value" as names of its members.
 */
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
