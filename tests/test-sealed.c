#include "../bamboofront.h"
#include "../operator-client.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define NOW_MS 1000000

static const uint8_t key[SEAL_KEY_BYTES] = "a key", other_key[SEAL_KEY_BYTES];

/*
 * The MAC covers all fields of an envelope and its purpose.  A change of any of
 * them is refused as a bad MAC, also if the envelope has expired, and so is a
 * byte that moved from one field to the next.
 */
Test(sealed, holds_only_as_it_was_made)
{
	enum change {
		NOTHING,
		PURPOSE,
		KEY,
		NONCE,
		DEADLINE,
		MAC,
		FROM,
		SHIFT,
		BODY,
		CUT
	};
	static const struct {
		const char *name;
		enum change change;
		int64_t lifetime;
		enum seal_result result;
	} cases[] = {
		{"as made", NOTHING, 1, SEAL_OK},
		{"at its deadline", NOTHING, 0, SEAL_OK},
		{"after it", NOTHING, -1, SEAL_EXPIRED},
		{"at the horizon", NOTHING, SEAL_HORIZON_MS, SEAL_OK},
		{"beyond it", NOTHING, SEAL_HORIZON_MS + 1, SEAL_EXPIRED},
		{"for ever", NOTHING, INT64_MAX - NOW_MS, SEAL_EXPIRED},
		{"another purpose", PURPOSE, 1, SEAL_BAD_MAC},
		{"another key", KEY, 1, SEAL_BAD_MAC},
		{"another nonce", NONCE, 1, SEAL_BAD_MAC},
		{"a longer life", DEADLINE, -1, SEAL_BAD_MAC},
		{"a flipped bit in the MAC", MAC, 1, SEAL_BAD_MAC},
		{"another sender", FROM, 1, SEAL_BAD_MAC},
		{"a byte moved to the body", SHIFT, 1, SEAL_BAD_MAC},
		{"another body", BODY, 1, SEAL_BAD_MAC},
		{"a body cut short", CUT, 1, SEAL_BAD_MAC},
	};
	const uint8_t *k;
	const char *purpose;
	sealed s;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		k = key;
		purpose = "test";
		seal(&s, purpose, bstr_lit("ana"), bstr_lit("body"),
		     NOW_MS + cases[i].lifetime, key);
		switch (cases[i].change) {
		case NOTHING:
			break;
		case PURPOSE:
			purpose = "tes";
			break;
		case KEY:
			k = other_key;
			break;
		case NONCE:
			s.nonce[23] ^= 1;
			break;
		case DEADLINE:
			s.deadline += 2;
			break;
		case MAC:
			s.mac[31] ^= 1;
			break;
		case FROM:
			s.from.bstr_val[0] = 'b';
			break;
		case SHIFT:
			s.from.bstr_len--;
			bstr_free(&s.body);
			s.body = bstr_new("abody");
			break;
		case BODY:
			s.body.bstr_val[3] ^= 0x80;
			break;
		case CUT:
			s.body.bstr_len--;
			break;
		}
		cr_expect_eq(seal_open(&s, purpose, NOW_MS, k, NULL),
			     cases[i].result, "%s", cases[i].name);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&s);
	}
}

/*
 * Guards against replay: an envelope is accepted once.  A full guard refuses
 * further envelopes until those that it stores expire.
 */
Test(sealed, guard_refuses_a_copy_and_is_bounded)
{
	static const struct {
		int envelope;
		int64_t delay;
		enum seal_result result;
	} steps[] = {
		{0, 0, SEAL_OK},	{0, 0, SEAL_REPLAYED},
		{1, 0, SEAL_OK},	{0, 5, SEAL_REPLAYED},
		{2, 10, SEAL_REPLAYED}, /* full; 0 and 1 expire after 10 */
		{2, 11, SEAL_OK},	{0, 11, SEAL_EXPIRED},
		{2, 20, SEAL_REPLAYED}, {3, 20, SEAL_OK},
		{2, 21, SEAL_EXPIRED},
	};
	struct replay_guard *g = replay_guard_new(2);
	sealed s[4];
	size_t i;

	for (i = 0; i < NELEMS(s); i++)
		seal(&s[i], "test", bstr_lit("ana"), BSTR_NONE,
		     NOW_MS + (i < 2 ? 10 : 20), key);
	for (i = 0; i < NELEMS(steps); i++)
		cr_expect_eq(seal_open(&s[steps[i].envelope], "test",
				       NOW_MS + steps[i].delay, key, g),
			     steps[i].result, "step %zu", i);
	for (i = 0; i < NELEMS(s); i++)
		xdr_free(XDR_PROC(xdr_sealed), (char *)&s[i]);
	replay_guard_free(g);
}

/* A forged envelope must not use up the nonce of the genuine one. */
Test(sealed, guard_remembers_nothing_that_was_refused)
{
	struct replay_guard *g = replay_guard_new(1);
	sealed s;

	seal(&s, "test", bstr_lit("ana"), BSTR_NONE, NOW_MS, key);
	cr_expect_eq(seal_open(&s, "test", NOW_MS, other_key, g), SEAL_BAD_MAC);
	cr_expect_eq(seal_open(&s, "test", NOW_MS + 1, key, g), SEAL_EXPIRED);
	cr_expect_eq(seal_open(&s, "test", NOW_MS, key, g), SEAL_OK);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&s);
	replay_guard_free(g);
}

/* A sealed secret opens only with its operator's key and its request. */
Test(sealed, secret_opens_only_for_its_operator)
{
	static const char nonce[24] = "n", other_nonce[24];
	bstr text = bstr_lit("bf_k1_secret"), got, ciphertext, part;
	u_int n;

	ciphertext = secret_seal(text, key, nonce);
	cr_expect(secret_unseal(ciphertext, key, nonce, &got));
	cr_expect(bstr_eq(got, text));
	bstr_free(&got);
	cr_expect_not(secret_unseal(ciphertext, other_key, nonce, &got));
	cr_expect_not(secret_unseal(ciphertext, key, other_nonce, &got));
	for (n = 0; n < ciphertext.bstr_len; n++) {
		part = bstr_ref(ciphertext.bstr_val, n);
		cr_expect_not(secret_unseal(part, key, nonce, &got));
		ciphertext.bstr_val[n] ^= 1;
		cr_expect_not(secret_unseal(ciphertext, key, nonce, &got));
		ciphertext.bstr_val[n] ^= 1;
		cr_expect_eq(got.bstr_len, 0);
	}
	bstr_free(&ciphertext);
}

/* The reply to one request isn't accepted as the reply to another. */
Test(sealed, reply_is_bound_to_its_request)
{
	char nonce[24] = {0}, *one, *two;
	sealed s;

	one = operator_reply_purpose(nonce);
	nonce[23] = 1;
	two = operator_reply_purpose(nonce);
	seal(&s, one, bstr_lit("a1"), bstr_lit("{}"), NOW_MS, key);
	cr_expect_eq(seal_open(&s, one, NOW_MS, key, NULL), SEAL_OK);
	cr_expect_eq(seal_open(&s, two, NOW_MS, key, NULL), SEAL_BAD_MAC);
	cr_expect_eq(seal_open(&s, OPERATOR_CALL_PURPOSE, NOW_MS, key, NULL),
		     SEAL_BAD_MAC);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&s);
	free(one);
	free(two);
}
