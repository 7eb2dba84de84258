// The proxy that tests put before servers.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/proxy.h"
#include "t/lib-fake-engine.h"
#include "t/lib-listener.h"

static int port_of(const Proxy &proxy)
{
	std::string address = proxy.address();

	return std::stoi(address.substr(address.find(':') + 1));
}

static bool connects(int port)
{
	struct sockaddr_in address = loopback_address(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok = !connect(fd, (struct sockaddr *)&address, sizeof(address));

	close(fd);
	return ok;
}

// Another program's server answered in place of one that was down.
TEST(Proxy, KeepsItsPortWhileItIsDown)
{
	TestReactor loop;
	FakeServer server(&loop, "s",
			  [](const ServerSaw &) { return ServerReply(); });
	Proxy proxy(&loop, server.address());
	int port = port_of(proxy);

	for (int i = 0; i < 3; i++) {
		EXPECT_TRUE(connects(port));
		proxy.set_fault(LinkFault::DOWN);
		EXPECT_FALSE(connects(port));
		EXPECT_FALSE(is_free_on_loopback(port));
		proxy.set_fault(LinkFault::NONE);
	}
	EXPECT_TRUE(connects(port));
	EXPECT_EQ(port, port_of(proxy));
}
