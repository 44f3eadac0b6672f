#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SECRET_PREFIX "bf_"
#define SECRET_BYTES 32
#define SECRET_CHARS 43 /* URL-safe base64 without padding */
#define SECRET_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define SECRET_SALT_BYTES 16
#define SECRET_HASH_BYTES 32
#define KEY_ID_MAX 64

/* Returns the hash of bytes, keyed with the salt unless that is empty. */
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
 * Creates a secret for a key id, with the salt and hash that are stored.  A
 * single pass of a fast hash is enough, because the secret is 32 random bytes
 * and cannot be guessed; a slow hash protects only guessable secrets.
 */
void secret_new(bstr key_id, bstr *secret, bstr *salt, bstr *hash)
{
	unsigned char bytes[SECRET_BYTES], salt_bytes[SECRET_SALT_BYTES];
	char text[SECRET_CHARS + 1];
	bstr id, digest;

	if (sodium_init() < 0)
		abort();
	randombytes_buf(bytes, sizeof(bytes));
	randombytes_buf(salt_bytes, sizeof(salt_bytes));
	sodium_bin2base64(text, sizeof(text), bytes, sizeof(bytes),
			  SECRET_VARIANT);
	*secret = bstr_printf(SECRET_PREFIX "%.*s_%s", BSTR_ARG(key_id), text);
	*salt = bstr_from_bytes(salt_bytes, sizeof(salt_bytes));
	*hash = BSTR_NONE;
	if (secret_split(*secret, &id, &digest))
		*hash = secret_hash(digest, *salt);
	else
		bstr_free(secret); /* the key id is not a valid name */
	bstr_free(&id);
	bstr_free(&digest);
	sodium_memzero(bytes, sizeof(bytes));
	sodium_memzero(text, sizeof(text));
}

/*
 * Splits a secret into its key id and a digest of the whole text.  The random
 * part is found by its length, since it and the key id may both contain '_'.
 * Returns false and leaves both empty if the secret is malformed.
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
 * Returns true if salt and hash belong to the secret with this digest.  The
 * hashes are compared in constant time, so that timing reveals nothing about
 * the stored hash.
 */
bool secret_matches(bstr digest, bstr salt, bstr hash)
{
	bstr expected;
	bool same;

	if (digest.bstr_len != SECRET_HASH_BYTES ||
	    salt.bstr_len != SECRET_SALT_BYTES ||
	    hash.bstr_len != SECRET_HASH_BYTES)
		return false;
	expected = secret_hash(digest, salt);
	same = !sodium_memcmp(expected.bstr_val, hash.bstr_val,
			      SECRET_HASH_BYTES);
	bstr_free(&expected);
	return same;
}
