#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/time.h"
#include "mesh/key_check.h"

namespace crocusdoor {

/// Limits on the age of the proof of a configuration.
struct freshness_limits {
  /// Requests with keys are refused while the proof is older. Empty if they never are.
  std::optional<duration> admission;
  /// Keys are denied only while the proof is not older.
  duration denial = std::chrono::seconds(1);
};

/// Keeps how recently the configuration of this daemon was proved to be the newest one in the
/// platform's store.
///
/// A proof of a version at a time also proves each newer version at that time: a newer version has
/// everything that the store had acknowledged until then. All times are readings of one clock of
/// this machine that counts suspension.
class freshness {
 public:
  explicit freshness(const freshness_limits& limits) : limits_(limits) {}

  /// The current version of this daemon is now `version`.
  void set_current_version(std::uint64_t version);
  /// A peer reports this as its current version. While a newer version than the own one is known,
  /// no further proof counts, because the store may have been restored from an older copy.
  void version_reported(std::uint64_t version);
  /// The store held `version` as its newest one at the time `at`.
  void proved_by_store(std::uint64_t version, time_point at);
  /// A peer with this current version has answered a request. `at` is the time of its proof, if it
  /// has one.
  void proved_by_peer(std::uint64_t version, const std::optional<time_point>& at);
  /// The store may hold an older copy, as far as this daemon can tell: its answers count only after
  /// the next answer of a peer. This is also the state after the start.
  void distrust_store();
  /// No peer can be reached, so the answers of the store count without one.
  void trust_store();

  [[nodiscard]] bool trusts_store() const noexcept { return store_trusted_; }
  /// Time since the current version was proved; empty without a proof.
  [[nodiscard]] std::optional<duration> age(time_point now) const;
  /// What the age of the proof allows.
  [[nodiscard]] configuration_proof proof(time_point now) const;

 private:
  void add(std::uint64_t version, time_point at);

  freshness_limits limits_;
  std::uint64_t current_ = 0;
  std::uint64_t newest_ = 0;  ///< Newest version that any daemon has reported.
  bool store_trusted_ = false;
  std::uint64_t stored_ = 0;  ///< Newest version that the store has shown.
  std::optional<time_point> proved_at_;
  /// Latest proofs of versions newer than the current one.
  std::map<std::uint64_t, time_point> pending_;
  /// Latest answer of the store while it is not trusted.
  std::optional<std::pair<std::uint64_t, time_point>> unconfirmed_;
};

}  // namespace crocusdoor
