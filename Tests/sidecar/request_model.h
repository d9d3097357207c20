#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/call_router.h"
#include "model_session.h"
#include "process_timers.h"
#include "sidecar/inbound_work.h"

namespace crocusdoor {

/// A violation of a guarantee that callers are given.
struct guarantee_violation {
  std::string description;
  duration seen_at{0};  ///< Since the start of the run.
};

/// Requests between the daemons of a fleet, on a virtual clock. The decisions are made by the
/// production code that sends calls, queues them at the target, cancels them and resolves the calls
/// of lost links; event loops freeze, connections end and callers disconnect as the test or the
/// seed specifies.
///
/// Checked: no request starts more than half a second after its caller has disconnected, no
/// idempotent request still runs after that time, a request that is not idempotent runs only once,
/// and a request that was reported as not run has not run and never runs.
class request_model {
 public:
  /// Time after which the end of a silent connection is detected.
  static constexpr duration silence_limit = std::chrono::milliseconds(800);

  explicit request_model(std::uint64_t seed);
  ~request_model();
  request_model(const request_model&) = delete;
  request_model& operator=(const request_model&) = delete;

  void run_for(duration span) { timers_.run_for(span); }
  /// Runs overlapping requests and faults, determined by the seed.
  void run_random_scenario();

  struct request_plan {
    std::size_t origin = 0;
    std::optional<std::size_t> target;  ///< Chosen at random if empty.
    bool idempotent = true;
    duration work{0};
    duration caller_timeout{0};  ///< Time after which the caller closes its connection.
    duration deadline = std::chrono::seconds(2);
  };
  /// A caller sends a request; returns its number.
  std::size_t send(const request_plan& plan);
  /// Freezes the event loop of a process.
  void freeze(std::size_t process, duration span);
  /// The connections between two processes are reset; a new one is opened after `gap`.
  void reset(std::size_t first, std::size_t second, duration gap);
  /// Nothing arrives any more on the connections between two processes; they end when that is
  /// detected.
  void silence(std::size_t first, std::size_t second);
  void kill(std::size_t process, duration down);

  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  /// Number of times that a request has started at a target.
  [[nodiscard]] int starts_of(std::size_t number) const { return requests_.at(number).starts; }
  [[nodiscard]] int running() const;
  [[nodiscard]] const std::optional<guarantee_violation>& violation() const { return violation_; }

 private:
  struct process;
  class links;
  struct attempt {
    wire::request_id id = 0;
    std::size_t target = 0;
    int target_start = 0;  ///< Which start of the target's process it was sent to.
    bool ended = false;
    bool reported_not_run = false;
    bool started = false;
  };
  struct model_request {
    request_plan plan;
    int origin_start = 0;
    std::optional<time_point> disconnected_at;
    /// When the event loop of the origin can detect it.
    std::optional<time_point> disconnect_visible_at;
    bool finished = false;
    int starts = 0;
    std::vector<attempt> attempts;
    timer_handle deadline_timer;
  };
  struct run {
    std::size_t request = 0;
    timer_handle end;
  };

  void start_process(std::size_t index);
  void end_process(std::size_t index);
  void connect(std::size_t first, std::size_t second);
  void disconnect(const session_pointer& session);
  void deliver(const session_pointer& session, std::size_t from, const wire::message& content);
  void arrive(const session_pointer& session, std::size_t to, model_session::arrival message);
  void schedule_read(const session_pointer& session, std::size_t reader);
  void read(const session_pointer& session, std::size_t reader, std::size_t maximum);
  /// Reads all messages that a peer has sent. Returns whether the connection with this number is
  /// still open.
  bool read_all(std::size_t reader, const instance_name& peer, std::uint64_t link);
  void session_ended(const session_pointer& session, std::size_t reader);

  void request_received(std::size_t number);
  void send_attempt(std::size_t number);
  void attempt_ended(std::size_t number, std::size_t index, const call_outcome& outcome);
  void cancel_request(std::size_t number);
  void start_at_target(std::size_t target, const inbound_request_pointer& inbound);
  void check_start(const model_request& request, const attempt& started, std::size_t target);
  void check_running_requests();
  void report(const std::string& description);
  [[nodiscard]] bool recently_silent(std::size_t first, std::size_t second) const;
  [[nodiscard]] duration random_duration(duration minimum, duration maximum);
  void inject_fault();

  random_source random_;
  virtual_timers timers_;
  std::vector<std::unique_ptr<process>> processes_;
  std::map<instance_name, std::size_t> positions_;
  std::vector<session_pointer> sessions_;
  std::uint64_t connections_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, time_point> silenced_at_;
  std::vector<model_request> requests_;
  timer_handle check_timer_;
  std::optional<guarantee_violation> violation_;
};

}  // namespace crocusdoor
