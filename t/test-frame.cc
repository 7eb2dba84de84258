// Framing between daemons: whole, cut, broken and mutated frames.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "peer/frame.h"
}

static std::string encode(const std::string &payload)
{
	struct strbuf out;

	strbuf_init(&out);
	EXPECT_EQ(0,
		  frame_encode(&out, payload.data(), payload.size(), nullptr));
	std::string bytes(out.buf, out.len);
	strbuf_finish(&out);
	return bytes;
}

struct Decoded {
	int result;
	std::string payload;
	size_t frame_len;
	std::string error;
};

static Decoded decode(const std::string &bytes)
{
	struct strbuf in;
	struct error err = ERROR_INIT;
	const uint8_t *payload = nullptr;
	size_t len = 0;
	Decoded decoded = {};

	strbuf_init(&in);
	strbuf_add(&in, bytes.data(), bytes.size());
	decoded.result =
		frame_decode(&in, &payload, &len, &decoded.frame_len, &err);
	if (decoded.result == 1)
		decoded.payload.assign(reinterpret_cast<const char *>(payload),
				       len);
	decoded.error = err.text;
	strbuf_finish(&in);
	return decoded;
}

TEST(Frame, TakesWholeFramesOneByOne)
{
	std::string two = encode("first") + encode("");
	Decoded first = decode(two);

	EXPECT_EQ(1, first.result);
	EXPECT_EQ("first", first.payload);
	EXPECT_EQ(FRAME_HEADER_BYTES + 5u, first.frame_len);
	Decoded second = decode(two.substr(first.frame_len));
	EXPECT_EQ(1, second.result);
	EXPECT_EQ("", second.payload);
}

TEST(Frame, WaitsAtEveryCut)
{
	std::string whole = encode("payload");

	for (size_t len = 0; len < whole.size(); len++)
		EXPECT_EQ(0, decode(whole.substr(0, len)).result) << len;
}

TEST(Frame, RefusesWhatIsBroken)
{
	struct {
		const char *name;
		size_t offset;
		char value;
		const char *error;
	} cases[] = {
		{ "magic", 0, 'X', "frame has a wrong magic" },
		{ "version", 3, 2, "frame has the unknown version 2" },
		{ "length", 7, 1,
		  "frame of 16777223 bytes is over the limit of 1048576" },
		{ "checksum", 8, 0x55, "frame has a wrong checksum" },
		{ "payload", 16, 'X', "frame has a wrong checksum" },
	};

	for (const auto &c : cases) {
		std::string bytes = encode("payload");

		bytes[c.offset] = c.value;
		Decoded decoded = decode(bytes);
		EXPECT_EQ(-1, decoded.result) << c.name;
		EXPECT_EQ(c.error, decoded.error) << c.name;
	}
}

TEST(Frame, RefusesAnEarlyWrongByte)
{
	EXPECT_EQ(-1, decode("G").result);
	EXPECT_EQ(-1, decode("CRX").result);
}

TEST(Frame, BoundsWhatItEncodes)
{
	std::string large(FRAME_MAX_PAYLOAD_BYTES, 'x');
	struct strbuf out;
	struct error err = ERROR_INIT;

	EXPECT_EQ(1, decode(encode(large)).result);
	strbuf_init(&out);
	EXPECT_EQ(-1, frame_encode(&out, large.data(), large.size() + 1, &err));
	EXPECT_EQ(ERROR_INVALID, err.code);
	EXPECT_EQ(0u, out.len);
	strbuf_finish(&out);
}

/* 20,000 mutations by seed 7: a changed frame is never taken for whole. */
TEST(Frame, MutationsNeverPass)
{
	struct rng rng;
	std::string whole = encode("a payload of some length");

	rng_init(&rng, 7);
	for (int i = 0; i < 20000; i++) {
		std::string bytes = whole;
		uint64_t changes = 1 + rng_below(&rng, 4);

		for (uint64_t n = 0; n < changes; n++)
			bytes[rng_below(&rng, bytes.size())] =
				static_cast<char>(rng_next(&rng));
		if (rng_below(&rng, 4) == 0)
			bytes.resize(rng_below(&rng, bytes.size() + 1));
		if (bytes == whole)
			continue;
		ASSERT_NE(1, decode(bytes).result) << i;
	}
}
