#pragma once

#include <array>
#include <map>
#include <optional>

#include "quota/quota_limit.h"
#include "wire/message.h"

namespace crocusdoor {

/// Whether a request may run under the quota of its workspace.
enum class quota_answer {
  admitted,
  wait,  ///< A grant may come soon; the request counts as waiting until then.
  refused,
};

/// A report and the coordinator that it is for.
struct addressed_report {
  instance_name to;
  wire::quota_report report;
};

/// One daemon's account of the quotas: the tokens that its coordinators have lent to it, what it
/// needs, and when it reports to whom.
///
/// The daemon hands its share of each part of the workspaces to one coordinator at a time. It hands
/// it to another one only after the first has confirmed that it does not use it any more, or after
/// the time of the latest report has passed.
class quota_account {
 public:
  /// `process` is greater for a later process of the same instance.
  explicit quota_account(std::uint64_t process);

  /// Sets the limits of a version of the configuration. Where a limit is lower than before, the
  /// daemon keeps the same fraction of it.
  void set_limits(const quota_limits& limits, std::uint64_t version);
  void set_daemons(std::size_t daemons) { daemons_ = daemons; }

  [[nodiscard]] quota_answer take(const workspace_name& workspace, time_point now);
  /// Takes a token for a request that waits; it then waits no longer.
  [[nodiscard]] bool take_for_waiting(const workspace_name& workspace, time_point now);
  /// Whether a grant may still come for a request that waits.
  [[nodiscard]] bool may_wait(const workspace_name& workspace, time_point now) const;
  /// A request that waited does so no longer.
  void stop_waiting(const workspace_name& workspace);
  /// Gives back the token of a request that has not run and will not run.
  void give_back(const workspace_name& workspace, time_point now);
  /// Time until a token may be expected for a refused request.
  [[nodiscard]] duration retry_after(const workspace_name& workspace) const;

  /// Report about one part, if one is due; `coordinator` is the daemon that should have the share.
  [[nodiscard]] std::optional<addressed_report> next_report(std::int32_t part,
                                                            const instance_name& coordinator,
                                                            time_point now);
  /// Earliest time at which a report about any part may be due; later if nothing is used meanwhile.
  [[nodiscard]] time_point next_due() const;
  /// `version` is that of the sender's configuration. Returns the tokens received.
  double receive(const instance_name& from, const wire::quota_grant& grant, std::uint64_t version);

  [[nodiscard]] double tokens(const workspace_name& workspace, time_point now) const;

 private:
  struct workspace_state {
    quota_limit limit;
    std::int32_t part = 0;
    std::uint64_t lowered_in = 0;  ///< Version of the configuration that lowered the limit last.
    double tokens = 0;
    time_point valid_until{};
    double used = 0;  ///< Tokens spent in total.
    double used_at_report = 0;
    int waiting_at_report = 0;
    double rate_per_s = 0;  ///< Of the requests, as an average that decays.
    int arrivals = 0;       ///< Since the latest report.
    int waiting = 0;
    time_point denied_until{};  ///< Requests are refused at once until then.
  };
  struct part_state {
    std::optional<instance_name> coordinator;
    std::uint64_t sequence = 0;
    time_point sent_at{};
    time_point share_until{};  ///< Until when the coordinator may use the share.
    bool answered = true;
    bool leaving = false;  ///< The latest report withdraws the share.
    bool active = false;   ///< The latest report had demands.
    /// When a report is due because a workspace has run short of tokens.
    time_point urgent_from = time_point::max();
  };

  [[nodiscard]] static bool spend(workspace_state& state, time_point now);
  /// Tokens that the daemon keeps for requests to come.
  [[nodiscard]] double prefetch(const workspace_state& state) const;
  void note_shortage(const workspace_state& state);
  void make_urgent(const workspace_state& state);
  [[nodiscard]] time_point due(const part_state& part) const;
  [[nodiscard]] wire::quota_demand demand_of(const workspace_name& name, workspace_state& state,
                                             duration elapsed, time_point now) const;
  [[nodiscard]] addressed_report make_report(std::int32_t index, part_state& part, time_point now);

  std::uint64_t next_sequence_;
  std::size_t daemons_ = 1;
  std::map<workspace_name, workspace_state> workspaces_;
  std::array<part_state, quota_parts> parts_;
};

}  // namespace crocusdoor
