#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../entry-settings.h"
#include "settings.h"

#define KEY32 "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char base[] =
	"{\"vm\": \"e1\", \"dc\": \"east\","
	" \"callers\": {\"listen\": \"127.0.0.1:0\"},"
	" \"operators\": {\"listen\": \"127.0.0.1:0\","
	"  \"keys\": {\"ann\": \"" KEY32 "\"}},"
	" \"peers\": {\"listen\": \"127.0.0.1:0\", \"key\": \"" KEY32 "\"},"
	" \"platform\": {\"url\": \"http://127.0.0.1:80\","
	"  \"token\": \"hush\"}}";

/* Returns the base with one member set to a JSON text, or removed for NULL. */
static char *base_with(const char *path, const char *value)
{
	json_t *root = json_loads(base, 0, NULL), *group = root;
	const char *dot = strchr(path, '.');
	char head[64], *text;

	if (dot) {
		snprintf(head, sizeof(head), "%.*s", (int)(dot - path), path);
		if (!json_object_get(root, head))
			json_object_set_new(root, head, json_object());
		group = json_object_get(root, head);
		path = dot + 1;
	}
	if (value)
		json_object_set_new(group, path,
				    json_loads(value, JSON_DECODE_ANY, NULL));
	else
		json_object_del(group, path);
	text = json_dumps(root, 0);
	json_decref(root);
	return text;
}

/* Parses settings and returns the findings as one line; empty: none. */
static char *parse_findings(const char *text, struct settings *s)
{
	struct error e;
	char *line;
	bool ok;

	error_init(&e);
	ok = settings_parse("f", text, strlen(text), s, &e);
	cr_expect_eq(ok, !e.count);
	line = error_text(&e);
	error_free(&e);
	return line;
}

/* For a wrong value the finding names its path and what was expected. */
Test(settings, wrong)
{
	static const struct {
		const char *path, *value, *finding;
	} cases[] = {
		{"vm", NULL, "f: $.vm: missing"},
		{"vm", "\"\"", "f: $.vm: expected a name"},
		{"vm", "\"E1\"", "f: $.vm: expected a name"},
		{"vm", "7", "f: $.vm: expected a name"},
		{"dc", "null", "f: $.dc: expected a name"},
		{"wm", "1", "f: $.wm: unknown key"},
		{"callers", "[]", "f: $.callers: expected an object"},
		{"callers.listen", NULL, "f: $.callers.listen: missing"},
		{"callers.listen", "\"localhost:80\"", "expected an address"},
		{"callers.listen", "\"127.0.0.1\"", "expected an address"},
		{"callers.listen", "\"127.0.0.1:\"", "expected an address"},
		{"callers.listen", "\"127.0.0.1:65536\"",
		 "expected an address"},
		{"callers.listen", "\"127.0.0.1:8x\"", "expected an address"},
		{"callers.listen", "\"::1:80x\"", "expected an address"},
		{"callers.tls_cert", "\"/no/such\"", "expected the name of a"},
		{"callers.threads", "0",
		 "$.callers.threads: expected a whole "
		 "number from 1 to 64 threads"},
		{"callers.threads", "65", "$.callers.threads: expected"},
		{"callers.threads", "-1", "$.callers.threads: expected"},
		{"callers.threads", "1.5", "$.callers.threads: expected"},
		{"callers.threads", "\"4\"", "$.callers.threads: expected"},
		{"callers.max_body", "1048577", "$.callers.max_body: expected"},
		{"callers.port", "80", "f: $.callers.port: unknown key"},
		{"operators.keys", NULL, "f: $.operators.keys: missing"},
		{"operators.keys", "{}", "expected an object"},
		{"operators.keys", "{\"Ann\": \"" KEY32 "\"}",
		 "$.operators.keys.Ann: expected a name"},
		{"operators.keys", "{\"ann\": \"00\"}",
		 "$.operators.keys.ann: expected 64 hexadecimal digits"},
		{"operators.keys", "{\"ann\": \"" KEY32 "0\"}",
		 "$.operators.keys.ann: expected 64"},
		{"peers.key", "\"zz\"", "$.peers.key: expected 64"},
		{"peers.listen", "\"0.0.0.0:9\"", "not the wildcard"},
		{"peers.listen", "\"[::]:9\"", "not the wildcard"},
		{"platform.url", "\"ftp://x\"", "$.platform.url: expected a"},
		{"platform.url", "\"http://x/\"", "without a final slash"},
		{"platform.token", "\"\"", "$.platform.token: expected"},
		{"platform.token", "\"a\\nb\"", "$.platform.token: expected"},
		{"workers.max_connections", "65", "from 2 to 64 connections"},
		{"log_level", "\"loud\"", "$.log_level: expected err, warn"},
		{"seed", "9", "$.seed: unknown key"},
		{"timing.member_renew_ms", "2000",
		 "$.timing.member_lease_ms: expected more than twice "
		 "timing.member_renew_ms (4000 ms)"},
		{"platform.timeout_ms", "2500",
		 "$.timing.member_lease_ms: expected more than "
		 "timing.member_renew_ms + platform.timeout_ms (4000 ms)"},
		{"timing.ping_ms", "1500", "$.timing.fresh_ms: expected more"},
		{"timing.config_poll_ms", "2000", "$.timing.fresh_ms: expect"},
		{"workers.watch_ms", "8000", "$.timing.task_lease_ms: expect"},
		{"timing.member_lease_ms", "10000",
		 "$.timing.task_lease_ms: expected"},
		{"timing.tick_ms", "500", "$.timing.ping_ms: expected"},
		{"limits.queue_per_team", "10001",
		 "$.limits.queue_per_team: expected at most"},
		{"callers.tls_key", "\"/dev/null\"",
		 "tls_key together or neither"},
	};
	struct settings s;
	char *text, *line;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		text = base_with(cases[i].path, cases[i].value);
		line = parse_findings(text, &s);
		cr_expect(strstr(line, cases[i].finding),
			  "%s: '%s' is not in '%s'", cases[i].path,
			  cases[i].finding, line);
		settings_free(&s);
		free(line);
		free(text);
	}
}

/* Both ends of each number's range are accepted, values beyond are not. */
Test(settings, ranges)
{
	struct settings s;
	size_t i, k;

	for (i = 0; i < settings_count; i++) {
		const struct setting *t = &settings_table[i];
		uint64_t at[] = {t->min, t->max, t->min - 1, t->max + 1};
		char value[32], *text, *line, *expected;

		if (t->type != SETTING_U32)
			continue;
		expected = xasprintf("%s: expected a whole number", t->path);
		for (k = 0; k < NELEMS(at); k++) {
			if (k == 2 && !t->min)
				continue;
			snprintf(value, sizeof(value), "%llu",
				 (unsigned long long)at[k]);
			text = base_with(t->path, value);
			line = parse_findings(text, &s);
			cr_expect_eq(!strstr(line, expected), k < 2,
				     "%s %s: %s", t->path, value, line);
			settings_free(&s);
			free(line);
			free(text);
		}
		free(expected);
	}
}

/* All findings are reported at once. */
Test(settings, together)
{
	struct settings s;
	struct error e;
	const char text[] = "{\"dc\": 1, \"x\": 1, \"timing\": "
			    "{\"tick_ms\": 0, \"y\": 2}}";
	char *line;

	error_init(&e);
	cr_expect_not(settings_parse("f", text, strlen(text), &s, &e));
	line = error_text(&e);
	cr_expect_eq(e.count, 11, "%s", line);
	free(line);
	error_free(&e);
}

/* Texts that aren't valid JSON objects, and files that can't be read. */
Test(settings, unreadable)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		"7",
		"{\"vm\": \"a\", \"vm\": \"b\"}",
		"{} {}",
		"{\"vm\": \"\xff\"}",
	};
	char path[] = "/tmp/test-settings-XXXXXX";
	struct settings s;
	struct error e;
	size_t i;
	char *line;
	FILE *f;

	for (i = 0; i < NELEMS(texts); i++) {
		line = parse_findings(texts[i], &s);
		cr_expect(*line, "%s", texts[i]);
		free(line);
	}
	error_init(&e);
	cr_expect_not(settings_load("/no/such/file", &s, &e));
	cr_expect_not(settings_load("/", &s, &e));
	f = fdopen(mkstemp(path), "w");
	for (i = 0; i <= 1048576; i++)
		fputc(' ', f);
	fclose(f);
	cr_expect_not(settings_load(path, &s, &e));
	cr_expect_eq(e.count, 3);
	error_free(&e);
	remove(path);
}

/* Given values are kept; the others have their defaults. */
Test(settings, good)
{
	struct settings s;
	char *line = parse_findings(base, &s);
	size_t i;

	cr_assert(!*line, "%s", line);
	free(line);
	cr_expect(bstr_eq_str(s.vm, "e1"));
	cr_expect_str_eq(s.callers.listen.host, "127.0.0.1");
	cr_expect_str_eq(s.platform.token, "hush");
	cr_expect_eq(s.operators.key_count, 1);
	cr_expect_str_eq(s.operators.keys[0].name, "ann");
	cr_expect_eq(s.operators.keys[0].key[31], 0x1f);
	cr_expect_eq(s.peers.key[1], 1);
	cr_expect_eq(s.log_level, LEVEL_INFO);
	for (i = 0; i < settings_count; i++) {
		const struct setting *t = &settings_table[i];

		if (t->type == SETTING_U32)
			cr_expect_eq(
				*(uint32_t *)(void *)((char *)&s + t->offset),
				t->default_value, "%s", t->path);
	}
	settings_free(&s);
}

/* The copy for a recording has names and numbers, but no secrets. */
Test(settings, public)
{
	struct settings s, t;
	struct error e;
	char *line = parse_findings(base, &s), *text;
	json_t *j;

	error_init(&e);
	s.timing.tick_ms = 77;
	s.limits.attempts = 9;
	j = settings_to_json(&s);
	text = json_dumps(j, 0);
	cr_expect_not(strstr(text, "hush"));
	cr_expect_not(strstr(text, "00010203"));
	cr_assert(settings_from_json(j, &t, &e));
	cr_expect(bstr_eq(t.dc, s.dc));
	cr_expect_eq(t.timing.tick_ms, 77);
	cr_expect_eq(t.limits.attempts, 9);
	free(text);
	free(line);
	json_decref(j);
	settings_free(&s);
	settings_free(&t);
	error_free(&e);
}

/* The limits of clients on the platform: default, range and type. */
Test(entry_settings, limits_of_clients)
{
	static const struct {
		const char *more;
		unsigned errors;
		uint32_t memory_mb, receive_ms;
	} cases[] = {
		{"", 0, 160, 30000},
		{", \"memory_mb\": 16, \"receive_ms\": 1000", 0, 16, 1000},
		{", \"memory_mb\": 512.0", 0, 512, 30000},
		{", \"memory_mb\": 15", 1, 0, 0},
		{", \"memory_mb\": \"64\"", 1, 0, 0},
		{", \"receive_ms\": 999", 1, 0, 0},
		{", \"receive_ms\": 600001", 1, 0, 0},
		{", \"memory_mb\": -1, \"receive_ms\": null", 2, 0, 0},
	};
	char path[] = "/tmp/test-settings-XXXXXX";
	struct entry_settings got;
	struct error e;
	char *file;
	size_t i;
	FILE *f;

	cr_assert(mkdtemp(path));
	file = xasprintf("%s/s.json", path);
	for (i = 0; i < NELEMS(cases); i++) {
		f = fopen(file, "we");
		fprintf(f,
			"{\"vm\": \"a\", \"dc\": \"b\", "
			"\"callers\": \"127.0.0.1:1\", "
			"\"readiness\": \"127.0.0.1:2\", "
			"\"store\": \"127.0.0.1:3\", "
			"\"machines\": \"127.0.0.1:3\"%s}",
			cases[i].more);
		fclose(f);
		error_init(&e);
		cr_expect_eq(entry_settings_load(file, &got, &e),
			     !cases[i].errors, "case %zu", i);
		cr_expect_eq(e.count, cases[i].errors, "case %zu", i);
		if (!cases[i].errors) {
			cr_expect_eq(got.front.memory_mb, cases[i].memory_mb);
			cr_expect_eq(got.front.receive_ms, cases[i].receive_ms);
		}
		entry_settings_free(&got);
		error_free(&e);
	}
	remove(file);
	rmdir(path);
	free(file);
}
