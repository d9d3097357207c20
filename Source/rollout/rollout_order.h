#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/strong_string.h"
#include "wire/message.h"

namespace crocusdoor {

/// Progress of a rollout as the platform's store shows it to operators.
struct rollout_status {
  wire::rollout_phase phase = wire::rollout_phase::running;
  std::string target_version;
  friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

/// An operator's order to move the requests of a service to a version, as it is in the store.
struct rollout_order {
  std::string name;  ///< Of the object in the store.
  service_name service;
  std::string target_version;
  std::chrono::milliseconds span{0};  ///< From the order to its deadline.
  std::uint64_t revision = 0;         ///< Of the object, including changes of its status.
  std::optional<rollout_status> status;
  friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// A write of a status, valid only for an object that still has the revision.
struct rollout_status_write {
  std::string name;
  service_name service;
  std::uint64_t revision = 0;
  rollout_status status;
  friend bool operator==(const rollout_status_write&, const rollout_status_write&) = default;
};

}  // namespace crocusdoor
