#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

#include "quota/quota_limit.h"
#include "wire/message.h"

namespace crocusdoor {

/// The coordinator's account of the quotas: collects the shares of the daemons that report to it,
/// the members, and lends tokens to those that need them.
///
/// Each member brings its fraction of the rate and of the capacity of each workspace, for as long
/// as its report says. Tokens that are lent and may still be spent count against the capacity, so
/// that all coordinators together never have more tokens outstanding than the capacity.
class quota_pool {
 public:
  /// Sets the limits; lower ones apply at once.
  void set_limits(quota_limits limits) { limits_ = std::move(limits); }
  void set_daemons(std::size_t daemons) { daemons_ = std::max<std::size_t>(daemons, 1); }

  /// Response to a report. Empty if the report is outdated.
  [[nodiscard]] std::optional<wire::quota_grant> receive(const instance_name& from,
                                                         const wire::quota_report& report,
                                                         time_point now);
  /// To be called at least twice a second, to notice that the process did not run for some time.
  void tick(time_point now);
  [[nodiscard]] std::size_t members(std::int32_t part, time_point now) const;

 private:
  struct loan {
    double tokens = 0;
    double used = 0;  ///< Cumulative count of the member at its latest report.
    time_point valid_until;
  };
  struct workspace_pool {
    double tokens = 0;
    double lent = 0;      ///< Sum of the loans.
    double shared_s = 0;  ///< Value of `part_state::shared_s` when tokens were last added.
    std::map<instance_name, loan> loans;
  };
  struct part_state {
    std::map<instance_name, time_point> members;    ///< When their reports expire.
    std::map<instance_name, std::uint64_t> newest;  ///< Sequence number of the newest report.
    double shared_s = 0;  ///< Integral of the members' fraction of all daemons.
    time_point updated_at;
    std::map<workspace_name, workspace_pool> pools;
  };

  void update(part_state& part, time_point now) const;
  void update(const part_state& part, workspace_pool& pool, const quota_limit& limit,
              time_point now) const;
  /// Part of the rate and of the capacity that the members bring.
  [[nodiscard]] double fraction(const part_state& part) const;
  [[nodiscard]] double lend(const part_state& part, workspace_pool& pool, const quota_limit& limit,
                            const instance_name& to, const wire::quota_demand& demand,
                            time_point valid_until) const;
  static void forget_loans(part_state& part, const instance_name& member);

  quota_limits limits_;
  std::size_t daemons_ = 1;
  std::array<part_state, quota_parts> parts_;
  time_point last_tick_{};
  time_point reports_count_from_{};
};

}  // namespace crocusdoor
