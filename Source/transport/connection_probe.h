#pragma once

#include <functional>
#include <memory>

#include "core/enum_names.h"
#include "core/time.h"
#include "transport/event_loop.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// What an attempt to open a connection shows about the process at an address.
enum class probe_result {
  accepted,  ///< A process listens there.
  refused,   ///< No process listens there.
  unknown,   ///< Neither was shown before the timeout.
};

template <>
struct enum_names<probe_result> {
  static constexpr auto names = make_enum_names<probe_result>({
      {probe_result::accepted, "accepted"},
      {probe_result::refused, "refused"},
      {probe_result::unknown, "unknown"},
  });
};

/// Keeps a probe running; the probe is cancelled when the last copy of the handle is destroyed.
using probe_handle = std::shared_ptr<void>;

/// Opens a connection and closes it without sending anything. `done` is called exactly once, in a
/// later iteration of the loop, unless the probe is cancelled.
[[nodiscard]] probe_handle probe_connection(event_loop& loop, const ip_endpoint& remote,
                                            duration timeout,
                                            std::function<void(probe_result)> done);

}  // namespace crocusdoor
