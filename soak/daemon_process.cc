#include "soak/daemon_process.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

DaemonProcess::DaemonProcess(TestReactor *loop, const TempDir &dir,
			     int daemon_number, const std::string &store)
    : number(daemon_number), name("d" + std::to_string(daemon_number)),
      link(new Proxy(loop, store)), settings_(dir.file(name + ".json")),
      output_(dir.file(name + ".log"))
{
	std::ostringstream ip;

	ip << "127." << 1 + getpid() / 250 % 250 << "." << 1 + getpid() % 250
	   << "." << 10 + number;
	ip_ = ip.str();
}

void DaemonProcess::start(bool first)
{
	std::string listen = "\"" + ip_ + ":84";
	std::ofstream out(settings_);

	out << "{\"node\":\"" << name
	    << "\",\"zone\":\"z\",\"region\":\"r\",\"first_start\":"
	    << (first ? "true" : "false") << ",\"heartbeat_ms\":1200"
	    << ",\"listen\":{\"front\":" << listen
	    << "05\",\"ready\":" << listen << "06\",\"control\":" << listen
	    << "07\",\"directory\":" << listen << "04\"}"
	    << ",\"limits\":{\"cpu_share\":1,\"cores\":1,"
	       "\"memory_mb\":280,\"max_fds\":4000}"
	    << ",\"bounds\":{\"grace_s\":3,\"lease_ms\":1500,"
	       "\"report_window_s\":2,\"usage_late_s\":4,\"ttl_max_s\":5,"
	       "\"status_s\":120,\"settle_ms\":1000,\"cancel_ms\":3000,"
	       "\"ack_ms\":4000}"
	    << ",\"platform\":{\"addr\":\"" << link->address()
	    << "\",\"form\":\"log\",\"writes_per_s\":800,"
	       "\"reads_per_s\":2000,\"parts\":12,"
	       "\"record_bytes\":262144,\"call_bytes\":2097152,"
	       "\"retention_s\":300}"
	    << ",\"cloud\":{\"addr\":\"" << link->address()
	    << "\",\"duties\":[\"metering\"],\"duty_per_s\":50}}";
	out.close();
	process.reset(new Process());
	starts++;
	process->start({ built_program("currant-entryd"), settings_ },
		       output_ + "." + std::to_string(starts));
}

bool DaemonProcess::is_ready() const
{
	return output(1).find("event=ready") != std::string::npos;
}

std::string DaemonProcess::callers() const
{
	return ip_ + ":8405";
}

std::string DaemonProcess::output(int start) const
{
	return read_file(output_ + "." + std::to_string(start));
}
