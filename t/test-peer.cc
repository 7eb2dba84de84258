// Connections between daemons: delivery, bounds, strangers, broken streams.
#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "t/lib-peer.h"

extern "C" {
#include "peer/frame.h"
#include "peer/send_queue.h"
}

static std::string frame_from(const std::string &from)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__KeyDenial denial = CURRANT__KEY_DENIAL__INIT;
	struct strbuf out;

	denial.key_id = const_cast<char *>("injected");
	message.from = const_cast<char *>(from.c_str());
	message.body_case = CURRANT__PEER_MESSAGE__BODY_KEY_DENIAL;
	message.key_denial = &denial;
	std::string payload(currant__peer_message__get_packed_size(&message),
			    '\0');
	currant__peer_message__pack(&message,
				    reinterpret_cast<uint8_t *>(&payload[0]));
	strbuf_init(&out);
	frame_encode(&out, payload.data(), payload.size(), nullptr);
	std::string bytes(out.buf, out.len);
	strbuf_finish(&out);
	return bytes;
}

class Peer : public ::testing::Test
{
      protected:
	Peer()
	{
		system_clock_init(&clock);
	}

	struct clock clock;
};

TEST_F(Peer, DeliversBothWaysAndCounts)
{
	PeerNode a("a", &clock), b("b", &clock);

	a.set_members({ &a, &b });
	b.set_members({ &a, &b });
	timeline_add(&a.timeline, "test", "before");
	a.send_heartbeat("b", "bergen-a");
	b.send_heartbeat("a", "voss");
	ASSERT_TRUE(wait_until([&] {
		return a.received_count("b:heartbeat:voss") == 1 &&
		       b.received_count("a:heartbeat:bergen-a") == 1;
	}));
	EXPECT_TRUE(peer_service_connected(&a.service, "b"));
	EXPECT_FALSE(peer_service_connected(&a.service, "a"));
	const char *out =
		"peer_bytes_total{direction=\"out\",kind=\"heartbeat\"}";
	const char *in =
		"peer_bytes_total{direction=\"in\",kind=\"heartbeat\"}";
	EXPECT_GT(a.counter(out), FRAME_HEADER_BYTES);
	EXPECT_EQ(a.counter(out), b.counter(in));
	EXPECT_GT(b.timeline.lamport, 2u);
}

TEST_F(Peer, OpensAConnectionForASingleMessage)
{
	PeerNode a("a", &clock), b("b", &clock);

	a.set_members({ &b }, false);
	b.set_members({ &a }, false);
	EXPECT_FALSE(peer_service_connected(&a.service, "b"));
	a.send_denial("b", "k1");
	EXPECT_TRUE(wait_until(
		[&] { return b.received_count("a:key_denial:k1") == 1; }));
}

TEST_F(Peer, RefusesToSendToAStranger)
{
	PeerNode a("a", &clock);
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	struct error err = ERROR_INIT;

	EXPECT_EQ(-1, peer_service_send(&a.service, "b", &message, &err));
	EXPECT_EQ(ERROR_NOT_FOUND, err.code);
}

TEST_F(Peer, ResendsADenialToAPeerThatComesLater)
{
	auto b = std::make_unique<PeerNode>("b", &clock);
	PeerNode a("a", &clock);

	/* b does not list a yet, so it refuses what a sends. */
	a.set_members({ b.get() });
	a.send_denial("b", "k1");
	ASSERT_TRUE(wait_until([&] {
		return b->counter("peer_connections_refused_total"
				  "{reason=\"stranger\"}") > 0;
	}));
	EXPECT_TRUE(b->received().empty());
	b->set_members({ &a });
	EXPECT_TRUE(wait_until(
		[&] { return b->received_count("a:key_denial:k1") > 0; }));
	EXPECT_TRUE(wait_until([&] {
		return a.counter("peer_messages_total{direction=\"in\","
				 "kind=\"acknowledgement\"}") > 0;
	}));
}

TEST_F(Peer, DropsAMemberThatLeavesTheList)
{
	PeerNode a("a", &clock), b("b", &clock);

	a.set_members({ &b });
	b.set_members({ &a });
	ASSERT_TRUE(wait_until(
		[&] { return peer_service_connected(&a.service, "b"); }));
	b.set_members({});
	ASSERT_TRUE(wait_until(
		[&] { return !peer_service_connected(&a.service, "b"); }));
}

/* What a stranger writes, with the counter that must tell of it. */
TEST_F(Peer, AppliesNothingOfABrokenOrForeignStream)
{
	std::string good = frame_from("b");
	std::string wrong_sum = good;
	std::string wrong_version = good;
	std::string over_long = good;

	wrong_sum[good.size() - 1] ^= 1;
	wrong_version[3] = 9;
	over_long[7] = 1;
	struct {
		const char *name;
		const char *ip;
		std::string bytes;
		const char *reason;
	} cases[] = {
		{ "unlisted address", "127.0.0.9", good, "stranger" },
		{ "unlisted name", "127.0.0.2", frame_from("mallory"),
		  "stranger" },
		{ "name of a member elsewhere", "127.0.0.2", frame_from("c"),
		  "stranger" },
		{ "wrong checksum", "127.0.0.2", wrong_sum, "frame" },
		{ "unknown version", "127.0.0.2", wrong_version, "frame" },
		{ "over-long", "127.0.0.2", over_long, "frame" },
		{ "HTTP", "127.0.0.2", "GET / HTTP/1.1\r\n\r\n", "frame" },
	};

	PeerNode a("a", &clock), b("b", &clock, "127.0.0.2"),
		c("c", &clock, "127.0.0.3");
	a.set_members({ &b, &c });
	for (const auto &one : cases) {
		std::string counter =
			std::string("peer_connections_refused_total"
				    "{reason=\"") +
			one.reason + "\"}";
		int64_t before = a.counter(counter);
		int fd = connect_to(peer_service_port(&a.service), one.ip);

		EXPECT_LE(0, send(fd, one.bytes.data(), one.bytes.size(),
				  MSG_NOSIGNAL))
			<< one.name;
		EXPECT_TRUE(is_closed_by_peer(fd)) << one.name;
		EXPECT_EQ(before + 1, a.counter(counter)) << one.name;
		close(fd);
	}
	EXPECT_TRUE(a.received().empty());
	/* The same bytes from the right place do arrive. */
	int fd = connect_to(peer_service_port(&a.service), "127.0.0.2");
	EXPECT_EQ(static_cast<ssize_t>(good.size()),
		  send(fd, good.data(), good.size(), MSG_NOSIGNAL));
	EXPECT_TRUE(wait_until([&] {
		return a.received_count("b:key_denial:injected") == 1;
	}));
	close(fd);
}

TEST_F(Peer, EndsAFrameThatStaysHalfSent)
{
	AtomicClock fake(NS_PER_S);
	std::string good = frame_from("b");

	PeerNode a("a", &clock), b("b", &clock);
	PeerNode late("late", &fake.base);
	late.set_members({ &b });
	int fd = connect_to(peer_service_port(&late.service));
	std::string sent = good + good.substr(0, good.size() - 1);
	ASSERT_EQ(static_cast<ssize_t>(sent.size()),
		  send(fd, sent.data(), sent.size(), MSG_NOSIGNAL));
	ASSERT_TRUE(wait_until([&] { return late.received().size() == 1; }));
	/* The rest may be read only after the clock was moved once. */
	struct pollfd poll_fd = { fd, POLLIN, 0 };
	for (int i = 0; i < 100 && !poll(&poll_fd, 1, 100); i++)
		fake.advance(3 * NS_PER_S);
	EXPECT_TRUE(is_closed_by_peer(fd));
	EXPECT_EQ(1, late.counter("peer_connections_refused_total"
				  "{reason=\"timeout\"}"));
	EXPECT_EQ(1u, late.received().size());
	close(fd);
}

TEST(SendQueue, DropsTheOldestSoftMessageWhenFull)
{
	struct send_queue queue;
	struct strbuf frame, out;
	struct error err = ERROR_INIT;

	strbuf_init(&out);
	strbuf_init(&frame);
	strbuf_addstr(&frame, "x");
	send_queue_init(&queue);
	for (uint64_t i = 0; i < SEND_QUEUE_MAX_PENDING + 3; i++)
		EXPECT_EQ(0, send_queue_push(&queue, MESSAGE_HEARTBEAT, i,
					     &frame, 0, &err));
	EXPECT_EQ(3u, queue.dropped);
	EXPECT_EQ(3u, queue.pending.first->sequence);
	/* What is not soft takes the place of soft ones, then is refused. */
	for (uint64_t i = 0; i < SEND_QUEUE_MAX_PENDING; i++)
		EXPECT_EQ(0, send_queue_push(&queue, MESSAGE_ENTRIES, i, &frame,
					     0, &err));
	EXPECT_EQ(-1,
		  send_queue_push(&queue, MESSAGE_ENTRIES, 0, &frame, 0, &err));
	EXPECT_EQ(ERROR_FULL, err.code);
	EXPECT_EQ(-1, send_queue_push(&queue, MESSAGE_HEARTBEAT, 0, &frame, 0,
				      &err));
	send_queue_finish(&queue);
	strbuf_finish(&frame);
	strbuf_finish(&out);
}

static void count_frame(void *arg, const struct queued_frame *)
{
	(*static_cast<int *>(arg))++;
}

TEST(SendQueue, RepeatsAReliableMessageUntilAcknowledged)
{
	struct send_queue queue;
	struct strbuf frame, out;
	struct {
		int64_t at_ms;
		int acknowledge;
		int sent;
	} steps[] = {
		{ 0, 0, 1 },   { 100, 0, 0 }, { 200, 0, 1 },
		{ 400, 0, 1 }, { 600, 1, 0 }, { 800, 0, 0 },
	};

	strbuf_init(&out);
	strbuf_init(&frame);
	strbuf_addstr(&frame, "x");
	send_queue_init(&queue);
	ASSERT_EQ(0, send_queue_push(&queue, MESSAGE_KEY_DENIAL, 5, &frame, 0,
				     nullptr));
	send_queue_acknowledge(&queue, 4);
	for (const auto &step : steps) {
		int sent = 0;

		if (step.acknowledge)
			send_queue_acknowledge(&queue, 5);
		send_queue_take(&queue, &out, 1000, step.at_ms * NS_PER_MS,
				count_frame, &sent);
		EXPECT_EQ(step.sent, sent) << step.at_ms;
	}
	EXPECT_TRUE(send_queue_empty(&queue));
	/* After ten minutes the log has told the peer, or it is gone. */
	ASSERT_EQ(0, send_queue_push(&queue, MESSAGE_KEY_DENIAL, 6, &frame, 0,
				     nullptr));
	int sent = 0;
	send_queue_take(&queue, &out, 1000, 601 * NS_PER_S, count_frame, &sent);
	EXPECT_EQ(0, sent);
	EXPECT_TRUE(send_queue_empty(&queue));
	send_queue_finish(&queue);
	strbuf_finish(&frame);
	strbuf_finish(&out);
}
