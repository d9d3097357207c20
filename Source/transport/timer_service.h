#pragma once

#include <functional>
#include <memory>

#include "core/time.h"

namespace crocusdoor {

/// Keeps a timer scheduled; the timer is cancelled when the last copy of the handle is destroyed.
using timer_handle = std::shared_ptr<void>;

/// A clock and its timers. A process uses its event loop; tests use a clock that they advance.
class timer_service {
 public:
  timer_service() = default;
  virtual ~timer_service() = default;
  timer_service(const timer_service&) = delete;
  timer_service& operator=(const timer_service&) = delete;

  [[nodiscard]] virtual time_point now() const = 0;
  /// Runs `action` once after `delay`.
  [[nodiscard]] virtual timer_handle after(duration delay, std::function<void()> action) = 0;
  /// Runs `action` each `interval` until the handle is destroyed.
  [[nodiscard]] virtual timer_handle every(duration interval, std::function<void()> action) = 0;
  /// Queues `action` to run after the current callback has returned.
  virtual void post(std::function<void()> action) = 0;
};

}  // namespace crocusdoor
