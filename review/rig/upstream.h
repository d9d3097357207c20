#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "http.h"
#include "record.h"

namespace review {

/// What an upstream is and how it answers.
struct upstream_options {
  std::string id;
  std::string service;
  std::string zone;
  endpoint address;
  endpoint control;  ///< Of the node on the same machine; heartbeats go there.
  int capacity = 9;
  milliseconds work{20};
  std::size_t response_bytes = 400;
  milliseconds heartbeat_interval{1'500};
  bool sends_heartbeats = true;  ///< Otherwise the caller delivers them.
  int endless_every = 0;         ///< Each n-th answer has a body without end; 0 for none.
  /// Value of the header X-User of the requests that crash the upstream; empty if there are none.
  std::string crashing_user;
};

/// A stand-in of one start of an upstream. It sends heartbeats from its construction until it
/// leaves.
class upstream {
 public:
  upstream(record& log, upstream_options options);
  ~upstream();
  upstream(const upstream&) = delete;
  upstream& operator=(const upstream&) = delete;

  /// Text of the next heartbeat, which the caller may deliver late.
  std::string next_heartbeat();
  /// Sends a heartbeat and returns the status of its answer.
  int deliver(const std::string& heartbeat, const std::string& remark);
  /// Ends the heartbeats and sends DELETE; goes on serving. Returns whether it was acknowledged.
  bool leave();
  /// Number of requests that it has begun to run.
  [[nodiscard]] int runs() const { return runs_; }
  /// Whether it has begun to run a request that crashes it. The owner then ends it.
  [[nodiscard]] bool crashed() const { return crashed_; }
  /// Runs that began later than `drain` after the acknowledgement of `leave`, at or after `from`.
  [[nodiscard]] int runs_after_leaving(milliseconds drain, steady::time_point from);

 private:
  reply answer(const http_message& request);
  void send_heartbeats();

  record& log_;
  upstream_options options_;
  std::uint64_t born_ms_;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<int> runs_ = 0;
  std::atomic<bool> crashed_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  bool leaving_ = false;
  steady::time_point left_at_{};
  std::vector<steady::time_point> run_times_;
  std::unique_ptr<http_server> server_;
  std::thread heartbeats_;
};

}  // namespace review
