/* Reads and validates the settings of an entry VM. */
#include "entry-settings.h"

#include <stdlib.h>
#include <string.h>

/* Final jobs are kept longer than callers may query them, for late queries. */
#define KEEP_MARGIN_MS 30000
#define MACHINE_CALLS_MAX 100000 /* per second */
#define MACHINE_CALLS_DEFAULT 64
/* The smallest machine of the platform. */
#define MEMORY_DEFAULT_MB 160
#define MEMORY_MIN_MB 16
#define MEMORY_MAX_MB 1048576
#define RECEIVE_DEFAULT_MS 30000
#define ROW_BYTES_MIN 4096
#define ROW_BYTES_MAX (1 << 20)

/* Returns the member at a path like "bounds.stop_ms", or NULL. */
static const json_t *member(const json_t *j, const char *path)
{
	const char *dot;
	char name[64];

	while ((dot = strchr(path, '.'))) {
		snprintf(name, sizeof(name), "%.*s", (int)(dot - path), path);
		j = json_object_get(j, name);
		path = dot + 1;
	}
	return json_object_get(j, path);
}

/* Returns a required string, or "" with an error if it is missing or empty. */
static const char *string_get(const json_t *j, const char *path,
			      struct error *e)
{
	const char *text = json_string_value(member(j, path));

	if (text && *text)
		return text;
	error_add(e, path, "must be a non-empty string");
	return "";
}

/*
 * Returns a number, or the default if it is missing. Adds an error if it is not
 * a number from min to max.
 */
static int64_t number_get(const json_t *j, const char *path, double min,
			  double max, double fallback, struct error *e)
{
	const json_t *v = member(j, path);

	if (!v)
		return (int64_t)fallback;
	if (json_is_number(v) && json_number_value(v) >= min &&
	    json_number_value(v) <= max)
		return (int64_t)json_number_value(v);
	error_add(e, path, "must be a number from %g to %g", min, max);
	return (int64_t)fallback;
}

/* Reads an address "IP:PORT"; adds an error if it is malformed. */
static void address_get(const json_t *j, const char *path, struct address *a,
			struct error *e)
{
	const char *text = string_get(j, path, e), *colon = strrchr(text, ':');
	long port = colon ? strtol(colon + 1, NULL, 10) : 0;

	if (!*text)
		return;
	if (!colon || port < 1 || port > 65535) {
		error_add(e, path, "must be IP:PORT, not \"%s\"", text);
		return;
	}
	a->host = xasprintf("%.*s", (int)(colon - text), text);
	a->port = (uint16_t)port;
}

/* Returns the number of cores that this VM may use; the default is 1. */
static double cpu_share_get(const json_t *j, struct error *e)
{
	const json_t *v = member(j, "cpu_share");

	if (!v)
		return 1;
	if (json_is_number(v) && json_number_value(v) > 0)
		return json_number_value(v);
	error_add(e, "cpu_share", "must be a number above 0");
	return 1;
}

/* Reads the limits and expected durations that the scheduler works with. */
static void bounds_get(const json_t *j, struct sched_options *o,
		       struct error *e)
{
	const json_t *far = member(j, "bounds.far_factor");
	const json_t *move = member(j, "bounds.move_s");

	o->lease_max_ms = number_get(j, "bounds.lease_max_ms", 1000, 600000,
				     6000, e);
	o->stop_ms = number_get(j, "bounds.stop_ms", 1, 60000, 1000, e);
	o->keep_ms = 1000 * number_get(j, "bounds.keep_s", 1, 86400, 120, e) +
		     KEEP_MARGIN_MS;
	o->grace_ms = 1000 * number_get(j, "bounds.grace_s", 1, 600, 6, e);
	o->harm_ms = number_get(j, "bounds.harm_ms", 100, 60000, 4000, e);
	o->notice_ms = number_get(j, "bounds.notice_ms", 100, 60000, 4500, e);
	o->maintenance_ms = 1000 * number_get(j, "bounds.maintenance_s", 0,
					      3600, 2, e);
	o->move_ms = (int64_t)(1000 * (json_is_number(move)
					       ? json_number_value(move)
					       : 1.5));
	o->evacuation_ms = number_get(j, "bounds.evacuation_ms", 500, 600000,
				      5000, e);
	o->far_factor = json_is_number(far) ? json_number_value(far) : 1;
}

/* Returns the least severe log level that is written. */
static enum log_level level_get(const json_t *j, struct error *e)
{
	static const char *const names[] = {
		[LEVEL_ERR] = "error",	   [LEVEL_WARNING] = "warning",
		[LEVEL_NOTICE] = "notice", [LEVEL_INFO] = "info",
		[LEVEL_DEBUG] = "debug",
	};
	const json_t *v = member(j, "log_level");
	size_t i;

	for (i = LEVEL_ERR; v && i < NELEMS(names); i++)
		if (!strcmp(names[i],
			    json_string_value(v) ? json_string_value(v) : ""))
			return (enum log_level)i;
	if (v)
		error_add(e, "log_level",
			  "must be error, warning, notice, info or debug");
	return LEVEL_INFO;
}

/*
 * Mechanisms that are enabled only if the settings name them: what they are
 * worth depends on the work of a deployment.
 */
#define OPT_IN_POLICIES (1U << POLICY_PARKING | 1U << POLICY_LOOKAHEAD)

/* Returns the bit mask of the mechanisms in a list of their words. */
static unsigned policies_get(const json_t *j, const char *path, struct error *e)
{
	const json_t *list = member(j, path), *v;
	unsigned mask = 0;
	enum policy p;
	size_t i;

	json_array_foreach(list, i, v) {
		p = policy_find(json_string_value(v) ? json_string_value(v)
						     : "");
		if (p == POLICY_MAX)
			error_add(e, path, "entry %zu is not a known mechanism",
				  i);
		else
			mask |= 1U << p;
	}
	return mask;
}

/*
 * Returns the bit mask of disabled mechanisms.  A mechanism that is both in
 * "with" and in "without" is disabled.
 */
static unsigned disabled_get(const json_t *j, struct error *e)
{
	unsigned enabled = policies_get(j, "with", e);

	return (OPT_IN_POLICIES & ~enabled) | policies_get(j, "without", e);
}

/* Reads the settings. Returns false with all errors if any are invalid. */
bool entry_settings_load(const char *path, struct entry_settings *s,
			 struct error *e)
{
	json_error_t je;
	json_t *j = json_load_file(path, JSON_REJECT_DUPLICATES, &je);
	const char *advice;

	memset(s, 0, sizeof(*s));
	if (!j) {
		error_add(e, path, "line %d: %s", je.line, je.text);
		return false;
	}
	s->document = j;
	s->sched.vm = bstr_lit(string_get(j, "vm", e));
	s->sched.zone = bstr_lit(string_get(j, "dc", e));
	address_get(j, "callers", &s->front.callers, e);
	address_get(j, "readiness", &s->front.readiness, e);
	s->front.metrics.host = xstrdup(
		s->front.callers.host ? s->front.callers.host : "");
	s->front.metrics.port = (uint16_t)number_get(j, "metrics_port", 0,
						     65535, 0, e);
	s->front.memory_mb = (uint32_t)number_get(j, "memory_mb", MEMORY_MIN_MB,
						  MEMORY_MAX_MB,
						  MEMORY_DEFAULT_MB, e);
	s->front.receive_ms = (uint32_t)number_get(
		j, "receive_ms", 1000, 600000, RECEIVE_DEFAULT_MS, e);
	s->platform.store = string_get(j, "store", e);
	s->platform.machines = string_get(j, "machines", e);
	advice = json_string_value(member(j, "advice"));
	s->platform.advice = advice ? advice : "";
	s->sched.cpu_share = cpu_share_get(j, e);
	s->sched.machine_calls_per_s = (unsigned)number_get(
		j, "machine_calls_per_s", 0, MACHINE_CALLS_MAX,
		MACHINE_CALLS_DEFAULT, e);
	s->sched.row_bytes = (size_t)number_get(j, "row_bytes", ROW_BYTES_MIN,
						ROW_BYTES_MAX, 0, e);
	s->sched.disabled = disabled_get(j, e);
	bounds_get(j, &s->sched, e);
	s->log_level = level_get(j, e);
	return !e->count;
}

/* Frees the members of s, but not s itself. */
void entry_settings_free(struct entry_settings *s)
{
	free(s->front.callers.host);
	free(s->front.readiness.host);
	free(s->front.metrics.host);
	json_decref(s->document);
}
