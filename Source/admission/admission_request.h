#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "configuration/route.h"
#include "core/enum_names.h"
#include "core/time.h"

namespace crocusdoor {

/// Identifies a request at one admission controller; chosen by the caller, unique while the request
/// waits or runs.
using admission_ticket = std::uint64_t;

/// What the admission controller needs to know about a request.
struct admission_request {
  admission_ticket ticket = 0;
  priority_class priority = priority_class::interactive;
  time_point deadline;
  std::string work_class;  ///< Requests expected to take similar time, for example a route name.
  bool isolated = false;   ///< Must run while no other request runs.
  friend bool operator==(const admission_request&, const admission_request&) = default;
};

enum class admission_outcome {
  started,  ///< The request holds a slot; send it to the target now.
  queued,   ///< The request waits; a later call reports it as started or refused.
  refused,  ///< The request has not run and never will.
};

/// Why a request was refused. Every refusal means "not run".
enum class refusal_reason {
  none,                  ///< The request was not refused.
  deadline_unreachable,  ///< It could not finish before its deadline.
  expired,               ///< Its deadline passed while it waited.
  queue_full,            ///< The queue was full and this request had the lowest chance to finish.
  draining,              ///< The target is leaving.
  duplicate_ticket,      ///< A request with the same ticket waits or runs.
};

template <>
struct enum_names<refusal_reason> {
  static constexpr auto names = make_enum_names<refusal_reason>({
      {refusal_reason::none, "none"},
      {refusal_reason::deadline_unreachable, "deadline_unreachable"},
      {refusal_reason::expired, "expired"},
      {refusal_reason::queue_full, "queue_full"},
      {refusal_reason::draining, "draining"},
      {refusal_reason::duplicate_ticket, "duplicate_ticket"},
  });
};

/// A waiting request that has been refused.
struct refused_ticket {
  admission_ticket ticket = 0;
  refusal_reason reason = refusal_reason::none;
  duration retry_after{0};  ///< Estimated time until the queue has room.
  friend bool operator==(const refused_ticket&, const refused_ticket&) = default;
};

/// Consequences of an event for requests that were waiting. The caller of the function sends the
/// started requests to the target and answers the refused ones as "not run".
struct admission_changes {
  std::vector<admission_ticket> started;
  std::vector<refused_ticket> refused;
  friend bool operator==(const admission_changes&, const admission_changes&) = default;
};

/// Decision on an offered request, and its consequences for requests that were already waiting.
struct admission_decision {
  admission_outcome outcome = admission_outcome::refused;
  refusal_reason reason = refusal_reason::none;
  duration retry_after{0};    ///< Set for refusals: estimated time until the queue has room.
  admission_changes changes;  ///< Contains only other tickets than the offered one.
};

/// State in which `cancel` found a request.
enum class cancel_outcome {
  was_waiting,  ///< Removed from the queue: it has not run and never will.
  was_running,  ///< It has been sent to the target and keeps its slot until `finished`.
  unknown,      ///< No such request waits or runs.
};

struct cancel_result {
  cancel_outcome outcome = cancel_outcome::unknown;
  admission_changes changes;
};

}  // namespace crocusdoor
