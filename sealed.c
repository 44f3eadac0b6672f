#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "operator-client.h"

#define NONCE_BYTES sizeof(((sealed *)0)->nonce)
#define MAC_BYTES sizeof(((sealed *)0)->mac)

struct seen {
	char nonce[NONCE_BYTES];
	int64_t deadline;
	STAILQ_ENTRY(seen) entry;
	UT_hash_handle hh;
};

struct replay_guard {
	struct seen *table;
	STAILQ_HEAD(seen_list, seen) order; /* of their coming */
	size_t max;
};

/* Make a guard that remembers up to max nonces. */
struct replay_guard *replay_guard_new(size_t max)
{
	struct replay_guard *g = xcalloc(1, sizeof(*g));

	STAILQ_INIT(&g->order);
	g->max = max;
	return g;
}

/* Forget the oldest nonce. */
static void replay_guard_drop(struct replay_guard *g)
{
	struct seen *s = STAILQ_FIRST(&g->order);

	STAILQ_REMOVE_HEAD(&g->order, entry);
	HASH_DEL(g->table, s);
	free(s);
}

/* Free the guard with all it remembers. */
void replay_guard_free(struct replay_guard *g)
{
	if (!g)
		return;
	while (g->table)
		replay_guard_drop(g);
	free(g);
}

/*
 * Remember a nonce; false if it was seen before or there is no room.  The
 * oldest are dropped first and only when their deadline has passed: an
 * envelope whose nonce is forgotten is refused for being late, so forgetting
 * opens no door.  A deadline lies at most SEAL_HORIZON_MS ahead, so one that
 * expires late holds those behind it back no longer than that.
 */
static bool replay_guard_add(struct replay_guard *g, const sealed *s,
			     int64_t wall)
{
	struct seen *seen;

	while (g->table && STAILQ_FIRST(&g->order)->deadline < wall)
		replay_guard_drop(g);
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

/* Add bytes to a MAC, led by their length: no two fields can be shifted. */
static void mac_add(crypto_generichash_state *st, const void *p, uint64_t len)
{
	uint8_t head[8];
	size_t i;

	for (i = 0; i < sizeof(head); i++)
		head[i] = (uint8_t)(len >> (56 - 8 * i));
	crypto_generichash_update(st, head, sizeof(head));
	crypto_generichash_update(st, p, len);
}

/* The MAC of an envelope for a purpose. */
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

/* Seal a body; out holds copies and is freed by xdr_free. */
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
 * Check an envelope; the guard, if there is one, remembers it.  The MAC
 * comes first, so that nobody without the key can fill the guard.
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
 * The purpose of an answer names the request's nonce, so that an answer to
 * one request never passes for the answer to another.
 */
char *operator_reply_purpose(const char nonce[24])
{
	bstr hex = hex_encode(nonce, NONCE_BYTES);
	char *purpose = xasprintf("bamboofront operator v1 reply to %.*s",
				  BSTR_ARG(hex));

	bstr_free(&hex);
	return purpose;
}

/* Derive the key of one answer's secret; the MAC's key itself never ciphers. */
static void secret_key(uint8_t out[crypto_secretbox_KEYBYTES],
		       const uint8_t key[SEAL_KEY_BYTES], const char nonce[24])
{
	static const char label[] = "bamboofront operator v1 secret";
	crypto_generichash_state st;

	crypto_generichash_init(&st, key, SEAL_KEY_BYTES,
				crypto_secretbox_KEYBYTES);
	mac_add(&st, label, sizeof(label) - 1);
	mac_add(&st, nonce, NONCE_BYTES);
	crypto_generichash_final(&st, out, crypto_secretbox_KEYBYTES);
}

/* Encrypt a secret for the operator whose request had this nonce. */
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
	secret_key(derived, key, nonce);
	crypto_secretbox_easy(p + crypto_secretbox_NONCEBYTES,
			      (const uint8_t *)secret.bstr_val, secret.bstr_len,
			      p, derived);
	sodium_memzero(derived, sizeof(derived));
	return box;
}

/* Decrypt a secret; false, and nothing in secret, if it doesn't hold. */
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
	secret_key(derived, key, nonce);
	ok = !crypto_secretbox_open_easy((uint8_t *)secret->bstr_val, p + head,
					 box.bstr_len - head, p, derived);
	sodium_memzero(derived, sizeof(derived));
	if (!ok)
		bstr_free(secret);
	return ok;
}
