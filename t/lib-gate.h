#ifndef T_LIB_GATE_H
#define T_LIB_GATE_H

#include <mutex>
#include <string>
#include <thread>
#include <vector>

// Forwards TCP connections. While it is closed, those that stand go on, and
// new ones wait in connect(): the kernel answers them once it is open again.
class Gate
{
      public:
	explicit Gate(const std::string &target); // "ip:port"
	~Gate();
	Gate(const Gate &) = delete;
	Gate &operator=(const Gate &) = delete;

	std::string url() const;

	// Nobody may connect while it is being closed.
	void close();
	void open();
	bool has_waiting(); // a connection that waits in connect()

      private:
	struct Pair {
		int near, far;
	};

	void serve();
	void accept_one();
	void wake();

	std::string target_;
	int listener_;
	int port_;
	int wake_[2];
	std::mutex lock_;
	bool accepting_ = true;
	bool ended_ = false;
	int filler_ = -1; // fills the listener's queue while it is closed
	std::vector<Pair> pairs_; // of the thread alone
	std::thread thread_;
};

#endif
