#include "soak/ending_server.h"

EndingServer::EndingServer(TestReactor *loop, StoreStandin *store,
			   const std::string &id,
			   const std::string &service_name, uint32_t slots,
			   const std::string &models, int64_t down_ms)
    : server(loop, id, [](const ServerSaw &) { return ServerReply(); }),
      link(loop, server.address()), service(service_name), loop_(loop),
      store_(store), slots_(slots), models_(models), down_ms_(down_ms)
{
	enter();
}

EndingServer::~EndingServer()
{
	timer_unsubscribe(&loop_->reactor.timers, &timer_);
}

void EndingServer::enter()
{
	store_->topics.put(
		"keyed.servers", server.id(),
		"{\"service\":\"" + service + "\",\"addr\":\"" +
			link.address() +
			"\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" +
			std::to_string(slots_) +
			",\"state\":\"ready\",\"cold_left_ms\":0,\"models\":[" +
			models_ + "],\"seq\":1,\"born\":" +
			std::to_string(born_ms) + "}");
}

void EndingServer::leave()
{
	store_->topics.put("keyed.servers", server.id(), "");
}

void EndingServer::end()
{
	if (ending_)
		return;
	ending_ = true;
	timer_subscribe_once(&loop_->reactor.timers, &timer_, NS_PER_MS,
			     on_down, this);
}

void EndingServer::on_down(void *arg, int64_t)
{
	EndingServer *self = (EndingServer *)arg;

	self->on_end();
	self->link.set_fault(LinkFault::DOWN);
	timer_subscribe_once(&self->loop_->reactor.timers, &self->timer_,
			     self->down_ms_ * NS_PER_MS, on_back, self);
}

void EndingServer::on_back(void *arg, int64_t)
{
	EndingServer *self = (EndingServer *)arg;

	self->link.set_fault(LinkFault::NONE);
	self->ending_ = false;
	self->born_ms++;
	self->enter();
}
