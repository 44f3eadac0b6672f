#include "../bamboofront.h"
#include "../operator-client.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define WALL 1000000

static const uint8_t key[SEAL_KEY_BYTES] = "a key", other_key[SEAL_KEY_BYTES];

/*
 * Everything that an envelope says is under its MAC, and so is what it is
 * for: a change of any part is refused as a bad MAC, whatever else is wrong.
 * Bytes can't be moved from one field to its neighbour either.
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
		int64_t life;
		enum seal_result result;
	} cases[] = {
		{"as made", NOTHING, 1, SEAL_OK},
		{"at its deadline", NOTHING, 0, SEAL_OK},
		{"after it", NOTHING, -1, SEAL_EXPIRED},
		{"at the horizon", NOTHING, SEAL_HORIZON_MS, SEAL_OK},
		{"beyond it", NOTHING, SEAL_HORIZON_MS + 1, SEAL_EXPIRED},
		{"for ever", NOTHING, INT64_MAX - WALL, SEAL_EXPIRED},
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
		     WALL + cases[i].life, key);
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
		cr_expect_eq(seal_open(&s, purpose, WALL, k, NULL),
			     cases[i].result, "%s", cases[i].name);
		xdr_free(XDR_PROC(xdr_sealed), (char *)&s);
	}
}

/* Somebody sends a copy of what went by: only the first one is taken. */
Test(sealed, guard_refuses_a_copy_and_is_bounded)
{
	static const struct {
		int envelope;
		int64_t wall;
		enum seal_result result;
	} steps[] = {
		{0, 0, SEAL_OK},	{0, 0, SEAL_REPLAYED},
		{1, 0, SEAL_OK},	{0, 5, SEAL_REPLAYED},
		{2, 10, SEAL_REPLAYED}, /* full; 0 and 1 hold until 10 */
		{2, 11, SEAL_OK},	{0, 11, SEAL_EXPIRED},
		{2, 20, SEAL_REPLAYED}, {3, 20, SEAL_OK},
		{2, 21, SEAL_EXPIRED},
	};
	struct replay_guard *g = replay_guard_new(2);
	sealed s[4];
	size_t i;

	for (i = 0; i < NELEMS(s); i++)
		seal(&s[i], "test", bstr_lit("ana"), BSTR_NONE,
		     WALL + (i < 2 ? 10 : 20), key);
	for (i = 0; i < NELEMS(steps); i++)
		cr_expect_eq(seal_open(&s[steps[i].envelope], "test",
				       WALL + steps[i].wall, key, g),
			     steps[i].result, "step %zu", i);
	for (i = 0; i < NELEMS(s); i++)
		xdr_free(XDR_PROC(xdr_sealed), (char *)&s[i]);
	replay_guard_free(g);
}

/* A forged envelope must not use up the nonce of the true one. */
Test(sealed, guard_remembers_nothing_that_was_refused)
{
	struct replay_guard *g = replay_guard_new(1);
	sealed s;

	seal(&s, "test", bstr_lit("ana"), BSTR_NONE, WALL, key);
	cr_expect_eq(seal_open(&s, "test", WALL, other_key, g), SEAL_BAD_MAC);
	cr_expect_eq(seal_open(&s, "test", WALL + 1, key, g), SEAL_EXPIRED);
	cr_expect_eq(seal_open(&s, "test", WALL, key, g), SEAL_OK);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&s);
	replay_guard_free(g);
}

/* The secret of an answer opens for its operator and its request alone. */
Test(sealed, secret_opens_only_for_its_operator)
{
	static const char nonce[24] = "n", other_nonce[24];
	bstr text = bstr_lit("bf_k1_secret"), got, box, part;
	u_int n;

	box = secret_seal(text, key, nonce);
	cr_expect(secret_unseal(box, key, nonce, &got));
	cr_expect(bstr_eq(got, text));
	bstr_free(&got);
	cr_expect_not(secret_unseal(box, other_key, nonce, &got));
	cr_expect_not(secret_unseal(box, key, other_nonce, &got));
	for (n = 0; n < box.bstr_len; n++) {
		part = bstr_ref(box.bstr_val, n);
		cr_expect_not(secret_unseal(part, key, nonce, &got));
		box.bstr_val[n] ^= 1;
		cr_expect_not(secret_unseal(box, key, nonce, &got));
		box.bstr_val[n] ^= 1;
		cr_expect_eq(got.bstr_len, 0);
	}
	bstr_free(&box);
}

/* The answer to one request never passes for the answer to another. */
Test(sealed, reply_is_bound_to_its_request)
{
	char nonce[24] = {0}, *one, *two;
	sealed s;

	one = operator_reply_purpose(nonce);
	nonce[23] = 1;
	two = operator_reply_purpose(nonce);
	seal(&s, one, bstr_lit("a1"), bstr_lit("{}"), WALL, key);
	cr_expect_eq(seal_open(&s, one, WALL, key, NULL), SEAL_OK);
	cr_expect_eq(seal_open(&s, two, WALL, key, NULL), SEAL_BAD_MAC);
	cr_expect_eq(seal_open(&s, OPERATOR_CALL_PURPOSE, WALL, key, NULL),
		     SEAL_BAD_MAC);
	xdr_free(XDR_PROC(xdr_sealed), (char *)&s);
	free(one);
	free(two);
}
