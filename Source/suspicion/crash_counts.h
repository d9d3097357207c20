#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/digest.h"
#include "core/record_codec.h"
#include "core/time.h"

namespace crocusdoor {

/// Reason of a refusal because the request has crashed its targets.
inline constexpr const char* crash_refusal_reason = "crashes_targets";

/// One header of a request, by which the requests of one caller can be told from those of others
/// with the same method, host, path and body.
struct request_feature {
  digest id;     ///< Digest of the request, the name and the value.
  digest group;  ///< Digest of the request and the name.
  friend bool operator==(const request_feature&, const request_feature&) = default;
};

/// A request as it is recognised when a caller repeats it.
struct repeated_request {
  digest request;  ///< Digest of method, host, path and body.
  std::vector<request_feature> features;
  friend bool operator==(const repeated_request&, const repeated_request&) = default;
};

/// How often a request, or a request with one feature, has crashed its targets, one after the
/// other, since it last completed.
struct crash_count {
  digest request;               ///< Digest of the request, or of the feature.
  std::uint64_t clearings = 0;  ///< How often `crashes` has been reset or reduced.
  std::int32_t crashes = 0;     ///< Crashes of which each run began after the one before was known.
  digest base;                  ///< Request that a feature belongs to; empty for a request.
  digest group;                 ///< Group of a feature; empty for a request.
  friend bool operator==(const crash_count&, const crash_count&) = default;
};

template <>
struct record_fields<crash_count> {
  static constexpr auto table = std::make_tuple(
      required_field("request", &crash_count::request),
      required_field("clearings", &crash_count::clearings),
      required_field("crashes", &crash_count::crashes, {0, 1'000'000}),
      optional_field("base", &crash_count::base), optional_field("group", &crash_count::group));
};

/// Limits on the age and number of crash counts.
struct crash_count_limits {
  /// A count that has not changed for this long is removed.
  duration age = std::chrono::minutes(10);
  /// Maximum number of requests and features; those that have not changed for the longest are
  /// removed first.
  std::size_t requests = 4'000;
  /// For this long a completed run on this daemon's target keeps its request from being counted.
  duration completion_memory = std::chrono::seconds(3);
  /// Maximum number of completed requests that are remembered.
  std::size_t completions = 4'096;
};

/// The crash counts of requests, merged from all daemons. The result does not depend on the order
/// of the reports or on repeats, and no clock is compared with that of another daemon.
///
/// Requests that run beside the one that crashes a target are counted with it. What tells them
/// apart is that they complete: each completed run, on any target, resets the count, also if the
/// report of the crash arrives a little later than the completion. Crashes of several targets at
/// the same moment count once, because a request that is in flight at all of them began before any
/// of the crashes was known.
///
/// Callers of whom one crashes targets may send requests that differ in their headers only, and
/// completed runs of the others would reset the count each time. From the second crash of a request
/// on, each of its headers is counted by itself, and what distinguishes the crashing caller is the
/// header whose value never completes. A header that differs in each sending proves nothing.
class crash_counts {
 public:
  explicit crash_counts(crash_count_limits limits = {}) : limits_(limits) {}

  /// A target crashed while it ran a request that began when its count was `known`. Returns the
  /// count to send to the peers if it has changed.
  std::optional<crash_count> crashed(const digest& request, const crash_count& known,
                                     time_point now);
  /// A run that began when the count was `known` was reported as a crash, but the target has
  /// survived. Returns the count to send to the peers if it has changed.
  std::optional<crash_count> retract(const digest& request, const crash_count& known,
                                     time_point now);
  /// A request completed on a target. Returns the count to send to the peers if it has changed.
  std::optional<crash_count> completed(const digest& request, time_point now);
  /// Resets the count of a request that completed on this daemon's target a short time ago. Call
  /// after a merge. Returns the count to send to the peers if it has changed.
  std::optional<crash_count> reset_if_completed(const digest& request, time_point now);
  /// Merges the count of a peer. Returns whether it was newer.
  bool merge(const crash_count& received, time_point now);
  /// Resets the count. Returns the count to send to the peers if it has changed.
  std::optional<crash_count> clear(const digest& request, time_point now);

  /// The count of a request; 0 crashes if none is known.
  [[nodiscard]] crash_count count(const digest& request) const;
  /// How long a request is not to be sent to any target, by its own count alone; zero if it may be
  /// sent.
  [[nodiscard]] duration refusal_left(const digest& request, time_point now) const;
  /// The same for a request with its features. If the crashes can be attributed to features, only
  /// requests that have these are refused.
  [[nodiscard]] duration refusal_left(const repeated_request& request, time_point now) const;
  /// Whether the request has been in flight at a crash, so that its features are to be counted.
  [[nodiscard]] bool is_suspected(const digest& request) const;
  /// The counts of a suspected request and of its features, with those that are zero; only that of
  /// the request if it is not suspected.
  [[nodiscard]] std::vector<crash_count> counts(const repeated_request& request) const;
  /// The counts of a request and of all features that have been counted for it.
  [[nodiscard]] std::vector<crash_count> all_of(const digest& request) const;
  /// Whether some requests with this digest are refused.
  [[nodiscard]] bool is_refused(const digest& request, time_point now) const;

  /// Removes counts and completions past their age limits. Call about once a second.
  void expire(time_point now);
  /// All counts, to be sent to a daemon that has just been linked.
  [[nodiscard]] std::vector<crash_count> all() const;
  [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }
  /// Number of requests of which at least those with some features are not sent to any target.
  [[nodiscard]] std::size_t refused(time_point now) const;

 private:
  struct entry {
    crash_count count;
    time_point changed_at;
  };

  /// The features counted for a request, and the largest number of their crashes.
  struct feature_entries {
    std::vector<const entry*> counted;
    std::int32_t most_crashes = 0;
  };

  [[nodiscard]] duration time_left(const entry& known, time_point now) const;
  [[nodiscard]] feature_entries features_of(const digest& request, time_point now) const;
  void index_features();
  [[nodiscard]] bool completed_recently(const digest& request, time_point now) const;
  void remove_oldest();

  crash_count_limits limits_;
  std::map<digest, entry> entries_;
  std::map<digest, std::set<digest>> features_;  ///< Counted features of each request.
  std::map<digest, time_point> completions_;     ///< Latest completed runs on this daemon's target.
};

}  // namespace crocusdoor
