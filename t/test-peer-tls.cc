// Mutual TLS between daemons: who is refused, and certificates that change.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <memory>

#include "t/lib-certificate.h"
#include "t/lib-peer.h"

static std::string refused(const std::string &reason)
{
	return "peer_connections_refused_total{reason=\"" + reason + "\"}";
}

class PeerTls : public ::testing::Test
{
      protected:
	PeerTls()
	    : ours(folder.file(""), "ours"), theirs(folder.file(""), "theirs")
	{
		system_clock_init(&clock);
	}

	std::unique_ptr<PeerNode> node(const std::string &name,
				       const struct tls_settings &settings)
	{
		return std::make_unique<PeerNode>(name, &clock, "127.0.0.1",
						  &settings);
	}

	struct clock clock;
	TempDir folder;
	Authority ours, theirs;
};

TEST_F(PeerTls, DeliversBetweenMembersOfOneAuthority)
{
	auto a = node("a", ours.issue("a", "a"));
	auto b = node("b", ours.issue("b", "b"));

	a->set_members({ b.get() });
	b->set_members({ a.get() });
	a->send_denial("b", "k1");
	b->send_heartbeat("a", std::string(100000, 'x'));
	EXPECT_TRUE(wait_until([&] {
		return b->received_count("a:key_denial:k1") == 1 &&
		       a->received().size() == 1;
	}));
	EXPECT_EQ(0, a->counter(refused("tls")));
}

/* Each of these calls itself b, is listed as b and sends a denial. */
TEST_F(PeerTls, AppliesNothingOfAStranger)
{
	struct {
		const char *name;
		std::unique_ptr<PeerNode> stranger;
		const char *reason;
	} cases[] = {
		{ "no TLS at all",
		  std::make_unique<PeerNode>("b", &clock, "127.0.0.1"), "tls" },
		{ "another authority", node("b", theirs.issue("b", "other")),
		  "tls" },
		{ "a name that is not listed",
		  node("b", ours.issue("mallory", "mallory")), "stranger" },
		{ "the name of another member", node("b", ours.issue("c", "c")),
		  "stranger" },
	};
	struct tls_settings own = ours.issue("a", "a");

	for (auto &one : cases) {
		auto a = node("a", own);
		PeerNode c("c", &clock);

		a->set_members({ one.stranger.get(), &c }, false);
		one.stranger->set_members({ a.get() });
		one.stranger->send_denial("a", "injected");
		EXPECT_TRUE(wait_until([&] {
			return a->counter(refused(one.reason)) > 0;
		})) << one.name;
		EXPECT_TRUE(a->received().empty()) << one.name;
	}
}

/* A client that shows no certificate gets no further than the handshake. */
TEST_F(PeerTls, AppliesNothingWithoutCertificate)
{
	auto a = node("a", ours.issue("a", "a"));
	SSL_CTX *context = SSL_CTX_new(TLS_method());
	int fd = connect_to(peer_service_port(&a->service));
	SSL *ssl = SSL_new(context);
	char byte;

	a->set_members({});
	SSL_set_fd(ssl, fd);
	SSL_connect(ssl);
	EXPECT_GE(0, SSL_read(ssl, &byte, 1));
	EXPECT_TRUE(
		wait_until([&] { return a->counter(refused("tls")) == 1; }));
	SSL_free(ssl);
	SSL_CTX_free(context);
	close(fd);
}

/* The member called must be who it is listed as, before anything is sent. */
TEST_F(PeerTls, SendsNothingToAnImpostor)
{
	auto a = node("a", ours.issue("a", "a"));
	auto impostor = node("b", ours.issue("c", "c"));

	a->set_members({ impostor.get() });
	impostor->set_members({ a.get() });
	a->send_denial("b", "k1");
	EXPECT_TRUE(wait_until(
		[&] { return a->counter("peer_reconnects_total") > 1; }));
	EXPECT_FALSE(peer_service_connected(&a->service, "b"));
	EXPECT_TRUE(impostor->received().empty());
}

TEST_F(PeerTls, UsesNewCertificatesWithoutRestart)
{
	struct tls_settings settings = theirs.issue("b", "b");
	struct fake_clock fake;
	struct timer_service timers;
	auto a = node("a", ours.issue("a", "a"));
	auto b = node("b", settings);

	fake_clock_init(&fake, 0);
	timer_service_init(&timers, &fake.base);
	peer_service_watch_certificates(&b->service, &timers, NS_PER_S);
	a->set_members({ b.get() }, false);
	b->set_members({ a.get() });
	b->send_denial("a", "k1");
	ASSERT_TRUE(wait_until(
		[&] { return b->counter("peer_reconnects_total") > 0; }));
	EXPECT_TRUE(a->received().empty());

	struct tls_settings renewed = ours.issue("b", "b");
	rename(renewed.authority, settings.authority);
	fake_clock_advance(&fake, NS_PER_S);
	EXPECT_EQ(1u, timer_service_run_due(&timers));
	EXPECT_TRUE(wait_until(
		[&] { return a->received_count("b:key_denial:k1") > 0; }));
	b.reset();
	timer_service_finish(&timers);
}

TEST_F(PeerTls, KeepsTheOldOnesWhenNewFilesAreUnusable)
{
	struct tls_settings settings = ours.issue("b", "b");
	struct peer_tls tls;
	struct error err = ERROR_INIT;

	ASSERT_EQ(0, peer_tls_init(&tls, &settings, &err)) << err.text;
	EXPECT_EQ(0, peer_tls_reload(&tls, &err));
	FILE *file = fopen(settings.certificate, "w");
	fputs("no certificate", file);
	fclose(file);
	EXPECT_EQ(-1, peer_tls_reload(&tls, &err));
	EXPECT_EQ(std::string("certificate '") + settings.certificate,
		  std::string(err.text).substr(0, strlen(settings.certificate) +
							  13));
	SSL *ssl = peer_tls_open(&tls, -1, 0);
	EXPECT_NE(nullptr, ssl);
	SSL_free(ssl);
	ours.issue("b", "b");
	EXPECT_EQ(1, peer_tls_reload(&tls, &err));
	peer_tls_finish(&tls);
}

TEST_F(PeerTls, RefusesToStartWithoutItsFiles)
{
	struct tls_settings settings = ours.issue("b", "b");
	struct peer_tls tls;
	struct error err = ERROR_INIT;

	unlink(settings.private_key);
	EXPECT_EQ(-1, peer_tls_init(&tls, &settings, &err));
	EXPECT_EQ(ERROR_INVALID, err.code);
	peer_tls_finish(&tls);
}
