#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SECRET_PREFIX "bf_"
#define SECRET_BYTES 32
#define SECRET_CHARS 43 /* base64 for URLs, without padding */
#define SECRET_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define SECRET_SALT_BYTES 16
#define SECRET_HASH_BYTES 32
#define KEY_ID_MAX 64

/* Hash bytes, with a key if there is one. */
static bstr secret_hash(bstr bytes, bstr salt)
{
	unsigned char hash[SECRET_HASH_BYTES];

	crypto_generichash(hash, sizeof(hash),
			   (const unsigned char *)bytes.bstr_val,
			   bytes.bstr_len, (const unsigned char *)salt.bstr_val,
			   salt.bstr_len);
	return bstr_from_bytes(hash, sizeof(hash));
}

/*
 * Make a secret for a key id, and what is kept of it.  The secret is random
 * over its whole length, so one pass of a fast hash is enough: there is
 * nothing to guess that a slow one would protect.
 */
void secret_new(bstr key_id, bstr *secret, bstr *salt, bstr *hash)
{
	unsigned char bytes[SECRET_BYTES], grain[SECRET_SALT_BYTES];
	char text[SECRET_CHARS + 1];
	bstr id, digest;

	if (sodium_init() < 0)
		abort();
	randombytes_buf(bytes, sizeof(bytes));
	randombytes_buf(grain, sizeof(grain));
	sodium_bin2base64(text, sizeof(text), bytes, sizeof(bytes),
			  SECRET_VARIANT);
	*secret = bstr_printf(SECRET_PREFIX "%.*s_%s", BSTR_ARG(key_id), text);
	*salt = bstr_from_bytes(grain, sizeof(grain));
	*hash = BSTR_NONE;
	if (secret_split(*secret, &id, &digest))
		*hash = secret_hash(digest, *salt);
	else
		bstr_free(secret); /* the key id was no name */
	bstr_free(&id);
	bstr_free(&digest);
	sodium_memzero(bytes, sizeof(bytes));
	sodium_memzero(text, sizeof(text));
}

/*
 * Take a secret apart into its key id and a digest of the whole text.  A key
 * id and the random part may both hold '_', so the random part is found by
 * its length.  On failure both are empty.
 */
bool secret_split(bstr secret, bstr *key_id, bstr *digest)
{
	const size_t prefix = strlen(SECRET_PREFIX), tail = SECRET_CHARS + 1;
	unsigned char bytes[SECRET_BYTES];
	const char *random;
	bool ok;
	size_t got;
	bstr id;

	*key_id = *digest = BSTR_NONE;
	if (secret.bstr_len <= prefix + tail ||
	    memcmp(secret.bstr_val, SECRET_PREFIX, prefix) != 0)
		return false;
	id = bstr_ref(secret.bstr_val + prefix,
		      secret.bstr_len - prefix - tail);
	random = id.bstr_val + id.bstr_len;
	ok = bstr_is_name(id, KEY_ID_MAX) && *random == '_' &&
	     !sodium_base642bin(bytes, sizeof(bytes), random + 1, SECRET_CHARS,
				NULL, &got, NULL, SECRET_VARIANT) &&
	     got == sizeof(bytes);
	sodium_memzero(bytes, sizeof(bytes));
	if (!ok)
		return false;
	*key_id = bstr_copy(id);
	*digest = secret_hash(secret, BSTR_NONE);
	return true;
}

/*
 * Is this the digest of the secret that salt and hash are of?  Takes equally
 * long for every wrong digest, so that time tells nothing about the hash.
 */
bool secret_matches(bstr digest, bstr salt, bstr hash)
{
	bstr own;
	bool same;

	if (digest.bstr_len != SECRET_HASH_BYTES ||
	    salt.bstr_len != SECRET_SALT_BYTES ||
	    hash.bstr_len != SECRET_HASH_BYTES)
		return false;
	own = secret_hash(digest, salt);
	same = !sodium_memcmp(own.bstr_val, hash.bstr_val, SECRET_HASH_BYTES);
	bstr_free(&own);
	return same;
}
