#include "backend/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "base/clock.h"

#define LOOP_EVENTS 128
#define LOOP_MAX_WAIT_MS 500
#define LOOP_CONNECT_TIMEOUT_MS 1000
#define LOOP_CACHED_CONNECTIONS 1024
#define HTTP_STATUS_MAX 599

static int64_t now_ns(void)
{
	struct clock clock;

	system_clock_init(&clock);
	return clock_now_ns(&clock);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *socket_arg)
{
	struct backend_loop *loop = arg;
	struct epoll_event event = { .data.fd = fd };

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	if (socket_arg ||
	    epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event)) {
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &event);
	}
	curl_multi_assign(loop->multi, fd, loop);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct backend_loop *loop = arg;

	(void)multi;
	loop->timer_due_ns = timeout_ms < 0 ? -1
					    : now_ns() + timeout_ms * NS_PER_MS;
	return 0;
}

int backend_loop_init(struct backend_loop *loop, struct counter_set *counters)
{
	struct epoll_event event = { .events = EPOLLIN };

	memset(loop, 0, sizeof(*loop));
	loop->timer_due_ns = -1;
	loop->submitted_tail = &loop->submitted;
	loop->multi = curl_multi_init();
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (!loop->multi || loop->epoll_fd < 0 || loop->wake_fd < 0)
		return -1;
	event.data.fd = loop->wake_fd;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &event);
	pthread_mutex_init(&loop->lock, NULL);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS,
			  (long)LOOP_CACHED_CONNECTIONS);
	loop->calls = counter_get(counters, "backend_calls_total");
	loop->lost = counter_get(counters, "backend_calls_lost_total");
	return 0;
}

void backend_loop_finish(struct backend_loop *loop)
{
	backend_loop_stop(loop);
	for (uint32_t i = 0; i < loop->free_count; i++)
		curl_easy_cleanup(loop->free_handles[i]);
	curl_multi_cleanup(loop->multi);
	close(loop->epoll_fd);
	close(loop->wake_fd);
	free(loop->cancels);
	pthread_mutex_destroy(&loop->lock);
}

/* libcurl rejects a status below 100. */
static int status_is_valid(const struct backend_call *call)
{
	return call->status <= HTTP_STATUS_MAX;
}

static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	struct backend_call *call = arg;

	if (!call->status)
		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE,
				  &call->status);
	if (!status_is_valid(call))
		return 0; /* ends the call with an error */
	if (!call->cancelled && call->handler->data)
		call->handler->data(call, data, size * count);
	return size * count;
}

/*
 * No seek function is set, so that libcurl cannot rewind the body: otherwise
 * it resends the body when a persistent connection closes before the
 * response. Such a retry would be missing from the count of attempts of a
 * request and from the record of what ran on a server that was lost.
 */
static size_t on_read(char *out, size_t size, size_t count, void *arg)
{
	struct backend_call *call = arg;
	size_t len = call->body.len - call->body_sent;

	if (len > size * count)
		len = size * count;
	memcpy(out, call->body.buf + call->body_sent, len);
	call->body_sent += len;
	return len;
}

static void set_body(struct backend_call *call)
{
	call->body_sent = 0;
	if (!call->body.len && strcmp(call->method, "POST"))
		return;
	curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)call->body.len);
	curl_easy_setopt(call->easy, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(call->easy, CURLOPT_READDATA, call);
}

static void set_options(struct backend_call *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, call->url.buf);
	curl_easy_setopt(easy, CURLOPT_NOBODY,
			 (long)!strcmp(call->method, "HEAD"));
	set_body(call);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)LOOP_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	/*
	 * When a persistent connection closes before the first byte of the
	 * response, libcurl resends a request without a body; on a new
	 * connection it does not. The new connection is not reused, or each
	 * call would leave one open.
	 */
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, (long)call->run_once);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, (long)call->run_once);
}

static void link_active(struct backend_loop *loop, struct backend_call *call)
{
	call->next = loop->active;
	if (call->next)
		call->next->link = &call->next;
	call->link = &loop->active;
	loop->active = call;
}

static void unlink_active(struct backend_call *call)
{
	*call->link = call->next;
	if (call->next)
		call->next->link = call->link;
}

static void start_call(struct backend_loop *loop, struct backend_call *call)
{
	call->easy = loop->free_count ? loop->free_handles[--loop->free_count]
				      : curl_easy_init();
	if (!call->easy)
		BUG("no memory for a call to %s", call->url.buf);
	set_options(call);
	counter_add(loop->calls, 1);
	link_active(loop, call);
	curl_multi_add_handle(loop->multi, call->easy);
}

static enum call_outcome outcome_of(const struct backend_call *call,
				    CURLcode code, long request_bytes)
{
	/*
	 * Only errors before the connection was established prove that
	 * nothing was sent; the request may have been sent on a persistent
	 * connection that then closed. libcurl connects again in that case,
	 * and an error of the second connection proves nothing about the
	 * first, hence the check of request_bytes.
	 */
	if (call->cancelled)
		return CALL_CANCELLED;
	if (code == CURLE_OK && status_is_valid(call))
		return CALL_ANSWERED;
	if (!request_bytes && (code == CURLE_COULDNT_CONNECT ||
			       code == CURLE_COULDNT_RESOLVE_HOST ||
			       code == CURLE_OPERATION_TIMEDOUT))
		return CALL_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return CALL_TIMED_OUT;
	return CALL_LOST;
}

static void read_result(struct backend_call *call, CURLcode code)
{
	char *type = NULL;
	curl_off_t retry_after_s = 0;
	long request_bytes = 0;
	long os_errno = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &call->status);
	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_TYPE, &type);
	curl_easy_getinfo(call->easy, CURLINFO_RETRY_AFTER, &retry_after_s);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	copy_text(call->content_type, sizeof(call->content_type),
		  type ? type : "");
	call->retry_after_s = retry_after_s > 0 ? retry_after_s : -1;
	call->sent_bytes = request_bytes;
	curl_easy_getinfo(call->easy, CURLINFO_OS_ERRNO, &os_errno);
	call->refused = code == CURLE_COULDNT_CONNECT &&
			os_errno == ECONNREFUSED;
	call->outcome = outcome_of(call, code, request_bytes);
}

static void end_call(struct backend_loop *loop, struct backend_call *call,
		     CURLcode code)
{
	CURL *easy = call->easy;

	read_result(call, code);
	if (call->outcome == CALL_LOST || call->outcome == CALL_TIMED_OUT)
		counter_add(loop->lost, 1);
	curl_multi_remove_handle(loop->multi, easy);
	call->easy = NULL;
	unlink_active(call);
	if (loop->free_count < LOOP_FREE_HANDLES_MAX) {
		curl_easy_reset(easy);
		loop->free_handles[loop->free_count++] = easy;
	} else {
		curl_easy_cleanup(easy);
	}
	call->handler->done(call);
}

static void end_completed(struct backend_loop *loop)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(loop->multi, &left))) {
		struct backend_call *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &call);
		end_call(loop, call, message->data.result);
	}
}

static void wake(struct backend_loop *loop)
{
	uint64_t one = 1;

	if (write(loop->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		BUG("waking the backend loop failed: %s", strerror(errno));
}

uint64_t backend_loop_submit(struct backend_loop *loop,
			     struct backend_call *call)
{
	uint64_t id;

	call->next = NULL;
	call->status = 0;
	call->cancelled = 0;
	pthread_mutex_lock(&loop->lock);
	call->id = ++loop->last_id;
	*loop->submitted_tail = call;
	loop->submitted_tail = &call->next;
	id = call->id;
	pthread_mutex_unlock(&loop->lock);
	wake(loop);
	return id;
}

void backend_loop_cancel(struct backend_loop *loop, uint64_t call_id)
{
	pthread_mutex_lock(&loop->lock);
	if (loop->cancel_count == loop->cancel_alloc) {
		loop->cancel_alloc = loop->cancel_alloc * 2 + 16;
		loop->cancels =
			xrealloc(loop->cancels,
				 loop->cancel_alloc * sizeof(*loop->cancels));
	}
	loop->cancels[loop->cancel_count++] = call_id;
	pthread_mutex_unlock(&loop->lock);
	wake(loop);
}

static void start_submitted(struct backend_loop *loop)
{
	struct backend_call *call;

	pthread_mutex_lock(&loop->lock);
	call = loop->submitted;
	loop->submitted = NULL;
	loop->submitted_tail = &loop->submitted;
	pthread_mutex_unlock(&loop->lock);
	while (call) {
		struct backend_call *next = call->next;

		start_call(loop, call);
		call = next;
	}
}

static void cancel_call(struct backend_loop *loop, struct backend_call *call)
{
	call->cancelled = 1;
	end_call(loop, call, CURLE_ABORTED_BY_CALLBACK);
}

static void cancel_requested(struct backend_loop *loop)
{
	uint64_t *ids;
	uint32_t count;

	pthread_mutex_lock(&loop->lock);
	ids = loop->cancels;
	count = loop->cancel_count;
	loop->cancels = NULL;
	loop->cancel_count = 0;
	loop->cancel_alloc = 0;
	pthread_mutex_unlock(&loop->lock);
	for (uint32_t i = 0; i < count; i++) {
		struct backend_call *call = loop->active;

		while (call && call->id != ids[i])
			call = call->next;
		if (call)
			cancel_call(loop, call);
	}
	free(ids);
}

static int wait_ms(const struct backend_loop *loop)
{
	int64_t left_ns;

	if (loop->timer_due_ns < 0)
		return LOOP_MAX_WAIT_MS;
	left_ns = loop->timer_due_ns - now_ns();
	if (left_ns <= 0)
		return 0;
	if (left_ns > LOOP_MAX_WAIT_MS * NS_PER_MS)
		return LOOP_MAX_WAIT_MS;
	return (int)((left_ns + NS_PER_MS - 1) / NS_PER_MS);
}

static void run_timer(struct backend_loop *loop)
{
	int left;

	if (loop->timer_due_ns < 0 || loop->timer_due_ns > now_ns())
		return;
	loop->timer_due_ns = -1;
	curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &left);
}

static void run_socket(struct backend_loop *loop,
		       const struct epoll_event *event)
{
	int mask = 0;
	int left;

	if (event->events & (EPOLLIN | EPOLLHUP))
		mask |= CURL_CSELECT_IN;
	if (event->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (event->events & EPOLLERR)
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(loop->multi, event->data.fd, mask, &left);
}

static void run_events(struct backend_loop *loop)
{
	struct epoll_event events[LOOP_EVENTS];
	int count =
		epoll_wait(loop->epoll_fd, events, LOOP_EVENTS, wait_ms(loop));

	for (int i = 0; i < count; i++) {
		uint64_t value;

		if (events[i].data.fd != loop->wake_fd) {
			run_socket(loop, &events[i]);
			continue;
		}
		if (read(loop->wake_fd, &value, sizeof(value)) < 0)
			continue;
	}
}

static int is_stopping(struct backend_loop *loop)
{
	int stopping;

	pthread_mutex_lock(&loop->lock);
	stopping = loop->stopping;
	pthread_mutex_unlock(&loop->lock);
	return stopping;
}

static void *loop_thread(void *arg)
{
	struct backend_loop *loop = arg;

	while (!is_stopping(loop)) {
		start_submitted(loop);
		cancel_requested(loop);
		run_events(loop);
		run_timer(loop);
		end_completed(loop);
	}
	start_submitted(loop);
	while (loop->active)
		cancel_call(loop, loop->active);
	return NULL;
}

void backend_loop_start(struct backend_loop *loop)
{
	loop->running = 1;
	pthread_create(&loop->thread, NULL, loop_thread, loop);
}

void backend_loop_stop(struct backend_loop *loop)
{
	if (!loop->running)
		return;
	pthread_mutex_lock(&loop->lock);
	loop->stopping = 1;
	pthread_mutex_unlock(&loop->lock);
	wake(loop);
	pthread_join(loop->thread, NULL);
	loop->running = 0;
}
