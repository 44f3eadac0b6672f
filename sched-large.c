/*
 * Texts that are longer than a row of the store: the owner's heartbeat and its
 * notes, which grow with the fleet.  Such a text is cut into pieces, which are
 * written as rows of their own, KEY#00, KEY#01 and so on, in the transaction of
 * the row itself.  That one then tells only how many there are.
 */
#include "sched-state.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What the row of a text in pieces contains. */
#define PIECES_FORMAT "{\"pieces\":%u}"
#define PIECES_MAX 64
/* A piece's key ends with a mark and two digits. */
#define PIECE_MARK '#'
#define PIECE_SUFFIX_BYTES 3

/* A text that has, or had, pieces in the store. */
struct large_text {
	bstr name;	   /* the table's number as one byte, then the key */
	unsigned stored;   /* pieces that the store may have */
	unsigned count;	   /* pieces of the latest row; 0: it was whole */
	uint64_t revision; /* of the latest row */
	struct {
		uint64_t revision;
		bstr text;
	} pieces[PIECES_MAX];
	UT_hash_handle hh;
};

/* Returns the name of a text; the caller frees it. */
static bstr large_name(enum table table, bstr key)
{
	return bstr_printf("%c%.*s", 'A' + (int)table, BSTR_ARG(key));
}

/* Returns a text that has or had pieces; creates it if asked to, or NULL. */
static struct large_text *large_find(struct sched *s, enum table table,
				     bstr key, bool create)
{
	bstr name = large_name(table, key);
	struct large_text *l;

	HASH_FIND_BSTR(s->large_texts, name, l);
	if (l || !create) {
		bstr_free(&name);
		return l;
	}
	l = xcalloc(1, sizeof(*l));
	l->name = name;
	HASH_ADD_BSTR(s->large_texts, name, l);
	return l;
}

/* Returns the key of a piece; the caller frees it. */
static bstr piece_key(bstr key, unsigned number)
{
	return bstr_printf("%.*s%c%02u", BSTR_ARG(key), PIECE_MARK, number);
}

/* Returns true if a key is that of a piece, and sets the text's and its number.
 */
static bool piece_key_read(bstr key, bstr *text_key, unsigned *number)
{
	const char *p;

	if (key.bstr_len <= PIECE_SUFFIX_BYTES)
		return false;
	*text_key = bstr_ref(key.bstr_val, key.bstr_len - PIECE_SUFFIX_BYTES);
	p = key.bstr_val + text_key->bstr_len;
	if (p[0] != PIECE_MARK || !isdigit((unsigned char)p[1]) ||
	    !isdigit((unsigned char)p[2]))
		return false;
	*number = (unsigned)(p[1] - '0') * 10 + (unsigned)(p[2] - '0');
	return *number < PIECES_MAX;
}

/* Returns the number of pieces that a row tells; 0: it is whole. */
static unsigned pieces_read(bstr value)
{
	char text[32];
	unsigned count;

	if (!value.bstr_len || value.bstr_len >= sizeof(text))
		return 0;
	snprintf(text, sizeof(text), "%.*s", BSTR_ARG(value));
	if (sscanf(text, PIECES_FORMAT, &count) != 1 || count > PIECES_MAX)
		return 0;
	return count;
}

/*
 * Adds the write of a row whose text may be longer than a row; the value is
 * moved.  Pieces of a longer text before are removed.
 */
void large_write(struct sched *s, struct tx *t, enum table table, bstr key,
		 bstr value)
{
	size_t most = tx_row_bytes(s);
	unsigned i, count = (unsigned)((value.bstr_len + most - 1) / most);
	struct large_text *l = large_find(s, table, key, count > 1);
	size_t at, bytes;
	bstr piece;

	if (!l) {
		tx_write(t, table, key, value);
		return;
	}
	if (count <= 1)
		count = 0;
	for (i = 0; i < count || i < l->stored; i++) {
		piece = piece_key(key, i);
		at = i * most;
		bytes = at < value.bstr_len ? value.bstr_len - at : 0;
		if (i < count)
			tx_write(t, table, piece,
				 bstr_copy(bstr_ref(value.bstr_val + at,
						    bytes < most ? bytes
								 : most)));
		else
			tx_remove(t, table, piece);
		bstr_free(&piece);
	}
	if (l->stored < count)
		l->stored = count;
	if (!count) {
		tx_write(t, table, key, value);
		return;
	}
	tx_write(t, table, key, bstr_printf(PIECES_FORMAT, count));
	bstr_free(&value);
}

/* Returns true if all pieces of a text are there. */
static bool large_is_complete(const struct large_text *l)
{
	unsigned i;

	for (i = 0; i < l->count; i++)
		if (l->pieces[i].revision != l->revision)
			return false;
	return l->count;
}

/* Joins the pieces of a text, and forgets them. */
static bstr large_join(struct large_text *l)
{
	bstr whole = {0};
	u_int at = 0;
	unsigned i;

	for (i = 0; i < l->count; i++)
		whole.bstr_len += l->pieces[i].text.bstr_len;
	whole.bstr_val = xcalloc((size_t)whole.bstr_len + 1, 1);
	for (i = 0; i < l->count; i++) {
		if (l->pieces[i].text.bstr_len)
			memcpy(whole.bstr_val + at, l->pieces[i].text.bstr_val,
			       l->pieces[i].text.bstr_len);
		at += l->pieces[i].text.bstr_len;
		bstr_free(&l->pieces[i].text);
		l->pieces[i].revision = 0;
	}
	l->count = 0;
	return whole;
}

/*
 * Takes a row that was read, which may be a piece of a text.  Returns true if r
 * is a whole row, or the text is whole now; r is its row then.  Pieces and rows
 * of different transactions don't belong together.
 */
bool large_read(struct sched *s, struct row *r)
{
	struct large_text *l;
	unsigned number, count;
	bstr key;

	if (piece_key_read(r->key, &key, &number)) {
		if (r->removed || r->kind == ROW_BAD)
			return false;
		l = large_find(s, r->table, key, true);
		if (l->stored <= number)
			l->stored = number + 1;
		l->pieces[number].revision = r->revision;
		bstr_free(&l->pieces[number].text);
		l->pieces[number].text = r->value;
		r->value = BSTR_NONE;
		r->key.bstr_len = key.bstr_len;
	} else {
		count = r->removed ? 0 : pieces_read(r->value);
		l = large_find(s, r->table, r->key, count);
		if (!count) {
			if (l)
				l->count = 0;
			return true;
		}
		l->count = count;
		l->revision = r->revision;
	}
	if (!large_is_complete(l))
		return false;
	bstr_free(&r->value);
	r->value = large_join(l);
	return true;
}

/* Forgets all texts. */
void large_free(struct sched *s)
{
	struct large_text *l, *next;
	unsigned i;

	HASH_ITER(hh, s->large_texts, l, next) {
		HASH_DEL(s->large_texts, l);
		for (i = 0; i < PIECES_MAX; i++)
			bstr_free(&l->pieces[i].text);
		bstr_free(&l->name);
		free(l);
	}
}
