#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace crocusdoor {

/// Outcomes of the requests of one work class at one version. Refusals are not included.
struct outcome_totals {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  std::uint64_t slow = 0;           ///< Took several times the usual time of the old version.
  std::uint64_t total_time_us = 0;  ///< Of the requests that did not fail.
  friend bool operator==(const outcome_totals&, const outcome_totals&) = default;
};

outcome_totals& operator+=(outcome_totals& sum, const outcome_totals& added);
/// Outcomes since an earlier time; never negative.
[[nodiscard]] outcome_totals operator-(const outcome_totals& now, const outcome_totals& earlier);

struct version_outcome_pair {
  outcome_totals old_version;
  outcome_totals new_version;
  friend bool operator==(const version_outcome_pair&, const version_outcome_pair&) = default;
};

/// Outcomes of both versions by work class.
using version_outcome_map = std::map<std::string, version_outcome_pair>;

enum class version_quality {
  unknown,  ///< Not enough evidence.
  good,
  bad,
};

struct version_judgement {
  version_quality quality = version_quality::unknown;
  std::string work_class;   ///< That is bad, or lacks evidence; empty for all classes together.
  const char* reason = "";  ///< Why it is not good.
};

/// A response that took this many times the mean time of the old version counts as slow. It leaves
/// room for targets that are 1.7 times slower than others and vary by twice their usual time.
inline constexpr double slow_response_factor = 4;

/// Compares the versions over the same period. Failures of the new version count only as far as the
/// rate of the old version in the same work class does not explain them.
[[nodiscard]] version_judgement compare_versions(const version_outcome_map& outcomes);

}  // namespace crocusdoor
