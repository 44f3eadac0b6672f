#include <cstring>
#include <rapidcheck.h>

#include "../bamboofront.h"

/*
 * Messages are decoded before their MAC is verified, so that the decoders must
 * handle any bytes.  They refuse them and leave the value zeroed, or accept a
 * value that stays the same when it is encoded and decoded again.  The
 * sanitizers detect reads past the end and leaks of partly decoded values.
 */
namespace
{

struct Decoder {
	const char *name;
	xdrproc_t proc;
	size_t size;
};

const Decoder decoders[] = {
	{"sealed", XDR_PROC(xdr_sealed), sizeof(sealed)},
	{"peer_batch", XDR_PROC(xdr_peer_batch), sizeof(peer_batch)},
	{"op_request", XDR_PROC(xdr_op_request), sizeof(op_request)},
	{"op_reply", XDR_PROC(xdr_op_reply), sizeof(op_reply)},
};

/* Decodes bytes; an accepted value must survive another round trip. */
void check_decode(const Decoder &d, const std::string &bytes)
{
	std::vector<char> value(d.size), second(d.size);
	bstr in = bstr_ref(bytes.data(), bytes.size()), bytes_again;

	if (!xdr_decode(d.proc, in, value.data(), d.size)) {
		RC_ASSERT(value == std::vector<char>(d.size));
		return;
	}
	bytes_again = xdr_encode(d.proc, value.data());
	bool accepted = xdr_decode(d.proc, bytes_again, second.data(), d.size);
	bool same = accepted && xdr_equal(d.proc, value.data(), second.data());
	xdr_free(d.proc, value.data());
	xdr_free(d.proc, second.data());
	bstr_free(&bytes_again);
	RC_ASSERT(same);
}

std::string encode(const Decoder &d, void *value)
{
	bstr b = xdr_encode(d.proc, value);
	std::string s(b.bstr_val, b.bstr_len);

	bstr_free(&b);
	return s;
}

/* Returns a valid encoding of a decoder's type that contains a text. */
std::string valid_encoding(const Decoder &d, const std::string &text)
{
	bstr b = bstr_ref(text.data(), text.size());

	if (d.proc == decoders[0].proc) {
		sealed s = {};

		s.from = s.body = b;
		return encode(d, &s);
	}
	if (d.proc == decoders[1].proc) {
		peer_message m[3] = {};
		job_view view = {};
		peer_batch batch = {};

		view.job = view.result = b;
		m[0].kind = PM_PING;
		m[1].kind = PM_FORWARD;
		m[1].peer_message_u.forward.request.key_id = b;
		m[1].peer_message_u.forward.request.body.kind = CALL_SUBMIT;
		m[1].peer_message_u.forward.request.body.caller_body_u.spec
			.payload = b;
		m[2].kind = PM_ANSWER;
		m[2].peer_message_u.answer.answer.jobs.jobs_len = 1;
		m[2].peer_message_u.answer.answer.jobs.jobs_val = &view;
		batch.from = b;
		batch.messages.messages_len = 3;
		batch.messages.messages_val = m;
		return encode(d, &batch);
	}
	if (d.proc == decoders[2].proc) {
		op_request r = {};
		bstr dcs[2] = {b, b};

		r.kind = OP_POOL_CREATE;
		r.op_request_u.pool.pool = b;
		r.op_request_u.pool.dcs.dcs_len = 2;
		r.op_request_u.pool.dcs.dcs_val = dcs;
		return encode(d, &r);
	}
	op_reply r = {};

	r.body = r.reason = b;
	return encode(d, &r);
}

int passed, failed;

void check(const std::string &name, const std::function<void()> &property)
{
	(rc::check(name, property) ? passed : failed)++;
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=42 max_success=2000 max_size=200", 0);
	for (const Decoder &d : decoders) {
		std::string name = d.name;

		check(name + ": any bytes", [&] {
			check_decode(d, *rc::gen::string<std::string>());
		});
		check(name + ": a good encoding with words changed", [&] {
			std::string s = valid_encoding(
				d, *rc::gen::string<std::string>());
			auto words = *rc::gen::container<std::vector<uint32_t>>(
				rc::gen::element<uint32_t>(
					0, 1, 2, 3, 4, 12, 255, 4096, 65536,
					1048576, 1048577, 0x7fffffff,
					0xffffffff));

			for (uint32_t w : words) {
				size_t at = *rc::gen::inRange<size_t>(0,
								      s.size());

				w = htonl(w);
				at -= at % 4;
				memcpy(&s[at], &w,
				       std::min(sizeof(w), s.size() - at));
				check_decode(d, s);
			}
		});
		check(name + ": a good encoding cut short or made longer", [&] {
			std::string s = valid_encoding(
				d, *rc::gen::string<std::string>());
			size_t cut = *rc::gen::inRange<size_t>(0, s.size());
			std::vector<char> value(d.size);

			check_decode(d, s);
			check_decode(d, s.substr(0, cut));
			RC_ASSERT(!xdr_decode(d.proc, bstr_ref(s.data(), cut),
					      value.data(), d.size));
			s += std::string(4, '\0');
			RC_ASSERT(!xdr_decode(d.proc,
					      bstr_ref(s.data(), s.size()),
					      value.data(), d.size));
		});
	}
	printf("%d passed, %d failed\n", passed, failed);
	return failed != 0;
}
