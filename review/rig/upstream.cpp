#include "upstream.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {

namespace {

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr milliseconds heartbeat_timeout{1'000};

std::uint64_t wall_clock_ms() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

upstream::upstream(record& log, upstream_options options)
    : log_(log), options_(std::move(options)), born_ms_(wall_clock_ms()) {
  server_ = std::make_unique<http_server>(
      options_.address, [this](const http_message& request) { return answer(request); });
  if (options_.sends_heartbeats) {
    heartbeats_ = std::thread([this] { send_heartbeats(); });
  }
}

upstream::~upstream() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  if (heartbeats_.joinable()) {
    heartbeats_.join();
  }
  server_->stop();
}

std::string upstream::next_heartbeat() {
  const nlohmann::json body = {{"service", options_.service},
                               {"address", options_.address.text()},
                               {"zone", options_.zone},
                               {"version", "v1"},
                               {"capacity", options_.capacity},
                               {"state", "ready"},
                               {"warmupLeftMs", 0},
                               {"sequence", ++sequence_},
                               {"born", born_ms_}};
  return request_text("PUT", "/instances/" + options_.id,
                      {{"Host", options_.control.text()}, {"Content-Type", "application/json"}},
                      body.dump());
}

int upstream::deliver(const std::string& heartbeat, const std::string& remark) {
  const int status = exchange(options_.control, heartbeat, heartbeat_timeout).status();
  if (!remark.empty()) {
    log_.line(options_.id + ": " + remark + " answered " + std::to_string(status));
  }
  return status;
}

void upstream::send_heartbeats() {
  std::unique_lock lock(mutex_);
  while (!stopped_ && !leaving_) {
    lock.unlock();
    deliver(next_heartbeat(), "");
    lock.lock();
    changed_.wait_for(lock, options_.heartbeat_interval, [this] { return stopped_ || leaving_; });
  }
}

bool upstream::leave() {
  {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
  }
  changed_.notify_all();
  const nlohmann::json body = {{"born", born_ms_}};
  const std::string request = request_text(
      "DELETE", "/instances/" + options_.id,
      {{"Host", options_.control.text()}, {"Content-Type", "application/json"}}, body.dump());
  const int status = exchange(options_.control, request, heartbeat_timeout).status();
  const std::lock_guard lock(mutex_);
  left_at_ = steady::now();
  log_.line(options_.id + ": DELETE answered " + std::to_string(status));
  return status == status_ok;
}

int upstream::runs_after_leaving(milliseconds drain, steady::time_point from) {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(
      std::count_if(run_times_.begin(), run_times_.end(), [&](steady::time_point began) {
        return left_at_ != steady::time_point{} && began > left_at_ + drain && began >= from;
      }));
}

reply upstream::answer(const http_message& request) {
  if (request.word(1) == "/healthz") {
    const std::lock_guard lock(mutex_);
    return response_text(leaving_ ? status_unavailable : status_ok,
                         {{"X-Instance-Id", options_.id}});
  }
  const std::string expected = request.header("X-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return response_text(status_misdirected, {{"X-Instance-Id", options_.id}});
  }
  const std::string id = request.header("X-Attempt-Id");
  {
    const std::lock_guard lock(mutex_);
    run_times_.push_back(steady::now());
  }
  ++runs_;
  log_.ran(id);
  log_.line(options_.id + " (" + options_.service + "): runs " + request.word(0) + " " +
            request.word(1) + " of attempt " + id + " for " + request.header("X-User"));
  if (!options_.crashing_user.empty() && request.header("X-User") == options_.crashing_user) {
    crashed_ = true;
    return std::string();
  }
  if (options_.endless_every > 0 && runs_ % options_.endless_every == 0) {
    log_.line(options_.id + ": answers attempt " + id + " without end");
    reply endless("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id +
                  "\r\nConnection: close\r\n\r\n");
    endless.without_end = true;
    return endless;
  }
  std::this_thread::sleep_for(options_.work);
  return response_text(status_ok, {{"X-Attempt-Id", id}, {"X-Response-Seal", "seal-" + id}},
                       std::string(options_.response_bytes, 'r'));
}

}  // namespace review
