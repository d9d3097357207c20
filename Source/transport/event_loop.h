#pragma once

#include <functional>
#include <memory>

#include "core/time.h"
#include "transport/timer_service.h"

struct event_base;

namespace crocusdoor {

/// The event loop of a process; there is only one. All callbacks run on the thread that calls
/// `run`.
class event_loop : public timer_service {
 public:
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  [[nodiscard]] time_point now() const override;
  [[nodiscard]] static wall_time wall_now();
  /// Time since the machine started, including time in suspension.
  [[nodiscard]] static duration since_boot();

  [[nodiscard]] timer_handle after(duration delay, std::function<void()> action) override;
  [[nodiscard]] timer_handle every(duration interval, std::function<void()> action) override;
  /// Runs `action` in the next iteration of the loop.
  void post(std::function<void()> action) override;
  /// Runs `action` in the loop when the process receives the signal.
  void on_signal(int signal_number, std::function<void()> action);

  void run();
  /// Waits for events once and runs their callbacks.
  void run_once();
  /// Makes `run` return after the callback that is running now.
  void stop();

  [[nodiscard]] event_base* base() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace crocusdoor
