/*
 * An operator's calls to an entry VM (operator-client.c), and the sealing of
 * calls, replies and the secret of a new key in a reply (sealed.c).
 */
#ifndef OPERATOR_CLIENT_H
#define OPERATOR_CLIENT_H

#include "bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Validity period of an envelope, longer than the time limit of a call. A
 * receiver accepts deadlines up to twice as far ahead, so that clocks may
 * differ by SEAL_VALIDITY_MS in either direction.
 */
#define SEAL_VALIDITY_MS 30000
#define SEAL_HORIZON_MS (2 * SEAL_VALIDITY_MS)

/*
 * Purposes that an operator's call and its reply are sealed for. The reply's
 * purpose contains the nonce of the call; the string is allocated with malloc.
 */
#define OPERATOR_CALL_PURPOSE "bamboofront operator v1 call"
char *operator_reply_purpose(const char nonce[24]);

/*
 * Encrypt and decrypt a secret in a reply. Only the operator who made the call
 * can decrypt it.
 */
bstr secret_seal(bstr secret, const uint8_t key[SEAL_KEY_BYTES],
		 const char nonce[24]);
bool secret_unseal(bstr box, const uint8_t key[SEAL_KEY_BYTES],
		   const char nonce[24], bstr *secret);

/*
 * operator_client_call always fills reply, with the secret decrypted; free it
 * with xdr_free. It returns true if the reply is from an entry VM. Otherwise
 * the client has created it, with status OP_INVALID (too large to send),
 * OP_DENIED, OP_UNAVAILABLE (not carried out) or OP_UNKNOWN. The client
 * reconnects after such a failure.
 */
struct operator_client;
struct operator_client *operator_client_open(const char *address,
					     const char *name,
					     const uint8_t key[SEAL_KEY_BYTES],
					     int64_t deadline, struct error *e);
bool operator_client_call(struct operator_client *c, const op_request *req,
			  int64_t deadline, op_reply *reply);
void operator_client_close(struct operator_client *c);

#ifdef __cplusplus
}
#endif
#endif
