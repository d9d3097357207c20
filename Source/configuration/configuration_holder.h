#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "configuration/configuration_delta.h"
#include "configuration/snapshot.h"
#include "core/digest.h"
#include "core/enum_names.h"

namespace crocusdoor {

/// Outcome of an offered version.
enum class adoption {
  adopted,          ///< The version is now current.
  already_held,     ///< The version is current already.
  stale,            ///< An older version than the current one.
  base_unknown,     ///< The delta does not apply to the current version; request a snapshot.
  digest_mismatch,  ///< The content does not have the digest, or this version is known with
                    ///< another digest; request it from another peer.
  invalid,          ///< The content breaks a rule; request it from another peer.
  below_floor,      ///< The version is below the version floor of this process.
};

template <>
struct enum_names<adoption> {
  static constexpr auto names = make_enum_names<adoption>({
      {adoption::adopted, "adopted"},
      {adoption::already_held, "already_held"},
      {adoption::stale, "stale"},
      {adoption::base_unknown, "base_unknown"},
      {adoption::digest_mismatch, "digest_mismatch"},
      {adoption::invalid, "invalid"},
      {adoption::below_floor, "below_floor"},
  });
};

/// Result of an offer.
struct adoption_result {
  adoption outcome = adoption::invalid;
  std::string message;  ///< Why the version was not adopted; empty if it was.
  friend bool operator==(const adoption_result&, const adoption_result&) = default;
};

/// Contains the current configuration version of a process. The version number never decreases. A
/// version is adopted as a whole after it has been validated, or not at all. Offers may arrive in
/// any order and more than once.
class configuration_holder {
 public:
  /// Maximum number of deltas in the history; `delta_since` can start from as many versions.
  static constexpr std::size_t history_version_limit = 64;
  /// Maximum number of resources in all deltas of the history, to limit its memory.
  static constexpr std::size_t history_resource_limit = 1024;

  configuration_holder();

  /// The current snapshot, never null. A request keeps the pointer until it ends.
  [[nodiscard]] const snapshot_pointer& current() const noexcept { return current_; }
  [[nodiscard]] const digest& current_digest() const noexcept { return current_digest_; }

  /// Offers a whole version, from the platform's head or from a peer.
  adoption_result offer(snapshot content, const digest& content_digest);

  /// Offers the changes that lead to a later version.
  adoption_result offer(const configuration_delta& delta);

  /// Sets the lowest version that this process may serve; ignored if the floor is higher already.
  void raise_floor(version_number version);

  /// The version floor, or nothing while it is unknown.
  [[nodiscard]] std::optional<version_number> floor() const noexcept { return floor_; }

  /// Whether requests may be served: the floor is known and the current version is not below it.
  [[nodiscard]] bool ready() const noexcept;

  /// Changes from `version` to the current version, or nothing if the history does not reach back
  /// that far or `version` is not older than the current one; send the snapshot then.
  [[nodiscard]] std::optional<configuration_delta> delta_since(version_number version) const;

  /// Number of offers with the given outcome.
  [[nodiscard]] std::uint64_t count_of(adoption outcome) const;

  /// Number of offers of a version that this process knows with another digest.
  [[nodiscard]] std::uint64_t version_conflicts() const noexcept { return version_conflicts_; }

 private:
  /// The outcome if the version number and the digest alone decide it, or nothing.
  [[nodiscard]] std::optional<adoption_result> early_outcome(version_number version,
                                                             const digest& content_digest);
  [[nodiscard]] std::optional<digest> known_digest(version_number version) const;
  adoption_result adopt(snapshot content, const digest& content_digest);
  adoption_result count_outcome(adoption_result result);
  void append_to_history(configuration_delta delta);

  snapshot_pointer current_;
  digest current_digest_;
  std::optional<version_number> floor_;
  std::deque<configuration_delta> history_;  ///< Consecutive; the last one leads to `current_`.
  std::size_t history_resources_ = 0;
  std::array<std::uint64_t, enum_names<adoption>::names.size()> counts_{};
  std::uint64_t version_conflicts_ = 0;
};

}  // namespace crocusdoor
