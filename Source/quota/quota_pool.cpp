#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace crocusdoor {

namespace {

/// After a longer time between two ticks the process may read reports that were sent long ago,
/// whose senders have handed their shares to other coordinators since.
constexpr duration longest_pause = std::chrono::milliseconds(1'000);
/// Time in which reports that arrived during a pause are read.
constexpr duration outdated_reports_time = std::chrono::milliseconds(200);
/// One report gets at most this part of the tokens that are left.
constexpr double largest_grant = 0.75;

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void quota_pool::tick(time_point now) {
  if (last_tick_ != time_point{} && now - last_tick_ > longest_pause) {
    parts_ = {};
    reports_count_from_ = now + outdated_reports_time;
  }
  last_tick_ = now;
}

std::size_t quota_pool::members(std::int32_t part, time_point now) const {
  const auto& all = parts_.at(static_cast<std::size_t>(part)).members;
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [now](const auto& entry) { return entry.second > now; }));
}

/// Adds the time for which the members have shared, and removes those whose reports have expired.
void quota_pool::update(part_state& part, time_point now) const {
  duration shared{0};
  for (const auto& [name, valid_until] : part.members) {
    shared += std::max(std::min(now, valid_until) - part.updated_at, duration::zero());
  }
  const double all = static_cast<double>(std::max(daemons_, part.members.size()));
  part.shared_s += seconds(shared) / all;
  part.updated_at = now;
  std::erase_if(part.members, [now](const auto& entry) { return entry.second <= now; });
}

double quota_pool::fraction(const part_state& part) const {
  const double members = static_cast<double>(part.members.size());
  return members / std::max(static_cast<double>(daemons_), members);
}

void quota_pool::update(const part_state& part, workspace_pool& pool, const quota_limit& limit,
                        time_point now) const {
  pool.tokens += limit.rate_per_s * (part.shared_s - pool.shared_s);
  pool.shared_s = part.shared_s;
  std::erase_if(pool.loans, [now](const auto& entry) { return entry.second.valid_until <= now; });
  pool.lent = 0;
  for (const auto& [name, lent] : pool.loans) {
    pool.lent += lent.tokens;
  }
  const double room = std::max(limit.capacity * fraction(part) - pool.lent, 0.0);
  pool.tokens = std::clamp(pool.tokens, 0.0, room);
}

void quota_pool::forget_loans(part_state& part, const instance_name& member) {
  for (auto& [name, pool] : part.pools) {
    pool.loans.erase(member);
  }
}

std::optional<wire::quota_grant> quota_pool::receive(const instance_name& from,
                                                     const wire::quota_report& report,
                                                     time_point now) {
  if (report.part < 0 || report.part >= quota_parts || now < reports_count_from_) {
    return std::nullopt;
  }
  part_state& part = parts_.at(static_cast<std::size_t>(report.part));
  update(part, now);
  std::uint64_t& newest = part.newest[from];
  if (report.sequence <= newest) {
    return std::nullopt;
  }
  if (report.sequence >> quota_sequence_bits != newest >> quota_sequence_bits) {
    forget_loans(part, from);  // What an earlier process of the instance held is lost.
  }
  newest = report.sequence;
  wire::quota_grant grant;
  grant.sequence = report.sequence;
  grant.part = report.part;
  if (report.accrued_ms.count() == 0) {
    part.members.erase(from);
    forget_loans(part, from);
    return grant;
  }
  grant.valid_ms = report.accrued_ms;
  const time_point valid_until = now + report.accrued_ms;
  part.members[from] = valid_until;
  for (const wire::quota_demand& demand : report.demands) {
    const auto limit = limits_.find(demand.workspace);
    if (limit != limits_.end() && part_of(demand.workspace) == report.part) {
      // A workspace that is used for the first time has tokens for all the time of the members.
      workspace_pool& pool = part.pools[demand.workspace];
      update(part, pool, limit->second, now);
      grant.granted.push_back(
          {demand.workspace, lend(part, pool, limit->second, from, demand, valid_until)});
    }
  }
  return grant;
}

/// Takes back what the daemon has neither spent nor kept, and lends what it wants, if it is there.
/// Returns what the daemon may hold.
double quota_pool::lend(const part_state& part, workspace_pool& pool, const quota_limit& limit,
                        const instance_name& to, const wire::quota_demand& demand,
                        time_point valid_until) const {
  const auto [found, added] = pool.loans.try_emplace(to);
  loan& current = found->second;
  const double others = pool.lent - current.tokens;
  const double spent = added ? 0 : demand.used - current.used;
  const double returned = std::clamp(current.tokens - spent - demand.held, 0.0, current.tokens);
  const double room = std::max(limit.capacity * fraction(part) - others, 0.0);
  const double kept = std::floor(std::clamp(demand.held, 0.0, room));
  pool.tokens = std::min(pool.tokens + returned, room - kept);
  const double missing = std::max(demand.wanted - kept, 0.0);
  const double part_of_rest = std::max(pool.tokens * largest_grant, 1.0);
  const double more = std::floor(std::min({missing, part_of_rest, pool.tokens}));
  pool.tokens -= more;
  current = {kept + more, demand.used, valid_until};
  pool.lent = others + current.tokens;
  return current.tokens;
}

}  // namespace crocusdoor
