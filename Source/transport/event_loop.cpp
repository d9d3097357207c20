#include "transport/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <ctime>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

#include "transport/loop_time.h"

namespace crocusdoor {

namespace detail {

/// One libevent timer or signal event with its action.
class loop_timer {
 public:
  loop_timer(event_base* base, int descriptor, short kind, std::function<void()> action)
      : action_(std::move(action)), event_(event_new(base, descriptor, kind, &run_action, this)) {
    if (event_ == nullptr) {
      throw std::runtime_error("cannot create a libevent timer or signal event (event_new failed)");
    }
  }
  ~loop_timer() { event_free(event_); }
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  void schedule(duration delay) {
    const timeval span = to_timeval(delay);
    event_add(event_, &span);
  }
  void wait_without_timeout() { event_add(event_, nullptr); }

 private:
  static void run_action(evutil_socket_t, short, void* context) {
    // The action may destroy this timer, so it runs from a copy.
    const std::function<void()> action = static_cast<loop_timer*>(context)->action_;
    action();
  }

  std::function<void()> action_;
  event* event_;
};

duration read_clock(clockid_t clock) {
  timespec reading{};
  clock_gettime(clock, &reading);
  return std::chrono::duration_cast<duration>(std::chrono::seconds(reading.tv_sec) +
                                              std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace detail

struct event_loop::state {
  event_base* base = nullptr;
  std::deque<std::function<void()>> posted;
  std::unique_ptr<detail::loop_timer> posted_event;
  std::vector<std::unique_ptr<detail::loop_timer>> signals;

  void run_posted() {
    std::deque<std::function<void()>> batch;
    batch.swap(posted);
    for (const auto& action : batch) {
      action();
    }
  }
};

event_loop::event_loop() : state_(std::make_unique<state>()) {
  // Writing to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  state_->base = event_base_new();
  if (state_->base == nullptr) {
    throw std::runtime_error("cannot create the libevent event base (event_base_new failed)");
  }
  state_->posted_event = std::make_unique<detail::loop_timer>(
      state_->base, -1, 0, [raw = state_.get()] { raw->run_posted(); });
}

event_loop::~event_loop() {
  state_->signals.clear();
  state_->posted_event.reset();
  state_->posted.clear();
  event_base_free(state_->base);
}

time_point event_loop::now() const {
  return time_point(detail::read_clock(CLOCK_MONOTONIC));
}

duration event_loop::since_boot() {
  return detail::read_clock(CLOCK_BOOTTIME);
}

wall_time event_loop::wall_now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

timer_handle event_loop::after(duration delay, std::function<void()> action) {
  auto timer = std::make_shared<detail::loop_timer>(state_->base, -1, short{0}, std::move(action));
  timer->schedule(delay);
  return timer;
}

timer_handle event_loop::every(duration interval, std::function<void()> action) {
  auto timer =
      std::make_shared<detail::loop_timer>(state_->base, -1, short{EV_PERSIST}, std::move(action));
  timer->schedule(interval);
  return timer;
}

void event_loop::post(std::function<void()> action) {
  state_->posted.push_back(std::move(action));
  // Scheduling a timer that is due would move it to the next iteration again.
  if (state_->posted.size() == 1) {
    state_->posted_event->schedule(duration::zero());
  }
}

void event_loop::on_signal(int signal_number, std::function<void()> action) {
  auto signal_event = std::make_unique<detail::loop_timer>(
      state_->base, signal_number, short{EV_SIGNAL | EV_PERSIST}, std::move(action));
  signal_event->wait_without_timeout();
  state_->signals.push_back(std::move(signal_event));
}

void event_loop::run() {
  event_base_loop(state_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::run_once() {
  event_base_loop(state_->base, EVLOOP_ONCE);
}

void event_loop::stop() {
  event_base_loopbreak(state_->base);
}

event_base* event_loop::base() const noexcept {
  return state_->base;
}

}  // namespace crocusdoor
