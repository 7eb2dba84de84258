// The daemon of an entry host with little memory, and what is sent to it.
#ifndef T_LIB_SMALL_DAEMON_H
#define T_LIB_SMALL_DAEMON_H

#include "t/lib-entry-process.h"
#include "t/lib-hostile-crowd.h"

static const int MEMORY_MB = 48;
static const int MAX_FDS = 300;
static const size_t MAX_BODY = 1000000;

inline std::string head(const std::string &method, const std::string &path)
{
	return method + " " + path +
	       " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n";
}

inline std::string body_head(const std::string &path, size_t length)
{
	return head("POST", path) +
	       "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

inline ServerReply serve_small_daemon(const ServerSaw &saw)
{
	ServerReply reply;

	if (saw.target[1] == 'w')
		return hang_reply();
	if (saw.target[1] == 's') {
		reply = stream_reply(30, 5);
		reply.event_bytes = 20000;
	}
	if (saw.target[1] == 'l')
		reply.body = std::string(600000, 'y');
	return reply;
}

inline std::string small_daemon_config(size_t max_body)
{
	return R"({"version":1,"routes":[
 {"name":"i","host":"h","path_prefix":"/i/","type":"idempotent",
  "timeout_ms":60000,"goal_ms":60000,"max_attempts":2,"service":"p"},
 {"name":"w","host":"h","path_prefix":"/w/","type":"non_idempotent",
  "timeout_ms":60000,"goal_ms":60000,"max_attempts":2,"service":"p"},
 {"name":"l","host":"h","path_prefix":"/l/","type":"idempotent",
  "timeout_ms":60000,"goal_ms":60000,"max_attempts":2,"service":"p"},
 {"name":"s","host":"h","path_prefix":"/s/","type":"stream",
  "timeout_ms":60000,"goal_ms":60000,"max_attempts":2,"service":"p"},
 {"name":"b","host":"h","path_prefix":"/b/","type":"rollout",
  "timeout_ms":60000,"goal_ms":300,"max_attempts":9,"due_ms":2000,
  "retention_s":60,"sticky":true,"resumable":true,"service":"p"}],
 "services":[{"name":"p"}],
 "limits":{"max_header_bytes":8000,"max_body_bytes":)" +
	       std::to_string(max_body) +
	       R"(,"header_timeout_ms":60000,"idle_timeout_ms":60000}})";
}

struct SmallDaemon : EntryProcess {
	explicit SmallDaemon(int memory_mb = MEMORY_MB,
			     size_t max_body = MAX_BODY)
	    : EntryProcess({ small_daemon_config(max_body), serve_small_daemon,
			     memory_mb, MAX_FDS })
	{
	}
};

#endif
