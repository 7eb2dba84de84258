#ifndef T_LIB_RAW_SERVER_H
#define T_LIB_RAW_SERVER_H

#include <mutex>
#include <string>
#include <thread>
#include <vector>

// Reads one request a connection and answers with given bytes, then closes:
// for answers that no HTTP library would send. Of several answers each is
// given once, and the last one from then on.
class RawServer
{
      public:
	explicit RawServer(const std::string &answer);
	explicit RawServer(const std::vector<std::string> &answers);
	~RawServer();

	std::string url() const;
	std::vector<std::string> requests(); // as they came

      private:
	void serve();

	std::vector<std::string> answers_;
	std::mutex lock_;
	std::vector<std::string> requests_;
	int listener_;
	int port_;
	std::thread thread_;
};

// The bytes of an answer with this status, body and further header lines.
std::string raw_answer(int status, const std::string &body,
		       const std::string &headers = "");

#endif
