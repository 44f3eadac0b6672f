#include "../bamboofront.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

Test(secret, matches_its_own_hash_and_no_other)
{
	bstr secret[2], salt[2], hash[2], id, digest;
	int i, k;

	for (i = 0; i < 2; i++)
		secret_new(bstr_lit("team_a.1"), &secret[i], &salt[i],
			   &hash[i]);
	cr_expect(!bstr_eq(secret[0], secret[1]));
	for (i = 0; i < 2; i++) {
		cr_assert(secret_split(secret[i], &id, &digest));
		cr_expect(bstr_eq_str(id, "team_a.1"));
		cr_expect_eq(digest.bstr_len, 32);
		cr_expect_eq(salt[i].bstr_len, 16);
		cr_expect_eq(hash[i].bstr_len, 32);
		for (k = 0; k < 2; k++)
			cr_expect_eq(secret_matches(digest, salt[k], hash[k]),
				     i == k);
		cr_expect(!secret_matches(digest, salt[i], hash[1 - i]));
		cr_expect(!secret_matches(digest, BSTR_NONE, BSTR_NONE));
		cr_expect(!secret_matches(BSTR_NONE, salt[i], hash[i]));
		hash[i].bstr_val[31] ^= 1;
		cr_expect(!secret_matches(digest, salt[i], hash[i]));
		bstr_free(&id);
		bstr_free(&digest);
	}
	for (i = 0; i < 2; i++) {
		bstr_free(&secret[i]);
		bstr_free(&salt[i]);
		bstr_free(&hash[i]);
	}
}

/* Secrets come from callers, so that any other form must be refused. */
Test(secret, split_refuses_every_other_form)
{
#define TAIL "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
#define LONG "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{"bf_k_" TAIL, true},
		{"bf_a_b_c_" TAIL, true},
		{"bf_" LONG "_" TAIL, true},
		{"bf_" LONG "0_" TAIL, false},
		{"", false},
		{"bf_", false},
		{"bf__" TAIL, false},
		{"bf_" TAIL, false},
		{"bg_k_" TAIL, false},
		{"BF_k_" TAIL, false},
		{"bf_k_A" TAIL, false},
		{"bf_k-" TAIL, false},
		{"bf_K_" TAIL, false},
		{"bf_k/_" TAIL, false},
		{"bf_k_" TAIL " ", false},
		{"bf_k_" TAIL "=", false},
		{"bf_k_+" TAIL, false},
		{"bf_k_\xff" TAIL, false},
		/* the last character has two bits that must be zero */
		{"bf_k_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAB", false},
		{"bf_k_+AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", false},
	};
	bstr id, digest;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		cr_expect_eq(
			secret_split(bstr_lit(cases[i].text), &id, &digest),
			cases[i].ok, "%s", cases[i].text);
		cr_expect_eq(id.bstr_len > 0, cases[i].ok);
		cr_expect_eq(digest.bstr_len > 0, cases[i].ok);
		bstr_free(&id);
		bstr_free(&digest);
	}
}
