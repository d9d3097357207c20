#include "mesh/freshness.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// More versions than are written while one is being fetched.
constexpr std::size_t pending_limit = 32;

}  // namespace

void freshness::set_current_version(std::uint64_t version) {
  current_ = std::max(current_, version);
  newest_ = std::max(newest_, current_);
  const auto adopted = pending_.upper_bound(current_);
  std::optional<time_point> latest = proved_at_;
  for (auto proof = pending_.begin(); proof != adopted; ++proof) {
    latest = std::max(latest, std::optional(proof->second));
  }
  pending_.erase(pending_.begin(), adopted);
  if (newest_ == current_) {
    proved_at_ = latest;
  }
}

void freshness::version_reported(std::uint64_t version) {
  newest_ = std::max(newest_, version);
}

void freshness::add(std::uint64_t version, time_point at) {
  if (version > current_) {
    time_point& latest = pending_.try_emplace(version, at).first->second;
    latest = std::max(latest, at);
    if (pending_.size() > pending_limit) {
      pending_.erase(pending_.begin());
    }
    newest_ = std::max(newest_, version);
  } else if (newest_ == current_ && current_ > 0) {
    proved_at_ = std::max(proved_at_, std::optional(at));
  }
}

void freshness::proved_by_store(std::uint64_t version, time_point at) {
  if (version < stored_) {
    distrust_store();
  }
  stored_ = version;
  if (store_trusted_) {
    add(version, at);
    return;
  }
  if (version > current_) {
    newest_ = std::max(newest_, version);
  }
  unconfirmed_ = std::pair(version, at);
}

void freshness::proved_by_peer(std::uint64_t version, const std::optional<time_point>& at) {
  if (version == 0) {
    return;  // A peer without a configuration cannot tell whether the store has gone back.
  }
  version_reported(version);
  if (at.has_value()) {
    add(version, *at);
  }
  trust_store();
}

void freshness::distrust_store() {
  store_trusted_ = false;
  unconfirmed_.reset();
}

void freshness::trust_store() {
  store_trusted_ = true;
  if (unconfirmed_.has_value()) {
    const auto [version, at] = *unconfirmed_;
    unconfirmed_.reset();
    add(version, at);
  }
}

std::optional<duration> freshness::age(time_point now) const {
  return proved_at_.has_value() ? std::optional(std::max(now - *proved_at_, duration::zero()))
                                : std::nullopt;
}

configuration_proof freshness::proof(time_point now) const {
  const std::optional<duration> proof_age = age(now);
  const auto within = [&](duration limit) { return proof_age.has_value() && *proof_age < limit; };
  return {!limits_.admission.has_value() || within(*limits_.admission),
          newest_ == current_ && within(limits_.denial)};
}

}  // namespace crocusdoor
