#include "../bamboofront.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/*
 * Names get into keys of rows, URLs and logs, so that no other character may
 * be accepted.
 */
Test(bstr, is_name)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{"a", true},	 {"pool-1.x_y", true}, {"0", true},
		{"", false},	 {"-a", false},	       {".", false},
		{"A", false},	 {"a/b", false},       {"a b", false},
		{"a\nb", false}, {"\xc3\xa9", false},  {"toolong", false},
	};
	size_t i;

	for (i = 0; i < NELEMS(cases); i++)
		cr_expect_eq(bstr_is_name(bstr_lit(cases[i].text),
					  cases[i].text[0] == 't' ? 6 : 64),
			     cases[i].ok, "%s", cases[i].text);
}

Test(codec, base64_refuses_what_is_not_wholly_base64)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{"", true},	 {"YQ==", true},    {"YWI=", true},
		{"YQ", false},	 {"YQ==x", false},  {"Y", false},
		{"\xff", false}, {"YQ==\n", false},
	};
	bstr bytes;
	size_t i;

	for (i = 0; i < NELEMS(cases); i++) {
		cr_expect_eq(base64_decode(bstr_lit(cases[i].text), &bytes),
			     cases[i].ok, "%s", cases[i].text);
		bstr_free(&bytes);
	}
}

/* A truncated encoding is refused, never decoded in part. */
Test(codec, xdr_decode_is_all_or_nothing)
{
	cell_id cell = {bstr_lit("planning"), bstr_lit("a")}, got;
	bstr bytes = xdr_encode(XDR_PROC(xdr_cell_id), &cell), part;
	u_int n;

	for (n = 0; n < bytes.bstr_len; n++) {
		part = bstr_ref(bytes.bstr_val, n);
		cr_expect(!xdr_decode(XDR_PROC(xdr_cell_id), part, &got,
				      sizeof(got)));
	}
	cr_assert(xdr_decode(XDR_PROC(xdr_cell_id), bytes, &got, sizeof(got)));
	cr_expect(xdr_equal(XDR_PROC(xdr_cell_id), &cell, &got));
	xdr_free(XDR_PROC(xdr_cell_id), (char *)&got);
	bstr_free(&bytes);
}

Test(mailbox, keeps_order_and_refuses_when_full)
{
	struct mailbox *m = mailbox_new(4);
	int a, b, c, d;

	cr_assert(mailbox_put(m, &a));
	cr_assert(mailbox_put(m, &b));
	cr_assert(mailbox_put(m, &c));
	cr_expect(!mailbox_put(m, &d));
	cr_expect(mailbox_wait(m, 0));
	cr_expect_eq(mailbox_take(m), &a);
	cr_expect_eq(mailbox_take(m), &b);
	cr_expect_eq(mailbox_take(m), &c);
	cr_expect_null(mailbox_take(m));
	cr_expect(!mailbox_wait(m, 0));
	mailbox_free(m);
}
