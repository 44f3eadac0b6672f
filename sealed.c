#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "operator-client.h"

#define NONCE_BYTES sizeof(((sealed *)0)->nonce)
#define MAC_BYTES sizeof(((sealed *)0)->mac)

struct seen_nonce {
	char nonce[NONCE_BYTES];
	int64_t deadline;
	STAILQ_ENTRY(seen_nonce) entry;
	UT_hash_handle hh;
};

struct replay_guard {
	struct seen_nonce *table;
	STAILQ_HEAD(nonce_list, seen_nonce) order; /* by time of arrival */
	size_t max;
};

/* Creates a guard that remembers up to max nonces. */
struct replay_guard *replay_guard_new(size_t max)
{
	struct replay_guard *g = xcalloc(1, sizeof(*g));

	STAILQ_INIT(&g->order);
	g->max = max;
	return g;
}

/* Drops the oldest nonce. */
static void replay_guard_drop_oldest(struct replay_guard *g)
{
	struct seen_nonce *s = STAILQ_FIRST(&g->order);

	STAILQ_REMOVE_HEAD(&g->order, entry);
	HASH_DEL(g->table, s);
	free(s);
}

/* Frees a guard; NULL is allowed. */
void replay_guard_free(struct replay_guard *g)
{
	if (!g)
		return;
	while (g->table)
		replay_guard_drop_oldest(g);
	free(g);
}

/*
 * Remembers a nonce.  Returns false if it was seen before or the guard is
 * full.  Nonces are dropped in order of arrival and only after their deadline:
 * an envelope with a dropped nonce is rejected as expired, so it cannot be
 * replayed.  Since a deadline is at most SEAL_HORIZON_MS ahead, a nonce with a
 * late deadline delays the removal of those behind it no longer than that.
 */
static bool replay_guard_add(struct replay_guard *g, const sealed *s,
			     int64_t wall)
{
	struct seen_nonce *seen;

	while (g->table && STAILQ_FIRST(&g->order)->deadline < wall)
		replay_guard_drop_oldest(g);
	HASH_FIND(hh, g->table, s->nonce, NONCE_BYTES, seen);
	if (seen || HASH_COUNT(g->table) >= g->max)
		return false;
	seen = xcalloc(1, sizeof(*seen));
	memcpy(seen->nonce, s->nonce, NONCE_BYTES);
	seen->deadline = s->deadline;
	HASH_ADD(hh, g->table, nonce, NONCE_BYTES, seen);
	STAILQ_INSERT_TAIL(&g->order, seen, entry);
	return true;
}

/*
 * Adds a field to a MAC, preceded by its length, so that bytes cannot move from
 * one field to the next without changing the MAC.
 */
static void mac_add(crypto_generichash_state *st, const void *p, uint64_t len)
{
	uint8_t head[8];
	size_t i;

	for (i = 0; i < sizeof(head); i++)
		head[i] = (uint8_t)(len >> (56 - 8 * i));
	crypto_generichash_update(st, head, sizeof(head));
	crypto_generichash_update(st, p, len);
}

/* Computes the MAC of an envelope for a purpose. */
static void seal_mac(uint8_t mac[MAC_BYTES], const sealed *s,
		     const char *purpose, const uint8_t key[SEAL_KEY_BYTES])
{
	crypto_generichash_state st;
	uint8_t deadline[8];
	size_t i;

	for (i = 0; i < sizeof(deadline); i++)
		deadline[i] = (uint8_t)((uint64_t)s->deadline >> (56 - 8 * i));
	crypto_generichash_init(&st, key, SEAL_KEY_BYTES, MAC_BYTES);
	mac_add(&st, purpose, strlen(purpose));
	mac_add(&st, s->from.bstr_val, s->from.bstr_len);
	mac_add(&st, s->nonce, NONCE_BYTES);
	mac_add(&st, deadline, sizeof(deadline));
	mac_add(&st, s->body.bstr_val, s->body.bstr_len);
	crypto_generichash_final(&st, mac, MAC_BYTES);
}

/* Seals a body.  The envelope holds copies; free it with xdr_free. */
void seal(sealed *out, const char *purpose, bstr from, bstr body,
	  int64_t deadline, const uint8_t key[SEAL_KEY_BYTES])
{
	memset(out, 0, sizeof(*out));
	out->from = bstr_copy(from);
	out->body = bstr_copy(body);
	out->deadline = deadline;
	randombytes_buf(out->nonce, NONCE_BYTES);
	seal_mac((uint8_t *)out->mac, out, purpose, key);
}

/*
 * Verifies an envelope and records its nonce in the guard, unless g is NULL.
 * The MAC is checked first, so that nobody without the key can fill the guard.
 */
enum seal_result seal_open(const sealed *s, const char *purpose, int64_t wall,
			   const uint8_t key[SEAL_KEY_BYTES],
			   struct replay_guard *g)
{
	uint8_t mac[MAC_BYTES];

	seal_mac(mac, s, purpose, key);
	if (sodium_memcmp(mac, s->mac, MAC_BYTES))
		return SEAL_BAD_MAC;
	if (s->deadline < wall || s->deadline - wall > SEAL_HORIZON_MS)
		return SEAL_EXPIRED;
	if (g && !replay_guard_add(g, s, wall))
		return SEAL_REPLAYED;
	return SEAL_OK;
}

/*
 * Returns the purpose of an answer.  It contains the request's nonce, so that
 * the answer to one request is not accepted for another.
 */
char *operator_reply_purpose(const char nonce[24])
{
	bstr hex = hex_encode(nonce, NONCE_BYTES);
	char *purpose = xasprintf("bamboofront operator v1 reply to %.*s",
				  BSTR_ARG(hex));

	bstr_free(&hex);
	return purpose;
}

/*
 * Derives the encryption key of the secret in one answer, so that the MAC key
 * is never used for encryption.
 */
static void secret_derive_key(uint8_t derived[crypto_secretbox_KEYBYTES],
			      const uint8_t key[SEAL_KEY_BYTES],
			      const char nonce[24])
{
	static const char label[] = "bamboofront operator v1 secret";
	crypto_generichash_state st;

	crypto_generichash_init(&st, key, SEAL_KEY_BYTES,
				crypto_secretbox_KEYBYTES);
	mac_add(&st, label, sizeof(label) - 1);
	mac_add(&st, nonce, NONCE_BYTES);
	crypto_generichash_final(&st, derived, crypto_secretbox_KEYBYTES);
}

/* Encrypts a secret for the operator whose request had this nonce. */
bstr secret_seal(bstr secret, const uint8_t key[SEAL_KEY_BYTES],
		 const char nonce[24])
{
	uint8_t derived[crypto_secretbox_KEYBYTES], *p;
	bstr box = BSTR_NONE;

	box.bstr_len = (u_int)(crypto_secretbox_NONCEBYTES +
			       crypto_secretbox_MACBYTES + secret.bstr_len);
	box.bstr_val = xmalloc(box.bstr_len);
	p = (uint8_t *)box.bstr_val;
	randombytes_buf(p, crypto_secretbox_NONCEBYTES);
	secret_derive_key(derived, key, nonce);
	crypto_secretbox_easy(p + crypto_secretbox_NONCEBYTES,
			      (const uint8_t *)secret.bstr_val, secret.bstr_len,
			      p, derived);
	sodium_memzero(derived, sizeof(derived));
	return box;
}

/*
 * Decrypts a secret.  Returns false and an empty secret if it is not authentic.
 */
bool secret_unseal(bstr box, const uint8_t key[SEAL_KEY_BYTES],
		   const char nonce[24], bstr *secret)
{
	const size_t head = crypto_secretbox_NONCEBYTES;
	uint8_t derived[crypto_secretbox_KEYBYTES];
	const uint8_t *p = (const uint8_t *)box.bstr_val;
	bool ok;

	*secret = BSTR_NONE;
	if (box.bstr_len < head + crypto_secretbox_MACBYTES)
		return false;
	secret->bstr_len = (u_int)(box.bstr_len - head -
				   crypto_secretbox_MACBYTES);
	secret->bstr_val = xmalloc(secret->bstr_len + 1);
	secret_derive_key(derived, key, nonce);
	ok = !crypto_secretbox_open_easy((uint8_t *)secret->bstr_val, p + head,
					 box.bstr_len - head, p, derived);
	sodium_memzero(derived, sizeof(derived));
	if (!ok)
		bstr_free(secret);
	return ok;
}
