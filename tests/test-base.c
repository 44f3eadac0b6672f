#include "../json-read.h"

#include <criterion/criterion.h>
#include <malloc.h>
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

static size_t tree_bytes, tree_peak;

static void *tree_alloc(size_t size)
{
	void *p = malloc(size);

	tree_bytes += malloc_usable_size(p);
	if (tree_bytes > tree_peak)
		tree_peak = tree_bytes;
	return p;
}

static void tree_free(void *p)
{
	tree_bytes -= malloc_usable_size(p);
	free(p);
}

/*
 * A request's tree is charged by this bound before it is built: a lower one
 * would let a crowd of small texts with large trees exceed the memory.
 */
Test(json, json_trees_are_bounded)
{
	static const struct {
		const char *begin, *element, *end; /* %d: its number */
		int count;
		bool fails; /* what is built of it is bounded all the same */
	} cases[] = {
		{"[1", ",{}", "]", 5000, false},
		{"[1", ",[]", "]", 5000, false},
		{"[1", ",1", "]", 5000, false},
		{"[1", ",1.5", "]", 5000, false},
		{"[1", ",\"\"", "]", 5000, false},
		{"[1", ",\"12345678\"", "]", 5000, false},
		{"[1", ",[[1],{\"a\":[]}]", "]", 5000, false},
		{"[1", ",{\"a\":{\"b\":1}}", "]", 5000, false},
		{"{\"a\":1", ",\"%d\":1", "}", 5000, false},
		{"{\"a\":1", ",\"%d\":{}", "}", 5000, false},
		{"{\"a\":1", ",\"%d\":[]", "}", 40, false},
		{"[\"", "{[:,\\\"", "\"]", 5000, false},
		{"[\"", "\\u00e9", "\"]", 5000, false},
		{"[\"", "xxxxxxxxxxxxxxxx", "\"]", 5000, false},
		{"", "[", "", 2000, true},
		{"", "{\"a\":", "", 2000, true},
		{"1", "", "", 1, true},
		{"[]", "", "", 1, false},
	};
	size_t i, len;
	char *text;
	json_t *j;
	FILE *f;
	int k;

	json_set_alloc_funcs(tree_alloc, tree_free);
	for (i = 0; i < NELEMS(cases); i++) {
		f = open_memstream(&text, &len);
		fputs(cases[i].begin, f);
		for (k = 0; k < cases[i].count; k++)
			fprintf(f, cases[i].element, k);
		fputs(cases[i].end, f);
		fclose(f);
		tree_bytes = tree_peak = 0;
		j = json_read(bstr_ref(text, len));
		cr_expect_eq(!j, cases[i].fails, "case %zu", i);
		cr_expect_leq(tree_peak, json_tree_bytes(bstr_ref(text, len)),
			      "case %zu: %zu bytes of %zu", i, tree_peak,
			      json_tree_bytes(bstr_ref(text, len)));
		json_decref(j);
		free(text);
	}
}
