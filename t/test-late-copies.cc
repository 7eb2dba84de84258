// Servers that send a second copy of an answer late: right before the next
// answer on the same connection.
#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lib-batches.h"
#include "lib-listener.h"

namespace
{

// Answers each run of a request by the number of that run, the last answer from
// then on, and repeats the last answer of a connection before the next one.
class CopyingServer
{
      public:
	explicit CopyingServer(const std::vector<std::string> &answers)
	    : answers_(answers)
	{
		listener_ = listen_on_loopback(16, &port_);
		thread_ = std::thread(&CopyingServer::serve, this);
	}

	~CopyingServer()
	{
		stopping_ = true;
		thread_.join();
		for (const Connection &c : connections_)
			close(c.fd);
		close(listener_);
	}

	void join(struct fleet *fleet, const std::string &service,
		  const std::string &model = "") const
	{
		put_server(fleet, 1, "copies",
			   "127.0.0.1:" + std::to_string(port_), service, model,
			   1, false, 1);
	}

	int runs(const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock_);

		return runs_[id];
	}

      private:
	struct Connection {
		int fd;
		std::string input, last;
	};

	static std::string field(const std::string &request,
				 const std::string &name)
	{
		size_t at = request.find("\r\n" + name + ": ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 4;
		return request.substr(at, request.find("\r\n", at) - at);
	}

	// Takes one whole request from the input; "" if there is none.
	static std::string take_request(std::string *input)
	{
		size_t end = input->find("\r\n\r\n");
		std::string request;

		if (end == std::string::npos)
			return "";
		end += 4 + (size_t)atoi(field(input->substr(0, end + 4),
					      "Content-Length")
						.c_str());
		if (input->size() < end)
			return "";
		request = input->substr(0, end);
		input->erase(0, end);
		return request;
	}

	std::string answer(const std::string &request)
	{
		std::string id = field(request, "X-Attempt-Id");
		std::string out;
		size_t run;
		{
			std::lock_guard<std::mutex> guard(lock_);

			run = (size_t)runs_[id]++;
		}
		out = answers_[std::min(run, answers_.size() - 1)];
		for (size_t at; (at = out.find("ID")) != std::string::npos;)
			out.replace(at, 2, id);
		return out;
	}

	void read_some(Connection *c)
	{
		char bytes[65536];
		ssize_t len = recv(c->fd, bytes, sizeof(bytes), 0);
		std::string request;

		if (len <= 0) {
			close(c->fd);
			c->fd = -1;
			return;
		}
		c->input.append(bytes, (size_t)len);
		while (!(request = take_request(&c->input)).empty()) {
			std::string next = answer(request);
			std::string all = c->last + next;

			c->last = next;
			send(c->fd, all.data(), all.size(), MSG_NOSIGNAL);
		}
	}

	void serve()
	{
		while (!stopping_) {
			std::vector<struct pollfd> fds = { { listener_, POLLIN,
							     0 } };

			for (const Connection &c : connections_)
				fds.push_back({ c.fd, POLLIN, 0 });
			if (poll(fds.data(), fds.size(), 20) <= 0)
				continue;
			for (size_t i = 1; i < fds.size(); i++)
				if (fds[i].revents)
					read_some(&connections_[i - 1]);
			if (fds[0].revents)
				connections_.push_back(
					{ accept(listener_, nullptr, nullptr),
					  "", "" });
		}
	}

	std::vector<std::string> answers_;
	std::vector<Connection> connections_;
	std::map<std::string, int> runs_;
	std::mutex lock_;
	std::atomic<bool> stopping_{ false };
	int listener_;
	int port_;
	std::thread thread_;
};

// "ID" stands for the id of the request.
std::string answer_of(const std::string &status, const std::string &body,
		      const std::string &fields = "")
{
	return "HTTP/1.1 " + status +
	       "\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n" + fields +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

const std::string failure = answer_of("500 X", "");

std::string stream()
{
	std::string body = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

	return answer_of("200 OK", body,
			 "Content-Type: text/event-stream\r\n"
			 "X-Weight-Versions: 1\r\n");
}

Submission one_item()
{
	Submission submission;

	submission.groups = submission.group_size = 1;
	return submission;
}

} // namespace

// Guards against items that are listed as dead_letter after two failures of an
// engine where three are allowed: a copy of the first one was taken for the
// answer to the second run, as both name the item.
TEST_F(Batches, FailOncePerRunThoughAnAnswerComesTwice)
{
	CopyingServer engine({ failure, stream(), failure });
	Submission submission = one_item();
	BatchHost *host = add_host("a");
	ReadAnswer answer;

	host->configure(2, ",\"max_attempts\":3");
	engine.join(&host->fleet, "s", "m");
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer));
	EXPECT_EQ("complete", answer.results[0].state);
	EXPECT_EQ("one\ntwo", answer.results[0].text);
	EXPECT_EQ(2, engine.runs(submission.item(0)));
}

// The same of reward calls, whose failures end an item as well.
TEST_F(Batches, AreScoredThoughAFailureComesTwice)
{
	CopyingServer scorer(
		{ failure, answer_of("200 OK", "{\"reward\":1}"), failure });
	Submission submission = one_item();
	BatchHost *host = add_host("a");
	ReadAnswer answer;

	submission.scorer = "/score/x";
	add_engine("e", stream_reply(2));
	scorer.join(&host->fleet, "r");
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer));
	EXPECT_EQ("complete", answer.results[0].state);
	EXPECT_EQ(2, scorer.runs(submission.reward(0)));
}
