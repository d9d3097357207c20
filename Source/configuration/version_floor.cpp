#include "configuration/version_floor.h"

#include <algorithm>
#include <set>

namespace crocusdoor {

void version_floor_estimator::platform_responded(version_number version) {
  platform_version_ = std::max(platform_version_.value_or(0), version);
}

void version_floor_estimator::peer_reported(const instance_name& peer, const failure_domain& domain,
                                            version_number current_version,
                                            version_number version_before_restart) {
  peer_report& report = reports_[peer];
  report.domain = domain;
  report.version = std::max({report.version, current_version, version_before_restart});
}

void version_floor_estimator::set_known_peers(std::size_t count, std::size_t domains) {
  known_peers_ = count;
  known_domains_ = domains;
}

std::optional<version_number> version_floor_estimator::floor() const {
  if (platform_version_.has_value()) {
    return platform_version_;
  }
  if (!has_enough_reports()) {
    return std::nullopt;
  }
  version_number highest = 0;
  for (const auto& [peer, report] : reports_) {
    highest = std::max(highest, report.version);
  }
  return highest;
}

bool version_floor_estimator::has_enough_reports() const {
  std::set<failure_domain> domains;
  for (const auto& [peer, report] : reports_) {
    domains.insert(report.domain);
  }
  return known_peers_ > 0 && reports_.size() >= std::min(floor_peers_needed, known_peers_) &&
         domains.size() >= std::min(floor_domains_needed, known_domains_);
}

}  // namespace crocusdoor
