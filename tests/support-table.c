#include "support-table.h"
#include "../config.h"

#include <stdlib.h>
#include <string.h>

struct fake_txn {
	char *id;
	ev_platform answer;
	UT_hash_handle hh;
};

/* Returns the row or object with a key, or NULL. */
struct fake_row *fake_row_get(struct fake_row *rows, bstr key)
{
	struct fake_row *r;

	HASH_FIND(hh, rows, key.bstr_val, key.bstr_len, r);
	return r;
}

/* Writes a row or an object. */
static void row_put(struct fake_row **rows, bstr key, uint64_t version,
		    bstr value)
{
	struct fake_row *r = fake_row_get(*rows, key);

	if (!r) {
		r = xcalloc(1, sizeof(*r));
		r->key = bstr_cstr(key);
		HASH_ADD_KEYPTR(hh, *rows, r->key, key.bstr_len, r);
	}
	r->version = version;
	bstr_set(&r->value, value);
}

/* Removes a row or an object. */
static void row_remove(struct fake_row **rows, struct fake_row *r)
{
	HASH_DEL(*rows, r);
	free(r->key);
	bstr_free(&r->value);
	free(r);
}

/* Writes a row outside of a transaction. */
void fake_row_set(struct fake_table *t, bstr key, bstr value)
{
	row_put(&t->rows, key, ++t->version, value);
}

/* Stores an object. */
void fake_object_set(struct fake_table *t, bstr name, bstr body)
{
	row_put(&t->objects, name, 1, body);
}

/*
 * Makes a key of a team, as its configuration has it.  digest gets what a
 * caller's request has.
 */
json_t *fake_key_new(const char *id, bstr *digest)
{
	bstr secret, salt, hash, key_id, salt_text, hash_text;
	json_t *key;

	secret_new(bstr_lit(id), &secret, &salt, &hash);
	secret_split(secret, &key_id, digest);
	salt_text = base64_encode(salt);
	hash_text = base64_encode(hash);
	key = json_pack("{s:o,s:o,s:b}", "salt", bstr_to_json(salt_text),
			"hash", bstr_to_json(hash_text), "withdrawn", 0);
	bstr_free(&secret);
	bstr_free(&salt);
	bstr_free(&hash);
	bstr_free(&key_id);
	bstr_free(&salt_text);
	bstr_free(&hash_text);
	return key;
}

/* Stores a document as the first configuration, with its head row. */
void fake_config_set(struct fake_table *t, const json_t *doc)
{
	json_t *head = json_pack("{s:i,s:s,s:[]}", "revision", 1, "object",
				 "config-1", "history");
	bstr text = config_canonical_text(doc);

	fake_object_set(t, bstr_lit("config-1"), text);
	bstr_free(&text);
	text = config_canonical_text(head);
	fake_row_set(t, bstr_lit("config/head"), text);
	bstr_free(&text);
	json_decref(head);
}

/* Writes the row of a VM. */
void fake_vm_set(struct fake_table *t, const vm_row *row)
{
	bstr key = bstr_printf("vm/%.*s", BSTR_ARG(row->vm));
	bstr value = xdr_encode(XDR_PROC(xdr_vm_row), row);

	fake_row_set(t, key, value);
	bstr_free(&key);
	bstr_free(&value);
}

/* Writes the head of the list of VMs. */
void fake_vms_head_set(struct fake_table *t, uint64_t generation)
{
	vms_head head = {.generation = generation};
	bstr value = xdr_encode(XDR_PROC(xdr_vms_head), &head);

	fake_row_set(t, bstr_lit("vms/head"), value);
	bstr_free(&value);
}

/* Adds a row to an answer; version 0 if it doesn't exist. */
static void answer_row(ev_platform *p, bstr key, const struct fake_row *r)
{
	u_int n = p->rows.rows_len++;

	p->rows.rows_val = xrealloc(p->rows.rows_val, n + 1, sizeof(table_row));
	p->rows.rows_val[n] = (table_row){bstr_copy(key), r ? r->version : 0,
					  r ? bstr_copy(r->value) : BSTR_NONE};
}

/*
 * Returns true if all checks of a transaction hold; otherwise makes the answer
 * a conflict with the rows whose checks fail.
 */
static bool checks_hold(struct fake_table *t, const fx_commit *c,
			ev_platform *p)
{
	bool hold = true;
	u_int i;

	for (i = 0; i < c->checks.checks_len; i++) {
		const table_check *k = &c->checks.checks_val[i];
		struct fake_row *r = fake_row_get(t->rows, k->key);

		if ((r ? r->version : 0) == k->revision)
			continue;
		hold = false;
		p->outcome = PLATFORM_CONFLICT;
		answer_row(p, k->key, r);
	}
	return hold;
}

/* Applies one write of a transaction and adds its row to the answer. */
static void write_apply(struct fake_table *t, const fx_commit *c,
			const table_write *w, ev_platform *p)
{
	struct fake_row *r = fake_row_get(t->rows, w->key);

	if (t->before_write)
		t->before_write(t->arg, c, w, r);
	if (w->remove && r)
		row_remove(&t->rows, r);
	if (!w->remove)
		fake_row_set(t, w->key, w->value);
	answer_row(p, w->key, fake_row_get(t->rows, w->key));
}

/*
 * Applies a transaction and returns true.  If its ID was applied before,
 * repeats the answer of then and returns false, as it does on a conflict.
 */
bool fake_table_commit(struct fake_table *t, const fx_commit *c, ev_platform *p)
{
	struct fake_txn *txn;
	u_int i;

	HASH_FIND(hh, t->txns, c->txid.bstr_val, c->txid.bstr_len, txn);
	if (txn) {
		xdr_free(XDR_PROC(xdr_ev_platform), (char *)p);
		xdr_copy(XDR_PROC(xdr_ev_platform), p, &txn->answer,
			 sizeof(*p));
		p->req = c->req;
		return false;
	}
	if (!checks_hold(t, c, p))
		return false;
	for (i = 0; i < c->writes.writes_len; i++)
		write_apply(t, c, &c->writes.writes_val[i], p);
	txn = xcalloc(1, sizeof(*txn));
	txn->id = bstr_cstr(c->txid);
	xdr_copy(XDR_PROC(xdr_ev_platform), &txn->answer, p, sizeof(*p));
	HASH_ADD_KEYPTR(hh, t->txns, txn->id, c->txid.bstr_len, txn);
	return true;
}

/* Compares rows by key, for qsort(). */
static int row_cmp(const void *a, const void *b)
{
	return bstr_cmp(((const table_row *)a)->key,
			((const table_row *)b)->key);
}

/* Adds the rows with a prefix to the answer, sorted by key. */
static void table_scan(struct fake_table *t, bstr prefix, ev_platform *p)
{
	struct fake_row *r, *next;

	HASH_ITER(hh, t->rows, r, next) {
		if (!strncmp(r->key, prefix.bstr_val, prefix.bstr_len))
			answer_row(p, bstr_lit(r->key), r);
	}
	if (p->rows.rows_len)
		qsort(p->rows.rows_val, p->rows.rows_len, sizeof(table_row),
		      row_cmp);
}

/*
 * Handles a read, a scan or a request for an object; returns false for other
 * effects.
 */
bool fake_table_request(struct fake_table *t, const effect *fx, ev_platform *p)
{
	const fx_object *o = &fx->effect_u.object;
	const fx_read *read = &fx->effect_u.read;
	struct fake_row *r;
	u_int i;

	switch (fx->kind) {
	case FX_READ:
		for (i = 0; i < read->keys.keys_len; i++)
			answer_row(
				p, read->keys.keys_val[i],
				fake_row_get(t->rows, read->keys.keys_val[i]));
		return true;
	case FX_SCAN:
		table_scan(t, fx->effect_u.scan.prefix, p);
		return true;
	case FX_OBJECT_PUT:
		fake_object_set(t, o->name, o->body);
		return true;
	case FX_OBJECT_GET:
		r = fake_row_get(t->objects, o->name);
		if (r)
			p->body = bstr_copy(r->value);
		else
			p->outcome = PLATFORM_NOT_FOUND;
		return true;
	default:
		return false;
	}
}

/* Frees rows or objects. */
static void rows_free(struct fake_row **rows)
{
	struct fake_row *r, *next;

	HASH_ITER(hh, *rows, r, next)
		row_remove(rows, r);
}

/* Frees the contents of a table. */
void fake_table_free(struct fake_table *t)
{
	struct fake_txn *txn, *next;

	rows_free(&t->rows);
	rows_free(&t->objects);
	HASH_ITER(hh, t->txns, txn, next) {
		HASH_DEL(t->txns, txn);
		free(txn->id);
		xdr_free(XDR_PROC(xdr_ev_platform), (char *)&txn->answer);
		free(txn);
	}
}
