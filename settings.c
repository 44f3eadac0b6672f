#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SETTINGS_MAX_BYTES 1048576
#define SETTINGS_NAME_MAX 63

#define OFFSET(field) offsetof(struct settings, field)
#define REQUIRED(path, type, field)                                 \
	{                                                           \
		path, type, true, false, "", 0, 0, 0, OFFSET(field) \
	}
#define OPTIONAL(path, type, field)                                  \
	{                                                            \
		path, type, false, false, "", 0, 0, 0, OFFSET(field) \
	}
#define SECRET(path, type, required, field)                            \
	{                                                              \
		path, type, required, true, "", 0, 0, 0, OFFSET(field) \
	}
#define NUMBER(path, field, unit, default_value, min, max)                 \
	{                                                                  \
		path, SETTING_U32, false, false, unit, default_value, min, \
			max, OFFSET(field)                                 \
	}
#define DURATION_MS(path, field, default_value, min, max) \
	NUMBER(path, field, "ms", default_value, min, max)

const struct setting settings_table[] = {
	REQUIRED("vm", SETTING_NAME, vm),
	REQUIRED("dc", SETTING_NAME, dc),
	REQUIRED("callers.listen", SETTING_ADDRESS, callers.listen),
	OPTIONAL("callers.tls_cert", SETTING_FILE, callers.tls_cert),
	OPTIONAL("callers.tls_key", SETTING_FILE, callers.tls_key),
	NUMBER("callers.threads", callers.threads, "threads", 4, 1, 64),
	NUMBER("callers.max_connections", callers.max_connections,
	       "connections", 1024, 1, 65536),
	NUMBER("callers.max_body", callers.max_body, "bytes", 262144, 1024,
	       1048576),
	DURATION_MS("callers.max_wait_ms", callers.max_wait_ms, 60000, 100,
		    600000),
	REQUIRED("operators.listen", SETTING_ADDRESS, operators.listen),
	SECRET("operators.keys", SETTING_KEYS, true, operators.keys),
	NUMBER("operators.max_connections", operators.max_connections,
	       "connections", 64, 1, 4096),
	REQUIRED("peers.listen", SETTING_ADDRESS, peers.listen),
	SECRET("peers.key", SETTING_KEY, true, peers.key),
	NUMBER("peers.max_connections", peers.max_connections, "connections",
	       128, 1, 4096),
	DURATION_MS("peers.timeout_ms", peers.timeout_ms, 1000, 10, 60000),
	REQUIRED("platform.url", SETTING_URL, platform.url),
	SECRET("platform.token", SETTING_TEXT, false, platform.token),
	OPTIONAL("platform.tls_ca", SETTING_FILE, platform.tls_ca),
	DURATION_MS("platform.timeout_ms", platform.timeout_ms, 1000, 10,
		    60000),
	NUMBER("platform.max_in_flight", platform.max_in_flight, "requests", 32,
	       1, 1024),
	OPTIONAL("workers.tls_ca", SETTING_FILE, workers.tls_ca),
	DURATION_MS("workers.timeout_ms", workers.timeout_ms, 2000, 10, 60000),
	DURATION_MS("workers.watch_ms", workers.watch_ms, 5000, 100, 60000),
	NUMBER("workers.max_connections", workers.max_connections,
	       "connections", 4, 2, 64),
	DURATION_MS("timing.tick_ms", timing.tick_ms, 100, 1, 10000),
	DURATION_MS("timing.member_renew_ms", timing.member_renew_ms, 1500, 10,
		    60000),
	DURATION_MS("timing.member_lease_ms", timing.member_lease_ms, 4000, 50,
		    300000),
	DURATION_MS("timing.ping_ms", timing.ping_ms, 500, 10, 60000),
	DURATION_MS("timing.fresh_ms", timing.fresh_ms, 3000, 50, 60000),
	DURATION_MS("timing.commit_window_ms", timing.commit_window_ms, 50, 0,
		    10000),
	DURATION_MS("timing.task_lease_ms", timing.task_lease_ms, 10000, 100,
		    600000),
	DURATION_MS("timing.config_poll_ms", timing.config_poll_ms, 1000, 10,
		    60000),
	DURATION_MS("timing.list_poll_ms", timing.list_poll_ms, 1000, 10,
		    60000),
	DURATION_MS("timing.stop_ms", timing.stop_ms, 10000, 100, 600000),
	NUMBER("limits.queue_per_cell", limits.queue_per_cell, "jobs", 10000, 1,
	       1000000),
	NUMBER("limits.queue_per_team", limits.queue_per_team, "jobs", 5000, 1,
	       1000000),
	DURATION_MS("limits.retention_ms", limits.retention_ms, 600000, 1000,
		    86400000),
	NUMBER("limits.attempts", limits.attempts, "attempts", 3, 1, 100),
	NUMBER("limits.memory_mb", limits.memory_mb, "MB", 128, 16, 1048576),
	{"log_level", SETTING_LEVEL, false, false, "", LEVEL_INFO, LEVEL_ERR,
	 LEVEL_DEBUG, OFFSET(log_level)},
};
const size_t settings_count = NELEMS(settings_table);

static const char *const level_names[] = {
	[LEVEL_ERR] = "err",	   [LEVEL_WARNING] = "warning",
	[LEVEL_NOTICE] = "notice", [LEVEL_INFO] = "info",
	[LEVEL_DEBUG] = "debug",
};

/*
 * Constraints between settings: smaller * factor + extra < larger.  Each has
 * the consequence of violating it.
 */
static const struct constraint {
	const char *smaller;
	const char *extra; /* or NULL */
	const char *larger;
	uint64_t factor; /* of smaller */
	const char *consequence;
} constraints[] = {
	{"timing.member_renew_ms", NULL, "timing.member_lease_ms", 2,
	 "one lost renewal would end the lease"},
	{"timing.member_renew_ms", "platform.timeout_ms",
	 "timing.member_lease_ms", 1, "one slow renewal would end the lease"},
	{"timing.ping_ms", NULL, "timing.fresh_ms", 2,
	 "one lost ping would lose the proof of freshness"},
	{"timing.config_poll_ms", "platform.timeout_ms", "timing.fresh_ms", 1,
	 "one slow poll would lose the proof of freshness"},
	{"workers.watch_ms", "workers.timeout_ms", "timing.task_lease_ms", 1,
	 "leases would end during one long poll"},
	{"timing.member_lease_ms", NULL, "timing.task_lease_ms", 1,
	 "tasks would lapse before another entry VM can take over"},
	{"timing.tick_ms", NULL, "timing.ping_ms", 1,
	 "pings would be late at every tick"},
};

/* Returns the name of a log level, or NULL if there is no such level. */
const char *settings_level_name(uint64_t level)
{
	return level < NELEMS(level_names) ? level_names[level] : NULL;
}

/* Returns the member of s that holds a setting. */
static void *setting_field(const struct setting *t, const struct settings *s)
{
	return (char *)s + t->offset;
}

/* Returns the setting with a path, or NULL if there is none. */
static const struct setting *setting_find(const char *path)
{
	size_t i;

	for (i = 0; i < settings_count; i++)
		if (strcmp(settings_table[i].path, path) == 0)
			return &settings_table[i];
	return NULL;
}

/* Returns the value of a 32-bit setting. */
static uint64_t setting_u32(const struct settings *s, const char *path)
{
	const struct setting *t = setting_find(path);
	uint32_t *p = setting_field(t, s);

	return *p;
}

/* Adds a finding for a JSON path in source, a file or a recording. */
static void PRINTF_LIKE(4, 5)
	setting_finding(struct error *e, const char *source, const char *path,
			const char *fmt, ...)
{
	char *location = xasprintf("%s: $.%s", source, path);
	va_list ap;
	char *text;

	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		abort();
	va_end(ap);
	error_add(e, location, "%s", text);
	free(text);
	free(location);
}

/* Parses "ip:port" or "[ip]:port".  On success the caller frees the host. */
static bool address_parse(const char *text, struct address *a)
{
	const char *colon = strrchr(text, ':');
	unsigned char addr[sizeof(struct in6_addr)];
	unsigned long port;
	size_t len;
	char *end;

	if (!colon || colon[1] < '0' || colon[1] > '9')
		return false;
	port = strtoul(colon + 1, &end, 10);
	if (*end || port > UINT16_MAX)
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && colon[-1] == ']')
		a->host = xasprintf("%.*s", (int)len - 2, text + 1);
	else
		a->host = xasprintf("%.*s", (int)len, text);
	a->port = (uint16_t)port;
	if (inet_pton(strchr(a->host, ':') ? AF_INET6 : AF_INET, a->host,
		      addr) == 1)
		return true;
	free(a->host);
	a->host = NULL;
	return false;
}

/* Reads the names and keys of the operators. */
static void keys_read(const json_t *j, struct settings *s, const char *source,
		      struct error *e)
{
	struct operator_key *k;
	const char *name;
	json_t *value;
	char *path;

	if (!json_is_object(j) || !json_object_size(j)) {
		setting_finding(e, source, "operators.keys",
				"expected an object {\"NAME\": \"KEY\"} with "
				"one operator at least");
		return;
	}
	s->operators.keys = xcalloc(json_object_size(j),
				    sizeof(*s->operators.keys));
	json_object_foreach((json_t *)j, name, value) {
		k = &s->operators.keys[s->operators.key_count];
		path = xasprintf("operators.keys.%s", name);
		if (!bstr_is_name(bstr_lit(name), SETTINGS_NAME_MAX))
			setting_finding(e, source, path,
					"expected a name: [a-z0-9._-]+, at "
					"most %d bytes",
					SETTINGS_NAME_MAX);
		else if (!json_is_string(value) ||
			 !hex_decode(bstr_lit(json_string_value(value)), k->key,
				     sizeof(k->key)))
			setting_finding(e, source, path,
					"expected 64 hexadecimal digits");
		else {
			k->name = xstrdup(name);
			s->operators.key_count++;
		}
		free(path);
	}
}

/* Reads an integer; returns false unless it is in the range of its setting. */
static bool number_read(const struct setting *t, const json_t *j,
			struct settings *s)
{
	json_int_t n = json_integer_value(j);
	void *field = setting_field(t, s);

	if (!json_is_integer(j) || n < 0 || (uint64_t)n < t->min ||
	    (uint64_t)n > t->max)
		return false;
	if (t->type == SETTING_U32)
		*(uint32_t *)field = (uint32_t)n;
	else
		*(uint64_t *)field = (uint64_t)n;
	return true;
}

/* Parses the name of a log level. */
static bool level_read(const char *text, enum log_level *level)
{
	size_t i;

	for (i = LEVEL_ERR; text && i < NELEMS(level_names); i++)
		if (strcmp(level_names[i], text) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	return false;
}

/*
 * Returns true if text is an http or https URL without query, fragment and
 * trailing slash.
 */
static bool url_is_http(const char *text)
{
	size_t len = strlen(text);

	if (strncmp(text, "http://", 7) != 0 &&
	    strncmp(text, "https://", 8) != 0)
		return false;
	return text[len - 1] != '/' && !strpbrk(text, " \t\r\n?#");
}

/* Reads a setting that is present in the file. */
static void setting_read(const struct setting *t, const json_t *j,
			 const char *source, struct settings *s,
			 struct error *e)
{
	const char *text = json_string_value(j);
	void *field = setting_field(t, s);

	switch (t->type) {
	case SETTING_NAME:
		if (text && bstr_is_name(bstr_lit(text), SETTINGS_NAME_MAX))
			*(bstr *)field = bstr_new(text);
		else
			setting_finding(e, source, t->path,
					"expected a name: [a-z0-9._-]+, at "
					"most %d bytes",
					SETTINGS_NAME_MAX);
		break;
	case SETTING_TEXT:
		if (text && *text && !strpbrk(text, "\r\n"))
			*(char **)field = xstrdup(text);
		else
			setting_finding(e, source, t->path,
					"expected a line of text");
		break;
	case SETTING_URL:
		if (text && url_is_http(text))
			*(char **)field = xstrdup(text);
		else
			setting_finding(e, source, t->path,
					"expected a URL, http:// or https://, "
					"without a final slash");
		break;
	case SETTING_FILE:
		if (text && *text && !access(text, R_OK))
			*(char **)field = xstrdup(text);
		else
			setting_finding(e, source, t->path,
					"expected the name of a file that can "
					"be read");
		break;
	case SETTING_ADDRESS:
		if (!text || !address_parse(text, field))
			setting_finding(e, source, t->path,
					"expected an address, \"IP:PORT\"");
		break;
	case SETTING_KEY:
		if (!text || !hex_decode(bstr_lit(text), field, 32))
			setting_finding(e, source, t->path,
					"expected 64 hexadecimal digits");
		break;
	case SETTING_KEYS:
		keys_read(j, s, source, e);
		break;
	case SETTING_U32:
		if (!number_read(t, j, s))
			setting_finding(e, source, t->path,
					"expected a whole number from %" PRIu64
					" to %" PRIu64 "%s%s",
					t->min, t->max, *t->unit ? " " : "",
					t->unit);
		break;
	case SETTING_LEVEL:
		if (!level_read(text, field))
			setting_finding(e, source, t->path,
					"expected err, warning, notice, info "
					"or debug");
		break;
	}
}

/* Sets a setting to its default. */
static void setting_set_default(const struct setting *t, struct settings *s)
{
	void *field = setting_field(t, s);

	if (t->type == SETTING_U32)
		*(uint32_t *)field = (uint32_t)t->default_value;
	else if (t->type == SETTING_LEVEL)
		*(enum log_level *)field = (enum log_level)t->default_value;
}

/* Returns the member at path "a" or "a.b", or NULL. */
static json_t *json_at(const json_t *root, const char *path)
{
	const char *dot = strchr(path, '.');
	json_t *j;
	char *section_name;

	if (!dot)
		return json_object_get(root, path);
	section_name = xasprintf("%.*s", (int)(dot - path), path);
	j = json_object_get(json_object_get(root, section_name), dot + 1);
	free(section_name);
	return j;
}

/* Returns true if path is a section, with settings in it. */
static bool path_is_section(const char *path)
{
	size_t i, len = strlen(path);

	for (i = 0; i < settings_count; i++)
		if (strncmp(settings_table[i].path, path, len) == 0 &&
		    settings_table[i].path[len] == '.')
			return true;
	return false;
}

/* Reports members that are not settings, and sections that are not objects. */
static void unknown_keys_report(const json_t *j, const char *prefix,
				const char *source, struct error *e)
{
	const char *key;
	json_t *value;
	char *path;

	json_object_foreach((json_t *)j, key, value) {
		path = xasprintf("%s%s%s", prefix, *prefix ? "." : "", key);
		if (!*prefix && path_is_section(path)) {
			if (json_is_object(value))
				unknown_keys_report(value, path, source, e);
			else
				setting_finding(e, source, path,
						"expected an object");
		} else if (!setting_find(path))
			setting_finding(e, source, path, "unknown key");
		free(path);
	}
}

/* Checks the constraints between settings. */
static void constraints_check(const struct settings *s, const char *source,
			      struct error *e)
{
	const struct constraint *c;
	uint64_t smaller, extra;
	size_t i;

	for (i = 0; i < NELEMS(constraints); i++) {
		c = &constraints[i];
		smaller = setting_u32(s, c->smaller) * c->factor;
		extra = c->extra ? setting_u32(s, c->extra) : 0;
		if (smaller + extra < setting_u32(s, c->larger))
			continue;
		setting_finding(e, source, c->larger,
				"expected more than %s%s%s%s (%" PRIu64
				" ms): %s",
				c->factor == 2 ? "twice " : "", c->smaller,
				c->extra ? " + " : "", c->extra ? c->extra : "",
				smaller + extra, c->consequence);
	}
	if (s->limits.queue_per_team > s->limits.queue_per_cell)
		setting_finding(e, source, "limits.queue_per_team",
				"expected at most limits.queue_per_cell "
				"(%" PRIu32 ")",
				s->limits.queue_per_cell);
	if (!s->callers.tls_cert != !s->callers.tls_key)
		setting_finding(e, source, "callers.tls_cert",
				"expected callers.tls_cert and "
				"callers.tls_key together or neither");
	/*
	 * Peers read this address from the member's row and connect to it.
	 * With the wildcard address they would connect to themselves.
	 */
	if (s->peers.listen.host &&
	    (strcmp(s->peers.listen.host, "0.0.0.0") == 0 ||
	     strcmp(s->peers.listen.host, "::") == 0))
		setting_finding(e, source, "peers.listen",
				"expected the address that peers connect to, "
				"not the wildcard");
}

/*
 * Reads all settings of the table.  Those of a recording lack the addresses and
 * secrets, so from_recording allows missing settings and skips the constraints.
 */
static bool settings_read(const json_t *root, const char *source,
			  bool from_recording, struct settings *s,
			  struct error *e)
{
	unsigned before = e->count;
	const struct setting *t;
	json_t *j;
	size_t i;

	memset(s, 0, sizeof(*s));
	if (!json_is_object(root)) {
		error_add(e, source, "$: expected an object");
		return false;
	}
	unknown_keys_report(root, "", source, e);
	for (i = 0; i < settings_count; i++) {
		t = &settings_table[i];
		setting_set_default(t, s);
		j = json_at(root, t->path);
		if (j)
			setting_read(t, j, source, s, e);
		else if (t->required && !from_recording)
			setting_finding(e, source, t->path, "missing");
	}
	if (!from_recording)
		constraints_check(s, source, e);
	if (e->count == before)
		return true;
	settings_free(s);
	return false;
}

/*
 * Parses and validates the text of a settings file.  Adds every finding to e,
 * with its file and JSON path.  On failure s is empty.
 */
bool settings_parse(const char *source, const char *text, size_t len,
		    struct settings *s, struct error *e)
{
	json_error_t je;
	json_t *root;
	char *location;
	bool ok;

	memset(s, 0, sizeof(*s));
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
	if (!root) {
		location = xasprintf("%s:%d:%d", source, je.line, je.column);
		error_add(e, location, "no JSON: %s", je.text);
		free(location);
		return false;
	}
	ok = settings_read(root, source, false, s, e);
	json_decref(root);
	return ok;
}

/* Reads and validates a settings file; on failure s is empty. */
bool settings_load(const char *path, struct settings *s, struct error *e)
{
	size_t len;
	char *text;
	FILE *f;
	bool ok;

	memset(s, 0, sizeof(*s));
	f = fopen(path, "re");
	if (!f) {
		error_add(e, path, "can't be opened: %s", strerror(errno));
		return false;
	}
	text = xmalloc(SETTINGS_MAX_BYTES + 1);
	len = fread(text, 1, SETTINGS_MAX_BYTES + 1, f);
	if (ferror(f) || len > SETTINGS_MAX_BYTES) {
		error_add(e, path, "expected a file of at most %d bytes",
			  SETTINGS_MAX_BYTES);
		ok = false;
	} else
		ok = settings_parse(path, text, len, s, e);
	fclose(f);
	free(text);
	return ok;
}

/* Frees the members of the settings and clears them. */
void settings_free(struct settings *s)
{
	const struct setting *t;
	size_t i;

	for (i = 0; i < s->operators.key_count; i++)
		free(s->operators.keys[i].name);
	free(s->operators.keys);
	for (i = 0; i < settings_count; i++) {
		t = &settings_table[i];
		if (t->type == SETTING_NAME)
			bstr_free(setting_field(t, s));
		else if (t->type == SETTING_ADDRESS)
			free(((struct address *)setting_field(t, s))->host);
		else if (t->type == SETTING_TEXT || t->type == SETTING_URL ||
			 t->type == SETTING_FILE)
			free(*(char **)setting_field(t, s));
	}
	memset(s, 0, sizeof(*s));
}

/* Returns a setting as JSON, or NULL if recordings leave out its type. */
static json_t *setting_json(const struct setting *t, const struct settings *s)
{
	void *field = setting_field(t, s);

	switch (t->type) {
	case SETTING_NAME:
		return bstr_to_json(*(bstr *)field);
	case SETTING_U32:
		return json_integer(*(uint32_t *)field);
	default:
		return NULL;
	}
}

/*
 * Returns the settings that the reducer uses, names and numbers, as JSON.
 * Secrets and addresses are left out.
 */
json_t *settings_to_json(const struct settings *s)
{
	json_t *root = json_object(), *section, *j;
	const char *dot;
	char *section_name;
	size_t i;

	for (i = 0; i < settings_count; i++) {
		j = setting_json(&settings_table[i], s);
		if (!j)
			continue;
		dot = strchr(settings_table[i].path, '.');
		if (!dot) {
			json_object_set_new(root, settings_table[i].path, j);
			continue;
		}
		section_name = xasprintf("%.*s",
					 (int)(dot - settings_table[i].path),
					 settings_table[i].path);
		section = json_object_get(root, section_name);
		if (!section) {
			section = json_object();
			json_object_set_new(root, section_name, section);
		}
		json_object_set_new(section, dot + 1, j);
		free(section_name);
	}
	return root;
}

/* Reads settings that settings_to_json has written. */
bool settings_from_json(const json_t *j, struct settings *s, struct error *e)
{
	return settings_read(j, "recording", true, s, e);
}
