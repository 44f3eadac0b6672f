#include "bamboofront.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/*
 * Encodes a value; equal values have equal encodings.  Returns an empty string
 * on failure.
 */
bstr xdr_encode(xdrproc_t proc, const void *value)
{
	unsigned long size = xdr_sizeof(proc, (void *)value);
	bstr b = BSTR_NONE;
	XDR x;

	if (!size)
		return b;
	b.bstr_val = xmalloc(size);
	xdrmem_create(&x, b.bstr_val, (u_int)size, XDR_ENCODE);
	if (proc(&x, (void *)value))
		b.bstr_len = xdr_getpos(&x);
	else
		bstr_free(&b);
	xdr_destroy(&x);
	return b;
}

/*
 * Decodes into value, which need not be initialized.  Trailing bytes are an
 * error, because a longer message is not of the expected type.  On failure
 * value is zeroed and owns no memory.
 */
bool xdr_decode(xdrproc_t proc, bstr bytes, void *value, size_t size)
{
	bool ok;
	XDR x;

	memset(value, 0, size);
	xdrmem_create(&x, bytes.bstr_val, bytes.bstr_len, XDR_DECODE);
	ok = proc(&x, value) && xdr_getpos(&x) == bytes.bstr_len;
	xdr_destroy(&x);
	if (!ok) {
		xdr_free(proc, value);
		memset(value, 0, size);
	}
	return ok;
}

/* Makes a deep copy of a value; dst need not be initialized. */
void xdr_copy(xdrproc_t proc, void *dst, const void *src, size_t size)
{
	bstr bytes = xdr_encode(proc, src);

	if (!xdr_decode(proc, bytes, dst, size))
		abort(); /* src is not a valid value, which is a bug */
	bstr_free(&bytes);
}

/* Returns true if two values are equal. */
bool xdr_equal(xdrproc_t proc, const void *a, const void *b)
{
	bstr x = xdr_encode(proc, a), y = xdr_encode(proc, b);
	bool same = bstr_eq(x, y);

	bstr_free(&x);
	bstr_free(&y);
	return same;
}

/* Encodes bytes as base64 with padding. */
bstr base64_encode(bstr bytes)
{
	const int variant = sodium_base64_VARIANT_ORIGINAL;
	size_t size = sodium_base64_encoded_len(bytes.bstr_len, variant);
	bstr b = BSTR_NONE;

	b.bstr_val = xmalloc(size);
	sodium_bin2base64(b.bstr_val, size,
			  (const unsigned char *)bytes.bstr_val, bytes.bstr_len,
			  variant);
	b.bstr_len = (u_int)(size - 1);
	return b;
}

/* Decodes base64.  Returns false and empty bytes if the text is malformed. */
bool base64_decode(bstr text, bstr *bytes)
{
	const char *end;
	size_t len;

	*bytes = BSTR_NONE;
	if (!text.bstr_len)
		return true;
	bytes->bstr_val = xmalloc(text.bstr_len);
	if (sodium_base642bin((unsigned char *)bytes->bstr_val, text.bstr_len,
			      text.bstr_val, text.bstr_len, NULL, &len, &end,
			      sodium_base64_VARIANT_ORIGINAL) ||
	    end != text.bstr_val + text.bstr_len) {
		bstr_free(bytes);
		return false;
	}
	bytes->bstr_len = (u_int)len;
	return true;
}

/* Encodes bytes as lower-case hexadecimal digits. */
bstr hex_encode(const void *p, size_t len)
{
	bstr b = BSTR_NONE;

	b.bstr_val = xmalloc(len * 2 + 1);
	sodium_bin2hex(b.bstr_val, len * 2 + 1, p, len);
	b.bstr_len = (u_int)(len * 2);
	return b;
}

/*
 * Decodes hexadecimal digits.  Returns false unless they are exactly len bytes.
 */
bool hex_decode(bstr text, void *p, size_t len)
{
	size_t got;

	if (text.bstr_len != len * 2)
		return false;
	return !sodium_hex2bin(p, len, text.bstr_val, text.bstr_len, NULL, &got,
			       NULL) &&
	       got == len;
}

/* Allocates an event of a kind; all its fields are zero. */
event *event_new(event_kind kind)
{
	event *ev = xcalloc(1, sizeof(*ev));

	ev->body.kind = kind;
	return ev;
}

/* Frees an event and its contents; NULL is allowed. */
void event_free(event *ev)
{
	if (!ev)
		return;
	xdr_free(XDR_PROC(xdr_event), (char *)ev);
	free(ev);
}

/* Allocates an effect of a kind; all its fields are zero. */
effect *effect_new(effect_kind kind)
{
	effect *fx = xcalloc(1, sizeof(*fx));

	fx->kind = kind;
	return fx;
}

/* Frees an effect and its contents; NULL is allowed. */
void effect_free(effect *fx)
{
	if (!fx)
		return;
	xdr_free(XDR_PROC(xdr_effect), (char *)fx);
	free(fx);
}

/* Returns the request id of an effect that is sent to the platform. */
uint64_t effect_request_id(const effect *fx)
{
	switch (fx->kind) {
	case FX_COMMIT:
		return fx->effect_u.commit.req;
	case FX_READ:
		return fx->effect_u.read.req;
	case FX_SCAN:
		return fx->effect_u.scan.req;
	case FX_OBJECT_PUT:
	case FX_OBJECT_GET:
		return fx->effect_u.object.req;
	case FX_REBOOT:
		return fx->effect_u.reboot.req;
	default:
		return fx->effect_u.vm_list;
	}
}
