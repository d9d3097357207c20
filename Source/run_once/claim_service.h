#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "core/strong_string.h"
#include "run_once/shard_directory.h"
#include "run_once/shard_log.h"

namespace crocusdoor {

/// The shard logs of one instance. Inputs and effects are those of `shard_log`; the service routes
/// requests to a shard by operation key and platform results by object name.
class claim_service {
 public:
  /// `shard_count` must be the same on all instances and at most `run_once_shard_count`.
  claim_service(instance_name self, random_source& random, const shard_log_settings& settings = {},
                std::uint32_t shard_count = run_once_shard_count);

  /// Takes or gives up ownership of each shard according to the live members, which include this
  /// instance. To be called whenever the set changes.
  shard_effects set_live_members(const std::vector<instance_name>& live, clock_reading at);

  /// Owner of the shard of an operation as of the last `set_live_members`; requests for the
  /// operation go to it.
  [[nodiscard]] std::optional<instance_name> owner_of(const operation_key& operation) const;
  [[nodiscard]] bool owns(std::uint32_t shard) const;

  shard_effects request_claim(ticket_number ticket, const claim_parameters& parameters,
                              clock_reading at);
  shard_effects complete(ticket_number ticket, const claim_id& id, const operation_key& operation,
                         verdict outcome, const std::optional<recorded_response>& answer,
                         clock_reading at);
  shard_effects resolve(ticket_number ticket, const operation_key& operation,
                        const operation_resolution& resolution, clock_reading at);

  /// Results of platform operations; names of objects outside the log are ignored.
  shard_effects object_created(const std::string& name, clock_reading at);
  shard_effects object_exists(const std::string& name, const std::string& content,
                              clock_reading at);
  shard_effects object_read(const std::string& name, const std::optional<std::string>& content,
                            object_version version, clock_reading at);
  shard_effects object_written(const std::string& name, object_version version, clock_reading at);
  shard_effects object_changed(const std::string& name, clock_reading at);
  shard_effects object_result_unknown(const std::string& name, clock_reading at);
  shard_effects object_unavailable(const std::string& name, clock_reading at);

  shard_effects tick(clock_reading at);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

  /// One operation; empty if it is unknown or its shard is not active on this instance.
  [[nodiscard]] std::optional<operation_status> operation(const operation_key& key,
                                                          wall_time wall) const;
  /// Operations of the shards that are active on this instance; with `in_doubt_only`, only those
  /// that an operator has to resolve.
  [[nodiscard]] std::vector<operation_status> operations(wall_time wall, bool in_doubt_only) const;
  [[nodiscard]] const std::vector<shard_log>& shards() const noexcept { return shards_; }

 private:
  [[nodiscard]] std::uint32_t index_of(const operation_key& operation) const;
  template <typename Input>
  shard_effects dispatch_by_object(const std::string& name, Input input);

  instance_name self_;
  std::vector<shard_log> shards_;
  std::vector<std::optional<instance_name>> owners_;
};

}  // namespace crocusdoor
