#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "core/record_codec.h"
#include "transport/event_loop.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor::stand_ins {

struct target_options {
  std::string name = "target";
  std::string service = "service";
  std::int32_t slots = 1;
  std::chrono::milliseconds service_time{0};  ///< Mean of an exponential distribution.
  std::int32_t straggler_percent = 0;         ///< Share of requests that run 50 times longer.
  std::chrono::milliseconds cold_start{0};    ///< At first, health is 503 and work 10 times slower.
  std::uint64_t seed = 1;
  std::function<void()> on_crash;  ///< Called for a request whose body contains "crash-me".
};

/// Faults that the target stand-in simulates on request; the body of `POST /control`.
struct target_fault_order {
  std::int32_t slow_factor = 1;              ///< Multiplies the service time ...
  std::chrono::milliseconds for_ms{0};       ///< ... of requests that arrive within this time.
  std::chrono::milliseconds freeze_ms{0};    ///< Requests that arrive in this time get no response.
  std::chrono::milliseconds load_lag_ms{0};  ///< `/load` reports the slots in use this long ago.
  std::int32_t load_lie = -1;  ///< `/load` reports this many slots in use; -1: the real number.
  std::chrono::milliseconds unhealthy_ms{0};  ///< `/health` is 503 for this time.
};

struct target_counts {
  std::uint64_t received = 0;
  std::uint64_t executed = 0;       ///< Executions started.
  std::uint64_t shed = 0;           ///< 503 because all slots were taken.
  std::uint64_t past_deadline = 0;  ///< 504 because the deadline had passed.
  std::uint64_t cancelled = 0;      ///< Connections closed during an execution.
  std::uint64_t frozen = 0;         ///< Requests that get no response.
  std::uint64_t most_at_once = 0;   ///< Largest number of executions at the same time.
};

/// Stand-in of a target. The response to any path other than those below is JSON that echoes the
/// request:
/// {"target", "service", "method", "path", "body_digest", "idempotency_key", "execution"}, where
/// "execution" counts the executions of that idempotency key.
///
///   GET  /health              200, or 503 while cold or unhealthy
///   GET  /load                {"slots", "slots_in_use", "queued"}
///   GET  /control/executions  {"<idempotency key>": executions}
///   GET  /control/counts      `target_counts`
///   POST /control             a `target_fault_order`
///
/// A request is refused with `X-Not-Run: true` and status 504 if the wall-clock time in
/// `X-Request-Deadline-Ms` has passed, or 503 if all slots are taken. A request whose connection is
/// closed while it runs counts as cancelled and frees its slot.
class target_server {
 public:
  /// Port 0 takes a free port. Throws std::runtime_error if the endpoint cannot be bound.
  target_server(event_loop& loop, const ip_endpoint& local, target_options options);
  ~target_server();
  target_server(const target_server&) = delete;
  target_server& operator=(const target_server&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] const target_counts& counts() const noexcept;
  /// Number of executions with this idempotency key.
  [[nodiscard]] std::uint64_t executions(const std::string& idempotency_key) const;
  /// Does the same as `POST /control`. Fails with `error_code::malformed`.
  leaf::result<void> control(const std::string& order_document);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace crocusdoor::stand_ins

template <>
struct crocusdoor::record_fields<crocusdoor::stand_ins::target_fault_order> {
  using order = stand_ins::target_fault_order;
  static constexpr number_range span{0, 3'600'000};
  static constexpr auto table =
      std::make_tuple(optional_field("slow_factor", &order::slow_factor, {1, 10'000}),
                      optional_field("for_ms", &order::for_ms, span),
                      optional_field("freeze_ms", &order::freeze_ms, span),
                      optional_field("load_lag_ms", &order::load_lag_ms, span),
                      optional_field("load_lie", &order::load_lie, {-1, 1'000'000}),
                      optional_field("unhealthy_ms", &order::unhealthy_ms, span));
};

template <>
struct crocusdoor::record_fields<crocusdoor::stand_ins::target_counts> {
  using counts = stand_ins::target_counts;
  static constexpr auto table = std::make_tuple(
      required_field("received", &counts::received), required_field("executed", &counts::executed),
      required_field("shed", &counts::shed),
      required_field("past_deadline", &counts::past_deadline),
      required_field("cancelled", &counts::cancelled), required_field("frozen", &counts::frozen),
      required_field("most_at_once", &counts::most_at_once));
};
