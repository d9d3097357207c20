#pragma once

#include <set>

#include "core/enum_names.h"
#include "daemon/metrics.h"
#include "sidecar/decision_log.h"
#include "transport/event_loop.h"

namespace crocusdoor {

/// Steps that a daemon takes after its start until callers are served. They may be reached in any
/// order.
enum class start_phase {
  entry_stored,    ///< Other daemons can find this one in the platform's store.
  peers_listed,    ///< The entries of the other daemons have been read.
  configured,      ///< The first configuration is in use.
  target_known,    ///< The own target takes requests.
  first_link,      ///< A link to another daemon is open.
  all_links,       ///< A link to each known daemon is open.
  first_response,  ///< A caller has got a response from a target.
};

template <>
struct enum_names<start_phase> {
  static constexpr auto names = make_enum_names<start_phase>({
      {start_phase::entry_stored, "entry_stored"},
      {start_phase::peers_listed, "peers_listed"},
      {start_phase::configured, "configured"},
      {start_phase::target_known, "target_known"},
      {start_phase::first_link, "first_link"},
      {start_phase::all_links, "all_links"},
      {start_phase::first_response, "first_response"},
  });
};

/// Records how long after its start a daemon reached each phase for the first time, so that a slow
/// restart of a fleet can be explained.
class start_timeline {
 public:
  start_timeline(const timer_service& clock, decision_log& log, metrics& counters)
      : clock_(clock), log_(log), counters_(counters), started_at_(clock.now()) {}

  void reached(start_phase phase);

 private:
  const timer_service& clock_;
  decision_log& log_;
  metrics& counters_;
  time_point started_at_;
  std::set<start_phase> reached_;
};

}  // namespace crocusdoor
