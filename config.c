#include "config.h"

#include <stdlib.h>
#include <string.h>

#define SHARE_MAX 1000000
#define LIMIT_MAX 1000000
#define GRACE_MAX_MS 3600000
#define POOLS_MAX 4096
#define TEAMS_MAX 16384

/* Read a bounded whole number; absent gives the default. */
static uint32_t config_number(const json_t *o, const char *name, uint32_t max,
			      uint32_t fallback, const char *place,
			      struct error *e)
{
	const json_t *j = json_object_get(o, name);
	char *at;

	if (!j)
		return fallback;
	if (json_is_integer(j) && json_integer_value(j) >= 0 &&
	    json_integer_value(j) <= max)
		return (uint32_t)json_integer_value(j);
	at = xasprintf("%s.%s", place, name);
	error_add(e, at, "expected a whole number from 0 to %u", max);
	free(at);
	return fallback;
}

/* Report members that have no meaning: most often a misspelt name. */
static void config_unknown(const json_t *o, const char *const *known,
			   const char *place, struct error *e)
{
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach((json_t *)o, name, value) {
		for (i = 0; known[i]; i++)
			if (!strcmp(known[i], name))
				break;
		if (!known[i])
			error_add(e, place, "unknown member '%s'", name);
	}
}

/* Check that a member name can be part of a row's key. */
static bool config_name(const char *name, const char *place, struct error *e)
{
	if (bstr_is_name(bstr_lit(name), NAME_MAX_LEN))
		return true;
	error_add(e, place,
		  "'%s' is no name: expected 1 to %d of a-z 0-9 . _ -, "
		  "the first a letter or digit",
		  name, NAME_MAX_LEN);
	return false;
}

/* Read a member as an object, an empty one if it is absent. */
static const json_t *config_object(const json_t *o, const char *name,
				   const char *place, struct error *e)
{
	const json_t *j = json_object_get(o, name);

	if (!j || json_is_object(j))
		return j;
	error_add(e, place, "expected '%s' to be an object", name);
	return NULL;
}

/* Read a pool's data centres. */
static void config_dcs(struct pool *p, const json_t *o, const char *place,
		       struct error *e)
{
	const json_t *dcs = json_object_get(o, "dcs"), *dc;
	size_t i;

	if (!json_is_array(dcs) || !json_array_size(dcs) ||
	    json_array_size(dcs) > 64) {
		error_add(e, place, "expected 'dcs' with 1 to 64 names");
		return;
	}
	p->dcs = xcalloc(json_array_size(dcs), sizeof(*p->dcs));
	json_array_foreach((json_t *)dcs, i, dc) {
		if (!json_is_string(dc) ||
		    !config_name(json_string_value(dc), place, e)) {
			error_add(e, place, "dcs[%zu] is no name", i);
			continue;
		}
		p->dcs[p->dc_count++] = bstr_from_json(dc);
	}
}

/* Read one pool. */
static void config_read_pool(struct config *c, const char *name,
			     const json_t *o, struct error *e)
{
	static const char *const known[] = {"dcs", "budget", "spare", NULL};
	char *place = xasprintf("$.pools.%s", name);
	const json_t *spare;
	struct pool *p;

	if (!json_is_object(o)) {
		error_add(e, place, "expected an object");
	} else if (config_name(name, place, e)) {
		config_unknown(o, known, place, e);
		p = xcalloc(1, sizeof(*p));
		p->name = bstr_new(name);
		p->budget = config_number(o, "budget", LIMIT_MAX, 1, place, e);
		spare = json_object_get(o, "spare");
		if (spare && !json_is_boolean(spare))
			error_add(e, place, "expected 'spare' true or false");
		p->spare = json_is_true(spare);
		config_dcs(p, o, place, e);
		HASH_ADD_KEYPTR(hh, c->pools, p->name.bstr_val,
				p->name.bstr_len, p);
	}
	free(place);
}

/* Read a member in base64. */
static bstr config_bytes(const json_t *o, const char *name, const char *place,
			 struct error *e)
{
	bstr text = bstr_from_json(json_object_get(o, name)), bytes;

	if (!text.bstr_len || !base64_decode(text, &bytes)) {
		error_add(e, place, "expected '%s' in base64", name);
		bytes = BSTR_NONE;
	}
	bstr_free(&text);
	return bytes;
}

/* Read one key of a team. */
static void config_read_key(struct config *c, struct team *t, const char *id,
			    const json_t *o, struct error *e)
{
	static const char *const known[] = {"salt", "hash", "withdrawn", NULL};
	char *place = xasprintf("$.teams.%.*s.keys.%s", BSTR_ARG(t->name), id);
	struct team_key *k;

	config_unknown(o, known, place, e);
	k = config_find_key(c, bstr_lit(id));
	if (k) {
		error_add(e, place, "key '%s' is team %.*s's already", id,
			  BSTR_ARG(k->team->name));
	} else if (config_name(id, place, e)) {
		k = xcalloc(1, sizeof(*k));
		k->id = bstr_new(id);
		k->team = t;
		k->salt = config_bytes(o, "salt", place, e);
		k->hash = config_bytes(o, "hash", place, e);
		k->withdrawn = json_is_true(json_object_get(o, "withdrawn"));
		HASH_ADD_KEYPTR(hh, c->keys, k->id.bstr_val, k->id.bstr_len, k);
	}
	free(place);
}

/* Read one team with its keys. */
static void config_read_team(struct config *c, const char *name,
			     const json_t *o, struct error *e)
{
	static const char *const known[] = {"share", "limit", "grace_ms",
					    "keys", NULL};
	char *place = xasprintf("$.teams.%s", name);
	struct team *t;
	const char *id;
	json_t *key;

	if (!json_is_object(o)) {
		error_add(e, place, "expected an object");
	} else if (config_name(name, place, e)) {
		config_unknown(o, known, place, e);
		t = xcalloc(1, sizeof(*t));
		t->name = bstr_new(name);
		t->share = config_number(o, "share", SHARE_MAX, 1, place, e);
		t->limit = config_number(o, "limit", LIMIT_MAX, 0, place, e);
		t->grace_ms = config_number(o, "grace_ms", GRACE_MAX_MS, 0,
					    place, e);
		HASH_ADD_KEYPTR(hh, c->teams, t->name.bstr_val,
				t->name.bstr_len, t);
		json_object_foreach(
			(json_t *)config_object(o, "keys", place, e), id, key)
			config_read_key(c, t, id, key, e);
	}
	free(place);
}

/* Check a document and make a configuration of it. */
struct config *config_new(json_t *doc, uint64_t revision, struct error *e)
{
	static const char *const known[] = {"pools", "teams", NULL};
	struct config *c = xcalloc(1, sizeof(*c));
	const json_t *pools, *teams;
	unsigned before = e->count;
	const char *name;
	json_t *o;

	c->revision = revision;
	c->doc = json_incref(doc);
	if (!json_is_object(doc)) {
		error_add(e, "$", "expected an object");
	} else {
		config_unknown(doc, known, "$", e);
		pools = config_object(doc, "pools", "$", e);
		teams = config_object(doc, "teams", "$", e);
		if (json_object_size(pools) > POOLS_MAX)
			error_add(e, "$.pools", "more than %d", POOLS_MAX);
		if (json_object_size(teams) > TEAMS_MAX)
			error_add(e, "$.teams", "more than %d", TEAMS_MAX);
		json_object_foreach((json_t *)pools, name, o)
			config_read_pool(c, name, o, e);
		json_object_foreach((json_t *)teams, name, o)
			config_read_team(c, name, o, e);
	}
	if (e->count == before)
		return c;
	config_free(c);
	return NULL;
}

/* Parse and check. */
struct config *config_parse(bstr text, uint64_t revision, struct error *e)
{
	struct config *c;
	json_error_t je;
	json_t *doc;

	doc = json_loadb(text.bstr_val ? text.bstr_val : "", text.bstr_len,
			 JSON_REJECT_DUPLICATES, &je);
	if (!doc) {
		error_add(e, "$", "line %d: %s", je.line, je.text);
		return NULL;
	}
	c = config_new(doc, revision, e);
	json_decref(doc);
	return c;
}

/* Free a configuration. */
void config_free(struct config *c)
{
	struct team_key *k, *kn;
	struct team *t, *tn;
	struct pool *p, *pn;
	size_t i;

	if (!c)
		return;
	HASH_ITER(hh, c->keys, k, kn) {
		HASH_DEL(c->keys, k);
		bstr_free(&k->id);
		bstr_free(&k->salt);
		bstr_free(&k->hash);
		free(k);
	}
	HASH_ITER(hh, c->teams, t, tn) {
		HASH_DEL(c->teams, t);
		bstr_free(&t->name);
		free(t);
	}
	HASH_ITER(hh, c->pools, p, pn) {
		HASH_DEL(c->pools, p);
		for (i = 0; i < p->dc_count; i++)
			bstr_free(&p->dcs[i]);
		free(p->dcs);
		bstr_free(&p->name);
		free(p);
	}
	json_decref(c->doc);
	free(c);
}

/* The one text of a document, whatever order it was written in. */
bstr config_canonical_text(const json_t *doc)
{
	char *s = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
	bstr b = bstr_new(s ? s : "{}");

	free(s);
	return b;
}

/* Find a pool. */
struct pool *config_find_pool(const struct config *c, bstr name)
{
	struct pool *p = NULL;

	if (c)
		HASH_FIND(hh, c->pools, name.bstr_val, name.bstr_len, p);
	return p;
}

/* Find a team. */
struct team *config_find_team(const struct config *c, bstr name)
{
	struct team *t = NULL;

	if (c)
		HASH_FIND(hh, c->teams, name.bstr_val, name.bstr_len, t);
	return t;
}

/* Find a key. */
struct team_key *config_find_key(const struct config *c, bstr id)
{
	struct team_key *k = NULL;

	if (c)
		HASH_FIND(hh, c->keys, id.bstr_val, id.bstr_len, k);
	return k;
}

/* Add one difference. */
static void diff_add(json_t *out, const char *path, const json_t *from,
		     const json_t *to)
{
	json_t *d = json_object();

	json_object_set_new(d, "path", json_string(path));
	json_object_set_new(d, "from",
			    from ? json_deep_copy(from) : json_null());
	json_object_set_new(d, "to", to ? json_deep_copy(to) : json_null());
	json_array_append_new(out, d);
}

/* Compare two values; objects are compared member by member. */
static void diff_walk(json_t *out, const char *path, const json_t *from,
		      const json_t *to)
{
	const char *name;
	json_t *value;
	char *sub;

	if (json_equal(from, to))
		return;
	if (!json_is_object(from) || !json_is_object(to)) {
		diff_add(out, path, from, to);
		return;
	}
	json_object_foreach((json_t *)from, name, value) {
		sub = xasprintf("%s.%s", path, name);
		diff_walk(out, sub, value, json_object_get(to, name));
		free(sub);
	}
	json_object_foreach((json_t *)to, name, value) {
		if (json_object_get(from, name))
			continue;
		sub = xasprintf("%s.%s", path, name);
		diff_add(out, sub, NULL, value);
		free(sub);
	}
}

/* List what differs between two documents. */
json_t *config_diff(const json_t *from, const json_t *to)
{
	json_t *out = json_array();

	diff_walk(out, "$", from, to);
	return out;
}
