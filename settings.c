#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SETTINGS_MAX_BYTES 1048576
#define SETTINGS_NAME_MAX 63

#define AT(field) offsetof(struct settings, field)
#define MUST(path, type, field)                                 \
	{                                                       \
		path, type, true, false, "", 0, 0, 0, AT(field) \
	}
#define MAY(path, type, field)                                   \
	{                                                        \
		path, type, false, false, "", 0, 0, 0, AT(field) \
	}
#define SECRET(path, type, required, field)                        \
	{                                                          \
		path, type, required, true, "", 0, 0, 0, AT(field) \
	}
#define COUNT(path, field, unit, initial, min, max)                       \
	{                                                                 \
		path, SETTING_U32, false, false, unit, initial, min, max, \
			AT(field)                                         \
	}
#define SPAN(path, field, initial, min, max) \
	COUNT(path, field, "ms", initial, min, max)

const struct setting settings_table[] = {
	MUST("vm", SETTING_NAME, vm),
	MUST("dc", SETTING_NAME, dc),
	MUST("callers.listen", SETTING_ADDRESS, callers.listen),
	MAY("callers.tls_cert", SETTING_FILE, callers.tls_cert),
	MAY("callers.tls_key", SETTING_FILE, callers.tls_key),
	COUNT("callers.threads", callers.threads, "threads", 4, 1, 64),
	COUNT("callers.max_connections", callers.max_connections, "connections",
	      1024, 1, 65536),
	COUNT("callers.max_body", callers.max_body, "bytes", 262144, 1024,
	      1048576),
	SPAN("callers.max_wait_ms", callers.max_wait_ms, 60000, 100, 600000),
	MUST("operators.listen", SETTING_ADDRESS, operators.listen),
	SECRET("operators.keys", SETTING_KEYS, true, operators.keys),
	COUNT("operators.max_connections", operators.max_connections,
	      "connections", 64, 1, 4096),
	MUST("peers.listen", SETTING_ADDRESS, peers.listen),
	SECRET("peers.key", SETTING_KEY, true, peers.key),
	COUNT("peers.max_connections", peers.max_connections, "connections",
	      128, 1, 4096),
	SPAN("peers.timeout_ms", peers.timeout_ms, 1000, 10, 60000),
	MUST("platform.url", SETTING_URL, platform.url),
	SECRET("platform.token", SETTING_TEXT, false, platform.token),
	MAY("platform.tls_ca", SETTING_FILE, platform.tls_ca),
	SPAN("platform.timeout_ms", platform.timeout_ms, 1000, 10, 60000),
	COUNT("platform.max_in_flight", platform.max_in_flight, "requests", 32,
	      1, 1024),
	MAY("workers.tls_ca", SETTING_FILE, workers.tls_ca),
	SPAN("workers.timeout_ms", workers.timeout_ms, 2000, 10, 60000),
	SPAN("workers.watch_ms", workers.watch_ms, 5000, 100, 60000),
	COUNT("workers.max_connections", workers.max_connections, "connections",
	      4, 2, 64),
	SPAN("timing.tick_ms", timing.tick_ms, 100, 1, 10000),
	SPAN("timing.member_renew_ms", timing.member_renew_ms, 1500, 10, 60000),
	SPAN("timing.member_lease_ms", timing.member_lease_ms, 4000, 50,
	     300000),
	SPAN("timing.ping_ms", timing.ping_ms, 500, 10, 60000),
	SPAN("timing.fresh_ms", timing.fresh_ms, 3000, 50, 60000),
	SPAN("timing.commit_window_ms", timing.commit_window_ms, 50, 0, 10000),
	SPAN("timing.task_lease_ms", timing.task_lease_ms, 10000, 100, 600000),
	SPAN("timing.config_poll_ms", timing.config_poll_ms, 1000, 10, 60000),
	SPAN("timing.list_poll_ms", timing.list_poll_ms, 1000, 10, 60000),
	SPAN("timing.stop_ms", timing.stop_ms, 10000, 100, 600000),
	COUNT("limits.queue_per_cell", limits.queue_per_cell, "jobs", 10000, 1,
	      1000000),
	COUNT("limits.queue_per_team", limits.queue_per_team, "jobs", 5000, 1,
	      1000000),
	SPAN("limits.retention_ms", limits.retention_ms, 600000, 1000,
	     86400000),
	COUNT("limits.attempts", limits.attempts, "attempts", 3, 1, 100),
	{"log_level", SETTING_LEVEL, false, false, "", LEVEL_INFO, LEVEL_ERR,
	 LEVEL_DEBUG, AT(log_level)},
};
const size_t settings_count = NELEMS(settings_table);

static const char *const level_names[] = {
	[LEVEL_ERR] = "err",	   [LEVEL_WARNING] = "warning",
	[LEVEL_NOTICE] = "notice", [LEVEL_INFO] = "info",
	[LEVEL_DEBUG] = "debug",
};

/*
 * Two settings that have to fit each other: a + extra < b.  Each line says
 * what goes wrong otherwise.
 */
static const struct relation {
	const char *a;
	const char *extra; /* or NULL */
	const char *b;
	uint64_t factor; /* of a */
	const char *why;
} relations[] = {
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

const char *settings_level_name(uint64_t level)
{
	return level < NELEMS(level_names) ? level_names[level] : NULL;
}

/* Where a setting is kept. */
static void *setting_field(const struct setting *t, const struct settings *s)
{
	return (char *)s + t->offset;
}

/* Find a setting of the table. */
static const struct setting *setting_find(const char *path)
{
	size_t i;

	for (i = 0; i < settings_count; i++)
		if (strcmp(settings_table[i].path, path) == 0)
			return &settings_table[i];
	return NULL;
}

/* The number kept for a 32 bit setting. */
static uint64_t setting_u32(const struct settings *s, const char *path)
{
	const struct setting *t = setting_find(path);
	uint32_t *p = setting_field(t, s);

	return *p;
}

/* Add a finding at a JSON path of a file. */
static void PRINTF_LIKE(4, 5)
	setting_finding(struct error *e, const char *place, const char *path,
			const char *fmt, ...)
{
	char *where = xasprintf("%s: $.%s", place, path);
	va_list ap;
	char *text;

	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		abort();
	va_end(ap);
	error_add(e, where, "%s", text);
	free(text);
	free(where);
}

/* Read "ip:port" or "[ip]:port". */
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

/* Read the operators' names and keys. */
static void keys_read(const json_t *j, struct settings *s, const char *place,
		      struct error *e)
{
	struct operator_key *k;
	const char *name;
	json_t *value;
	char *path;

	if (!json_is_object(j) || !json_object_size(j)) {
		setting_finding(e, place, "operators.keys",
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
			setting_finding(e, place, path,
					"expected a name: [a-z0-9._-]+, at "
					"most %d bytes",
					SETTINGS_NAME_MAX);
		else if (!json_is_string(value) ||
			 !hex_decode(bstr_lit(json_string_value(value)), k->key,
				     sizeof(k->key)))
			setting_finding(e, place, path,
					"expected 64 hexadecimal digits");
		else {
			k->name = xstrdup(name);
			s->operators.key_count++;
		}
		free(path);
	}
}

/* Read a whole number within the range of its setting. */
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

/* Read the name of a log level. */
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

/* Is this the URL of an HTTP service, without a trailing slash? */
static bool url_is_http(const char *text)
{
	size_t len = strlen(text);

	if (strncmp(text, "http://", 7) != 0 &&
	    strncmp(text, "https://", 8) != 0)
		return false;
	return text[len - 1] != '/' && !strpbrk(text, " \t\r\n?#");
}

/* Read one setting that is there. */
static void setting_read(const struct setting *t, const json_t *j,
			 const char *place, struct settings *s, struct error *e)
{
	const char *text = json_string_value(j);
	void *field = setting_field(t, s);

	switch (t->type) {
	case SETTING_NAME:
		if (text && bstr_is_name(bstr_lit(text), SETTINGS_NAME_MAX))
			*(bstr *)field = bstr_new(text);
		else
			setting_finding(e, place, t->path,
					"expected a name: [a-z0-9._-]+, at "
					"most %d bytes",
					SETTINGS_NAME_MAX);
		break;
	case SETTING_TEXT:
		if (text && *text && !strpbrk(text, "\r\n"))
			*(char **)field = xstrdup(text);
		else
			setting_finding(e, place, t->path,
					"expected a line of text");
		break;
	case SETTING_URL:
		if (text && url_is_http(text))
			*(char **)field = xstrdup(text);
		else
			setting_finding(e, place, t->path,
					"expected a URL, http:// or https://, "
					"without a final slash");
		break;
	case SETTING_FILE:
		if (text && *text && !access(text, R_OK))
			*(char **)field = xstrdup(text);
		else
			setting_finding(e, place, t->path,
					"expected the name of a file that can "
					"be read");
		break;
	case SETTING_ADDRESS:
		if (!text || !address_parse(text, field))
			setting_finding(e, place, t->path,
					"expected an address, \"IP:PORT\"");
		break;
	case SETTING_KEY:
		if (!text || !hex_decode(bstr_lit(text), field, 32))
			setting_finding(e, place, t->path,
					"expected 64 hexadecimal digits");
		break;
	case SETTING_KEYS:
		keys_read(j, s, place, e);
		break;
	case SETTING_U32:
		if (!number_read(t, j, s))
			setting_finding(e, place, t->path,
					"expected a whole number from %" PRIu64
					" to %" PRIu64 "%s%s",
					t->min, t->max, *t->unit ? " " : "",
					t->unit);
		break;
	case SETTING_LEVEL:
		if (!level_read(text, field))
			setting_finding(e, place, t->path,
					"expected err, warning, notice, info "
					"or debug");
		break;
	}
}

/* Give a setting its default. */
static void setting_initial(const struct setting *t, struct settings *s)
{
	void *field = setting_field(t, s);

	if (t->type == SETTING_U32)
		*(uint32_t *)field = (uint32_t)t->default_value;
	else if (t->type == SETTING_LEVEL)
		*(enum log_level *)field = (enum log_level)t->default_value;
}

/* Look up "a" or "a.b". */
static json_t *json_at(const json_t *root, const char *path)
{
	const char *dot = strchr(path, '.');
	json_t *j;
	char *head;

	if (!dot)
		return json_object_get(root, path);
	head = xasprintf("%.*s", (int)(dot - path), path);
	j = json_object_get(json_object_get(root, head), dot + 1);
	free(head);
	return j;
}

/* Is there a setting below this path? */
static bool path_is_group(const char *path)
{
	size_t i, len = strlen(path);

	for (i = 0; i < settings_count; i++)
		if (strncmp(settings_table[i].path, path, len) == 0 &&
		    settings_table[i].path[len] == '.')
			return true;
	return false;
}

/* Report keys that no setting has, and groups that are no objects. */
static void unknown_find(const json_t *j, const char *prefix, const char *place,
			 struct error *e)
{
	const char *key;
	json_t *value;
	char *path;

	json_object_foreach((json_t *)j, key, value) {
		path = xasprintf("%s%s%s", prefix, *prefix ? "." : "", key);
		if (!*prefix && path_is_group(path)) {
			if (json_is_object(value))
				unknown_find(value, path, place, e);
			else
				setting_finding(e, place, path,
						"expected an object");
		} else if (!setting_find(path))
			setting_finding(e, place, path, "unknown key");
		free(path);
	}
}

/* Check the settings that have to fit one another. */
static void relations_check(const struct settings *s, const char *place,
			    struct error *e)
{
	const struct relation *r;
	uint64_t a, extra;
	size_t i;

	for (i = 0; i < NELEMS(relations); i++) {
		r = &relations[i];
		a = setting_u32(s, r->a) * r->factor;
		extra = r->extra ? setting_u32(s, r->extra) : 0;
		if (a + extra < setting_u32(s, r->b))
			continue;
		setting_finding(e, place, r->b,
				"expected more than %s%s%s%s (%" PRIu64
				" ms): %s",
				r->factor == 2 ? "twice " : "", r->a,
				r->extra ? " + " : "", r->extra ? r->extra : "",
				a + extra, r->why);
	}
	if (s->limits.queue_per_team > s->limits.queue_per_cell)
		setting_finding(e, place, "limits.queue_per_team",
				"expected at most limits.queue_per_cell "
				"(%" PRIu32 ")",
				s->limits.queue_per_cell);
	if (!s->callers.tls_cert != !s->callers.tls_key)
		setting_finding(e, place, "callers.tls_cert",
				"expected callers.tls_cert and "
				"callers.tls_key together or neither");
	/*
	 * Peers learn this address from the member's row; one that means
	 * "any" would send them to themselves.
	 */
	if (s->peers.listen.host &&
	    (strcmp(s->peers.listen.host, "0.0.0.0") == 0 ||
	     strcmp(s->peers.listen.host, "::") == 0))
		setting_finding(e, place, "peers.listen",
				"expected the address that peers connect to, "
				"not the wildcard");
}

/* Read every setting of the table; recorded: what is left out may be. */
static bool settings_read(const json_t *root, const char *place, bool recorded,
			  struct settings *s, struct error *e)
{
	unsigned before = e->count;
	const struct setting *t;
	json_t *j;
	size_t i;

	memset(s, 0, sizeof(*s));
	if (!json_is_object(root)) {
		error_add(e, place, "$: expected an object");
		return false;
	}
	unknown_find(root, "", place, e);
	for (i = 0; i < settings_count; i++) {
		t = &settings_table[i];
		setting_initial(t, s);
		j = json_at(root, t->path);
		if (j)
			setting_read(t, j, place, s, e);
		else if (t->required && !recorded)
			setting_finding(e, place, t->path, "missing");
	}
	if (!recorded)
		relations_check(s, place, e);
	if (e->count == before)
		return true;
	settings_free(s);
	return false;
}

/*
 * Check a settings file's text whole; every finding goes into e with its
 * place and path.  On failure s holds nothing.
 */
bool settings_parse(const char *place, const char *text, size_t len,
		    struct settings *s, struct error *e)
{
	json_error_t je;
	json_t *root;
	char *where;
	bool ok;

	memset(s, 0, sizeof(*s));
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
	if (!root) {
		where = xasprintf("%s:%d:%d", place, je.line, je.column);
		error_add(e, where, "no JSON: %s", je.text);
		free(where);
		return false;
	}
	ok = settings_read(root, place, false, s, e);
	json_decref(root);
	return ok;
}

/* Read and check a settings file. */
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

/* Free what settings hold. */
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

/* One setting as JSON, NULL if it is not set or not for a recording. */
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

/* What the reducer may look at: names and numbers, no secret, no address. */
json_t *settings_to_json(const struct settings *s)
{
	json_t *root = json_object(), *group, *j;
	const char *dot;
	char *head;
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
		head = xasprintf("%.*s", (int)(dot - settings_table[i].path),
				 settings_table[i].path);
		group = json_object_get(root, head);
		if (!group) {
			group = json_object();
			json_object_set_new(root, head, group);
		}
		json_object_set_new(group, dot + 1, j);
		free(head);
	}
	return root;
}

/* Read back what settings_to_json wrote. */
bool settings_from_json(const json_t *j, struct settings *s, struct error *e)
{
	return settings_read(j, "recording", true, s, e);
}
