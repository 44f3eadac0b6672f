/* Reads the responses on the client's own connections with http-parser. */
#include "http-state.h"

#include <limits.h>
#include <string.h>
#include <strings.h>

/* Returns the reply that a parser belongs to. */
static struct http_reply *parser_reply(http_parser *p)
{
	return (struct http_reply *)((char *)p -
				     offsetof(struct http_reply, parser));
}

/* Appends to a text of limited size; what exceeds it is cut off. */
static void text_append(char *text, size_t size, size_t *length, const char *p,
			size_t n)
{
	if (n > size - *length)
		n = size - *length;
	memcpy(text + *length, p, n);
	*length += n;
}

/* Handles the current header, of which name and value are complete. */
static void header_end(struct http_reply *r)
{
	static const char wanted[] = "Retry-After";
	struct http_transfer *t = r->parser.data;

	if (r->value_begun && r->name_length == strlen(wanted) &&
	    !strncasecmp(r->name, wanted, r->name_length))
		t->response.retry_after_ms = http_retry_after_parse(
			r->value, r->value_length);
	r->value_begun = false;
	r->name_length = r->value_length = 0;
}

/* Callback of the parser: a part of a header's name. */
static int header_name(http_parser *p, const char *at, size_t n)
{
	struct http_reply *r = parser_reply(p);

	if (r->value_begun)
		header_end(r);
	text_append(r->name, sizeof(r->name), &r->name_length, at, n);
	return 0;
}

/* Callback of the parser: a part of a header's value. */
static int header_value(http_parser *p, const char *at, size_t n)
{
	struct http_reply *r = parser_reply(p);

	r->value_begun = true;
	text_append(r->value, sizeof(r->value), &r->value_length, at, n);
	return 0;
}

/*
 * Callback of the parser: the headers are complete. A body of unknown length
 * ends with its connection, so a truncated one can't be told from a whole one;
 * such a response is refused, as is a change of protocol.
 */
static int headers_complete(http_parser *p)
{
	struct http_reply *r = parser_reply(p);
	struct http_transfer *t = p->data;
	bool framed = (p->flags & F_CHUNKED) || p->content_length != ULLONG_MAX;

	header_end(r);
	r->interim = p->status_code / 100 == 1;
	if (r->interim) {
		t->response.retry_after_ms = 0;
		return p->status_code == 101 ? -1 : 0;
	}
	t->response.status = p->status_code;
	return framed || p->status_code == 204 ? 0 : -1;
}

/* Callback of the parser: a part of the body. */
static int body_part(http_parser *p, const char *at, size_t n)
{
	return http_response_append(p->data, at, n) ? 0 : -1;
}

/*
 * Callback of the parser: a response is complete. The parser stops after the
 * final one, so that what follows it isn't taken for the next response.
 */
static int message_complete(http_parser *p)
{
	struct http_reply *r = parser_reply(p);

	if (r->interim)
		return 0;
	r->complete = true;
	r->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

/* Prepares for the response to a transfer's request. */
void http_reply_begin(struct http_reply *r, struct http_transfer *t)
{
	memset(r, 0, sizeof(*r));
	http_parser_init(&r->parser, HTTP_RESPONSE);
	r->parser.data = t;
}

/*
 * Reads a part of a response. After a complete one with further bytes behind it
 * keep_alive is false: they are no response to a later request.
 */
enum http_reply_state http_reply_read(struct http_reply *r, const char *data,
				      size_t length)
{
	static const http_parser_settings callbacks = {
		.on_header_field = header_name,
		.on_header_value = header_value,
		.on_headers_complete = headers_complete,
		.on_body = body_part,
		.on_message_complete = message_complete,
	};
	size_t n = http_parser_execute(&r->parser, &callbacks, data, length);

	if (r->complete) {
		r->keep_alive &= n == length;
		return REPLY_COMPLETE;
	}
	return HTTP_PARSER_ERRNO(&r->parser) == HPE_OK ? REPLY_PARTIAL
						       : REPLY_INVALID;
}
