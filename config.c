#include "config.h"

#include <stdlib.h>
#include <string.h>

#define SHARE_MAX 1000000
#define LIMIT_MAX 1000000
#define GRACE_MAX_MS 3600000
#define POOLS_MAX 4096
#define TEAMS_MAX 16384

/*
 * Reads an integer from 0 to max.  Returns fallback if the member is missing or
 * invalid.
 */
static uint32_t config_read_number(const json_t *o, const char *name,
				   uint32_t max, uint32_t fallback,
				   const char *path, struct error *e)
{
	const json_t *j = json_object_get(o, name);
	char *member_path;

	if (!j)
		return fallback;
	if (json_is_integer(j) && json_integer_value(j) >= 0 &&
	    json_integer_value(j) <= max)
		return (uint32_t)json_integer_value(j);
	member_path = xasprintf("%s.%s", path, name);
	error_add(e, member_path, "expected a whole number from 0 to %u", max);
	free(member_path);
	return fallback;
}

/* Reports unknown members, which are most often misspelt. */
static void config_check_members(const json_t *o, const char *const *known,
				 const char *path, struct error *e)
{
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach((json_t *)o, name, value) {
		for (i = 0; known[i]; i++)
			if (!strcmp(known[i], name))
				break;
		if (!known[i])
			error_add(e, path, "unknown member '%s'", name);
	}
}

/*
 * Returns true if a name can be part of a row's key; adds a finding otherwise.
 */
static bool config_check_name(const char *name, const char *path,
			      struct error *e)
{
	if (bstr_is_name(bstr_lit(name), NAME_MAX_LEN))
		return true;
	error_add(e, path,
		  "'%s' is no name: expected 1 to %d of a-z 0-9 . _ -, "
		  "the first a letter or digit",
		  name, NAME_MAX_LEN);
	return false;
}

/*
 * Returns a member that is an object, or NULL if it is missing or has another
 * type.  Jansson's functions treat NULL as an empty object.
 */
static const json_t *config_read_object(const json_t *o, const char *name,
					const char *path, struct error *e)
{
	const json_t *j = json_object_get(o, name);

	if (!j || json_is_object(j))
		return j;
	error_add(e, path, "expected '%s' to be an object", name);
	return NULL;
}

/* Reads the data centres of a pool. */
static void config_read_dcs(struct pool *p, const json_t *o, const char *path,
			    struct error *e)
{
	const json_t *dcs = json_object_get(o, "dcs"), *dc;
	size_t i;

	if (!json_is_array(dcs) || !json_array_size(dcs) ||
	    json_array_size(dcs) > 64) {
		error_add(e, path, "expected 'dcs' with 1 to 64 names");
		return;
	}
	p->dcs = xcalloc(json_array_size(dcs), sizeof(*p->dcs));
	json_array_foreach((json_t *)dcs, i, dc) {
		if (!json_is_string(dc) ||
		    !config_check_name(json_string_value(dc), path, e)) {
			error_add(e, path, "dcs[%zu] is no name", i);
			continue;
		}
		p->dcs[p->dc_count++] = bstr_from_json(dc);
	}
}

/* Reads a pool and adds it to the configuration. */
static void config_read_pool(struct config *c, const char *name,
			     const json_t *o, struct error *e)
{
	static const char *const known[] = {"dcs", "budget", "spare", NULL};
	char *path = xasprintf("$.pools.%s", name);
	const json_t *spare;
	struct pool *p;

	if (!json_is_object(o)) {
		error_add(e, path, "expected an object");
	} else if (config_check_name(name, path, e)) {
		config_check_members(o, known, path, e);
		p = xcalloc(1, sizeof(*p));
		p->name = bstr_new(name);
		p->budget = config_read_number(o, "budget", LIMIT_MAX, 1, path,
					       e);
		spare = json_object_get(o, "spare");
		if (spare && !json_is_boolean(spare))
			error_add(e, path, "expected 'spare' true or false");
		p->spare = json_is_true(spare);
		config_read_dcs(p, o, path, e);
		HASH_ADD_KEYPTR(hh, c->pools, p->name.bstr_val,
				p->name.bstr_len, p);
	}
	free(path);
}

/* Decodes a member in base64, which must not be empty. */
static bstr config_read_bytes(const json_t *o, const char *name,
			      const char *path, struct error *e)
{
	bstr text = bstr_from_json(json_object_get(o, name)), bytes;

	if (!text.bstr_len || !base64_decode(text, &bytes)) {
		error_add(e, path, "expected '%s' in base64", name);
		bytes = BSTR_NONE;
	}
	bstr_free(&text);
	return bytes;
}

/* Reads a key of a team; key ids are unique across teams. */
static void config_read_key(struct config *c, struct team *t, const char *id,
			    const json_t *o, struct error *e)
{
	static const char *const known[] = {"salt", "hash", "withdrawn", NULL};
	char *path = xasprintf("$.teams.%.*s.keys.%s", BSTR_ARG(t->name), id);
	struct team_key *k;

	config_check_members(o, known, path, e);
	k = config_find_key(c, bstr_lit(id));
	if (k) {
		error_add(e, path, "key '%s' is team %.*s's already", id,
			  BSTR_ARG(k->team->name));
	} else if (config_check_name(id, path, e)) {
		k = xcalloc(1, sizeof(*k));
		k->id = bstr_new(id);
		k->team = t;
		k->salt = config_read_bytes(o, "salt", path, e);
		k->hash = config_read_bytes(o, "hash", path, e);
		k->withdrawn = json_is_true(json_object_get(o, "withdrawn"));
		HASH_ADD_KEYPTR(hh, c->keys, k->id.bstr_val, k->id.bstr_len, k);
	}
	free(path);
}

/* Reads a team with its keys and adds it to the configuration. */
static void config_read_team(struct config *c, const char *name,
			     const json_t *o, struct error *e)
{
	static const char *const known[] = {"share", "limit", "grace_ms",
					    "keys", NULL};
	char *path = xasprintf("$.teams.%s", name);
	struct team *t;
	const char *id;
	json_t *key;

	if (!json_is_object(o)) {
		error_add(e, path, "expected an object");
	} else if (config_check_name(name, path, e)) {
		config_check_members(o, known, path, e);
		t = xcalloc(1, sizeof(*t));
		t->name = bstr_new(name);
		t->share = config_read_number(o, "share", SHARE_MAX, 1, path,
					      e);
		t->limit = config_read_number(o, "limit", LIMIT_MAX, 0, path,
					      e);
		t->grace_ms = config_read_number(o, "grace_ms", GRACE_MAX_MS, 0,
						 path, e);
		HASH_ADD_KEYPTR(hh, c->teams, t->name.bstr_val,
				t->name.bstr_len, t);
		json_object_foreach(
			(json_t *)config_read_object(o, "keys", path, e), id,
			key)
			config_read_key(c, t, id, key, e);
	}
	free(path);
}

/*
 * Validates a document and returns its configuration, which holds a reference
 * to it.  Returns NULL and adds findings if it is invalid.
 */
struct config *config_new(json_t *doc, uint64_t revision, struct error *e)
{
	static const char *const known[] = {"pools", "teams", NULL};
	struct config *c = xcalloc(1, sizeof(*c));
	const json_t *pools, *teams;
	unsigned findings_before = e->count;
	const char *name;
	json_t *o;

	c->revision = revision;
	c->doc = json_incref(doc);
	if (!json_is_object(doc)) {
		error_add(e, "$", "expected an object");
	} else {
		config_check_members(doc, known, "$", e);
		pools = config_read_object(doc, "pools", "$", e);
		teams = config_read_object(doc, "teams", "$", e);
		if (json_object_size(pools) > POOLS_MAX)
			error_add(e, "$.pools", "more than %d", POOLS_MAX);
		if (json_object_size(teams) > TEAMS_MAX)
			error_add(e, "$.teams", "more than %d", TEAMS_MAX);
		json_object_foreach((json_t *)pools, name, o)
			config_read_pool(c, name, o, e);
		json_object_foreach((json_t *)teams, name, o)
			config_read_team(c, name, o, e);
	}
	if (e->count == findings_before)
		return c;
	config_free(c);
	return NULL;
}

/* Parses and validates the text of a document, like config_new. */
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

/* Frees a configuration; NULL is allowed. */
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

/*
 * Returns the text of a document in canonical form: compact, with members
 * sorted by name.
 */
bstr config_canonical_text(const json_t *doc)
{
	char *s = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
	bstr b = bstr_new(s ? s : "{}");

	free(s);
	return b;
}

/* Returns a pool by its name, or NULL. */
struct pool *config_find_pool(const struct config *c, bstr name)
{
	struct pool *p = NULL;

	if (c)
		HASH_FIND(hh, c->pools, name.bstr_val, name.bstr_len, p);
	return p;
}

/* Returns a team by its name, or NULL. */
struct team *config_find_team(const struct config *c, bstr name)
{
	struct team *t = NULL;

	if (c)
		HASH_FIND(hh, c->teams, name.bstr_val, name.bstr_len, t);
	return t;
}

/* Returns a team's key by its id, or NULL. */
struct team_key *config_find_key(const struct config *c, bstr id)
{
	struct team_key *k = NULL;

	if (c)
		HASH_FIND(hh, c->keys, id.bstr_val, id.bstr_len, k);
	return k;
}

/* Appends a difference to the list; a missing value becomes null. */
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

/*
 * Appends the differences between two values; objects are compared by member.
 */
static void diff_values(json_t *out, const char *path, const json_t *from,
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
		diff_values(out, sub, value, json_object_get(to, name));
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

/*
 * Returns the differences between two documents, as a list of objects with
 * path, from and to.
 */
json_t *config_diff(const json_t *from, const json_t *to)
{
	json_t *out = json_array();

	diff_values(out, "$", from, to);
	return out;
}
