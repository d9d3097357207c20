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

/// A promise to callers that was broken.
struct broken_promise {
  std::string what;
  duration seen_at{0};  ///< Since the start of the run.
};

/// Requests between the daemons of a fleet, on a virtual clock. The real code that sends calls,
/// queues them at the target, cancels them and settles lost links decides; loops stand still,
/// connections end and callers leave as the test or the seed says.
///
/// Checked: a request does not start more than half a second after its caller has left, an
/// idempotent one does not run on for longer, a request that may run only once does, and a request
/// that was reported as not run has not run and never does.
class request_model {
 public:
  /// After which a connection that has fallen silent is seen to end.
  static constexpr duration silence_limit = std::chrono::milliseconds(800);

  explicit request_model(std::uint64_t seed);
  ~request_model();
  request_model(const request_model&) = delete;
  request_model& operator=(const request_model&) = delete;

  void run_for(duration span) { timers_.run_for(span); }
  /// Requests and faults as the seed says, overlapping.
  void run_random_day();

  struct request_plan {
    std::size_t origin = 0;
    std::optional<std::size_t> target;  ///< Any if empty.
    bool idempotent = true;
    duration work{0};
    duration patience{0};  ///< After which the caller closes its connection.
    duration deadline = std::chrono::seconds(2);
  };
  /// A caller sends a request; returns its number.
  std::size_t send(const request_plan& plan);
  /// The loop of a process stands still.
  void stall(std::size_t process, duration span);
  /// The connections between two processes are reset; a new one is opened after `gap`.
  void reset(std::size_t one, std::size_t other, duration gap);
  /// The connections between two processes bring nothing any more, and end when that is noticed.
  void silence(std::size_t one, std::size_t other);
  void kill(std::size_t process, duration down);

  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  /// Times that a request has started at a target.
  [[nodiscard]] int starts_of(std::size_t number) const { return requests_.at(number).starts; }
  [[nodiscard]] int running() const;
  [[nodiscard]] const std::optional<broken_promise>& broken() const { return broken_; }

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
  struct request {
    request_plan plan;
    int origin_start = 0;
    std::optional<time_point> left_at;
    std::optional<time_point> leaving_seen_at;  ///< When the loop of the origin could see it.
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
  void connect(std::size_t one, std::size_t other);
  void disconnect(const session_pointer& session);
  void deliver(const session_pointer& session, std::size_t from, const wire::message& content);
  void arrive(const session_pointer& session, std::size_t to, model_session::arrival what);
  void schedule_read(const session_pointer& session, std::size_t reader);
  void read(const session_pointer& session, std::size_t reader, std::size_t most);
  /// Takes in all that a peer has sent; whether the connection of this number is still open.
  bool hear(std::size_t reader, const instance_name& peer, std::uint64_t link);
  void session_ended(const session_pointer& session, std::size_t reader);

  void request_read(std::size_t number);
  void send_attempt(std::size_t number);
  void attempt_ended(std::size_t number, std::size_t index, const call_outcome& outcome);
  void give_up(std::size_t number);
  void target_starts(std::size_t target, const inbound_request_pointer& one);
  void check_start(const request& asked, const attempt& started, std::size_t target);
  void check_running();
  void report(const std::string& what);
  [[nodiscard]] bool silent_lately(std::size_t one, std::size_t other) const;
  [[nodiscard]] duration between(duration least, duration most);
  void inject_fault();

  random_source random_;
  virtual_timers timers_;
  std::vector<std::unique_ptr<process>> processes_;
  std::map<instance_name, std::size_t> positions_;
  std::vector<session_pointer> sessions_;
  std::uint64_t connections_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, time_point> silenced_at_;
  std::vector<request> requests_;
  timer_handle check_timer_;
  std::optional<broken_promise> broken_;
};

}  // namespace crocusdoor
