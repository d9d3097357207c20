#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/error.h"
#include "core/record_codec.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor::stand_ins {

/// Calls that the platform stand-in has received since its start.
struct platform_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;  ///< PUT and DELETE.
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t watches_waiting = 0;  ///< Watches that are waiting at present.
  std::uint64_t conflicts = 0;        ///< Writes whose condition did not hold.
  std::uint64_t refused = 0;          ///< Calls refused while down.
  std::uint64_t answers_lost = 0;     ///< Writes whose response was dropped on request.
};

/// Stand-in of the platform: its object API, kept in memory, on an HTTP server:
///
///   GET    /v1/objects/{kind}/{name}    200 value with ETag | 304 (If-None-Match) | 404
///   PUT    /v1/objects/{kind}/{name}    200 | 201 | 412; If-Match or If-None-Match: *
///   DELETE /v1/objects/{kind}/{name}    204 | 404 | 412; optional If-Match
///   GET    /v1/objects/{kind}?prefix=&after=&limit=   {"objects": [...], "next": name or ""}
///   GET    /v1/watch/{kind}/{name}?after=&wait_ms=    200 as soon as the version differs from
///          `after` (404 if the object was removed), 204 at the end of the wait; version 0 means
///          that the object does not exist
///   POST   /control                     a `platform_fault_order`
///   GET    /control/counts              `platform_counts`
///
/// An ETag is the version in double quotes; a 412 response has the current one. A listing ends
/// after 400,000 bytes of values, and "next" is then the name to continue after. A value that is
/// larger or not UTF-8 is listed as null and has to be read separately. A call that is held back by
/// a delay or a hang takes effect when that has ended, even if the caller has closed the connection
/// by then.
class platform_server {
 public:
  /// Port 0 takes a free port. Throws std::runtime_error if the endpoint cannot be bound.
  platform_server(event_loop& loop, const ip_endpoint& local);
  ~platform_server();
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] const platform_counts& counts() const noexcept;
  /// Does the same as `POST /control`. Fails with `error_code::malformed`.
  leaf::result<void> control(const std::string& order_document);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace crocusdoor::stand_ins

template <>
struct crocusdoor::record_fields<crocusdoor::stand_ins::platform_counts> {
  using counts = stand_ins::platform_counts;
  static constexpr auto table = std::make_tuple(
      required_field("reads", &counts::reads), required_field("writes", &counts::writes),
      required_field("lists", &counts::lists), required_field("watches", &counts::watches),
      required_field("watches_waiting", &counts::watches_waiting),
      required_field("conflicts", &counts::conflicts), required_field("refused", &counts::refused),
      required_field("answers_lost", &counts::answers_lost));
};
