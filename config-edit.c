#include "config.h"

#include <stdlib.h>

/* The arguments of an edit, and the reason and detail if it fails. */
struct edit_ctx {
	json_t *doc;
	const op_request *rq;
	const char *reason;
	bstr detail;
};

/* Returns a member that is an object; creates it if it is missing. */
static json_t *edit_get_object(json_t *doc, const char *name)
{
	json_t *o = json_object_get(doc, name);

	if (!o) {
		o = json_object();
		json_object_set_new(doc, name, o);
	}
	return o;
}

/* Returns a member by its name, or NULL. */
static json_t *edit_get(json_t *o, bstr name)
{
	char *s = bstr_cstr(name);
	json_t *j = json_object_get(o, s);

	free(s);
	return j;
}

/* Sets a member; takes over the reference to value. */
static void edit_set(json_t *o, bstr name, json_t *value)
{
	char *s = bstr_cstr(name);

	json_object_set_new(o, s, value);
	free(s);
}

/* Removes a member. */
static void edit_remove(json_t *o, bstr name)
{
	char *s = bstr_cstr(name);

	json_object_del(o, s);
	free(s);
}

/* Fails an edit because what it names does not exist. */
static op_status edit_not_found(struct edit_ctx *ctx, const char *what,
				bstr name)
{
	ctx->reason = "not-found";
	ctx->detail = bstr_printf("there is no %s '%.*s'", what,
				  BSTR_ARG(name));
	return OP_NOT_FOUND;
}

/* Fails an edit because what it creates exists already. */
static op_status edit_exists(struct edit_ctx *ctx, const char *what, bstr name)
{
	ctx->reason = "exists";
	ctx->detail = bstr_printf("there is a %s '%.*s' already", what,
				  BSTR_ARG(name));
	return OP_CONFLICT;
}

/* Creates or removes a pool, or sets its budget. */
static op_status edit_pool(struct edit_ctx *ctx)
{
	const op_pool *p = &ctx->rq->op_request_u.pool;
	json_t *pools = edit_get_object(ctx->doc, "pools"), *o, *dcs;
	u_int i;

	o = edit_get(pools, p->pool);
	if (ctx->rq->kind == OP_POOL_CREATE) {
		if (o)
			return edit_exists(ctx, "pool", p->pool);
		o = json_object();
		dcs = json_array();
		for (i = 0; i < p->dcs.dcs_len; i++)
			json_array_append_new(dcs,
					      bstr_to_json(p->dcs.dcs_val[i]));
		json_object_set_new(o, "dcs", dcs);
		json_object_set_new(o, "budget", json_integer(p->budget));
		json_object_set_new(o, "spare", json_boolean(p->spare));
		edit_set(pools, p->pool, o);
		return OP_OK;
	}
	if (!o)
		return edit_not_found(ctx, "pool", p->pool);
	if (ctx->rq->kind == OP_POOL_REMOVE)
		edit_remove(pools, p->pool);
	else
		json_object_set_new(o, "budget", json_integer(p->budget));
	return OP_OK;
}

/* Creates or removes a team, or sets its share, limit or grace period. */
static op_status edit_team(struct edit_ctx *ctx)
{
	const op_team *t = &ctx->rq->op_request_u.team;
	json_t *teams = edit_get_object(ctx->doc, "teams"), *o;

	o = edit_get(teams, t->team);
	if (ctx->rq->kind == OP_TEAM_CREATE) {
		if (o)
			return edit_exists(ctx, "team", t->team);
		o = json_object();
		json_object_set_new(o, "share", json_integer(t->share));
		json_object_set_new(o, "limit", json_integer(t->limit));
		json_object_set_new(o, "grace_ms", json_integer(t->grace_ms));
		json_object_set_new(o, "keys", json_object());
		edit_set(teams, t->team, o);
		return OP_OK;
	}
	if (!o)
		return edit_not_found(ctx, "team", t->team);
	if (ctx->rq->kind == OP_TEAM_REMOVE)
		edit_remove(teams, t->team);
	else if (ctx->rq->kind == OP_TEAM_SHARE)
		json_object_set_new(o, "share", json_integer(t->share));
	else if (ctx->rq->kind == OP_TEAM_LIMIT)
		json_object_set_new(o, "limit", json_integer(t->limit));
	else
		json_object_set_new(o, "grace_ms", json_integer(t->grace_ms));
	return OP_OK;
}

/* Returns true if any team has a key with this id. */
static bool edit_key_exists(json_t *teams, bstr id)
{
	const char *name;
	json_t *team;

	json_object_foreach(teams, name, team) {
		if (edit_get(json_object_get(team, "keys"), id))
			return true;
	}
	return false;
}

/*
 * Creates or withdraws a key.  A withdrawn key stays in the document, so that
 * its id is never reused for another secret.  Withdrawing it again succeeds,
 * because an operator repeats the request if the first answer was lost.
 */
static op_status edit_key(struct edit_ctx *ctx)
{
	const op_key *k = &ctx->rq->op_request_u.key;
	json_t *teams = edit_get_object(ctx->doc, "teams"), *team, *keys, *o;
	bstr salt, hash;

	team = edit_get(teams, k->team);
	if (!team)
		return edit_not_found(ctx, "team", k->team);
	keys = edit_get_object(team, "keys");
	if (ctx->rq->kind == OP_KEY_CREATE) {
		if (edit_key_exists(teams, k->key_id))
			return edit_exists(ctx, "key", k->key_id);
		o = json_object();
		salt = base64_encode(k->salt);
		hash = base64_encode(k->hash);
		json_object_set_new(o, "salt", bstr_to_json(salt));
		json_object_set_new(o, "hash", bstr_to_json(hash));
		bstr_free(&salt);
		bstr_free(&hash);
		json_object_set_new(o, "withdrawn", json_false());
		edit_set(keys, k->key_id, o);
		return OP_OK;
	}
	o = edit_get(keys, k->key_id);
	if (!o)
		return edit_not_found(ctx, "key", k->key_id);
	json_object_set_new(o, "withdrawn", json_true());
	return OP_OK;
}

/* Replaces the whole document, if the new one is valid. */
static op_status edit_apply(struct edit_ctx *ctx)
{
	const op_config *oc = &ctx->rq->op_request_u.config;
	struct config *c;
	struct error e;
	char *text;

	error_init(&e);
	c = config_parse(oc->body, 0, &e);
	if (!c) {
		text = error_text(&e);
		ctx->reason = "config-invalid";
		ctx->detail = bstr_new(text);
		free(text);
		error_free(&e);
		return OP_INVALID;
	}
	json_object_clear(ctx->doc);
	json_object_update(ctx->doc, c->doc);
	config_free(c);
	return OP_OK;
}

static const struct {
	op_kind kind;
	op_status (*exec)(struct edit_ctx *ctx);
} edits[] = {
	{OP_POOL_CREATE, edit_pool},   {OP_POOL_REMOVE, edit_pool},
	{OP_POOL_BUDGET, edit_pool},   {OP_TEAM_CREATE, edit_team},
	{OP_TEAM_REMOVE, edit_team},   {OP_TEAM_SHARE, edit_team},
	{OP_TEAM_LIMIT, edit_team},    {OP_TEAM_GRACE, edit_team},
	{OP_KEY_CREATE, edit_key},     {OP_KEY_WITHDRAW, edit_key},
	{OP_CONFIG_APPLY, edit_apply},
};

/* Returns true if requests of this kind change the configuration. */
bool config_is_edit(op_kind kind)
{
	size_t i;

	for (i = 0; i < NELEMS(edits); i++)
		if (edits[i].kind == kind)
			return true;
	return false;
}

/*
 * Applies a change to doc and validates the result as a whole.  On failure sets
 * reason and detail; doc may have been changed then.
 */
op_status config_edit(json_t *doc, const op_request *rq, const char **reason,
		      bstr *detail)
{
	struct edit_ctx ctx = {doc, rq, "", BSTR_NONE};
	op_status status = OP_INVALID;
	struct config *c;
	struct error e;
	char *text;
	size_t i;

	for (i = 0; i < NELEMS(edits); i++)
		if (edits[i].kind == rq->kind)
			status = edits[i].exec(&ctx);
	if (status == OP_OK) {
		error_init(&e);
		c = config_new(doc, 0, &e);
		if (!c) {
			text = error_text(&e);
			status = OP_INVALID;
			ctx.reason = "config-invalid";
			ctx.detail = bstr_new(text);
			free(text);
		}
		config_free(c);
		error_free(&e);
	}
	*reason = ctx.reason;
	*detail = ctx.detail;
	return status;
}
