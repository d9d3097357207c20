#include "run_once/claim_service.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusdoor {

claim_service::claim_service(instance_name self, random_source& random,
                             const shard_log_settings& settings, std::uint32_t shard_count)
    : self_(std::move(self)), owners_(shard_count) {
  shards_.reserve(shard_count);
  for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
    shards_.emplace_back(shard, random, settings);
  }
}

shard_effects claim_service::set_live_members(const std::vector<instance_name>& live,
                                              clock_reading at) {
  shard_effects all;
  for (shard_log& log : shards_) {
    std::optional<instance_name>& owner = owners_[log.shard()];
    owner = shard_owner(log.shard(), live);
    shard_effects effects = owner == self_ ? log.take_ownership(at) : log.give_up_ownership(at);
    std::move(effects.begin(), effects.end(), std::back_inserter(all));
  }
  return all;
}

std::uint32_t claim_service::index_of(const operation_key& operation) const {
  return shard_of(operation, static_cast<std::uint32_t>(shards_.size()));
}

std::optional<instance_name> claim_service::owner_of(const operation_key& operation) const {
  return owners_[index_of(operation)];
}

bool claim_service::owns(std::uint32_t shard) const {
  return owners_[shard] == self_;
}

shard_effects claim_service::request_claim(ticket_number ticket, const claim_parameters& parameters,
                                           clock_reading at) {
  return shards_[index_of(parameters.operation)].request_claim(ticket, parameters, at);
}

shard_effects claim_service::complete(ticket_number ticket, const claim_id& id,
                                      const operation_key& operation, verdict outcome,
                                      const std::optional<recorded_response>& answer,
                                      clock_reading at) {
  return shards_[index_of(operation)].complete(ticket, id, operation, outcome, answer, at);
}

shard_effects claim_service::resolve(ticket_number ticket, const operation_key& operation,
                                     const operation_resolution& resolution, clock_reading at) {
  return shards_[index_of(operation)].resolve(ticket, operation, resolution, at);
}

template <typename Input>
shard_effects claim_service::dispatch_by_object(const std::string& name, Input input) {
  const auto shard = shard_of_object(name);
  return shard.has_value() && *shard < shards_.size() ? input(shards_[*shard]) : shard_effects{};
}

shard_effects claim_service::object_created(const std::string& name, clock_reading at) {
  return dispatch_by_object(name, [&](shard_log& log) { return log.object_created(name, at); });
}

shard_effects claim_service::object_exists(const std::string& name, const std::string& content,
                                           clock_reading at) {
  return dispatch_by_object(name,
                            [&](shard_log& log) { return log.object_exists(name, content, at); });
}

shard_effects claim_service::object_read(const std::string& name,
                                         const std::optional<std::string>& content,
                                         object_version version, clock_reading at) {
  return dispatch_by_object(
      name, [&](shard_log& log) { return log.object_read(name, content, version, at); });
}

shard_effects claim_service::object_written(const std::string& name, object_version version,
                                            clock_reading at) {
  return dispatch_by_object(name,
                            [&](shard_log& log) { return log.object_written(name, version, at); });
}

shard_effects claim_service::object_changed(const std::string& name, clock_reading at) {
  return dispatch_by_object(name, [&](shard_log& log) { return log.object_changed(name, at); });
}

shard_effects claim_service::object_result_unknown(const std::string& name, clock_reading at) {
  return dispatch_by_object(name,
                            [&](shard_log& log) { return log.object_result_unknown(name, at); });
}

shard_effects claim_service::object_unavailable(const std::string& name, clock_reading at) {
  return dispatch_by_object(name, [&](shard_log& log) { return log.object_unavailable(name, at); });
}

shard_effects claim_service::tick(clock_reading at) {
  shard_effects all;
  for (shard_log& log : shards_) {
    shard_effects effects = log.tick(at);
    std::move(effects.begin(), effects.end(), std::back_inserter(all));
  }
  return all;
}

std::optional<time_point> claim_service::next_wakeup() const {
  std::optional<time_point> earliest;
  for (const shard_log& log : shards_) {
    const auto at = log.next_wakeup();
    if (at.has_value()) {
      earliest = std::min(earliest.value_or(*at), *at);
    }
  }
  return earliest;
}

std::optional<operation_status> claim_service::operation(const operation_key& key,
                                                         wall_time wall) const {
  return shards_[index_of(key)].find_operation(key, wall);
}

std::vector<operation_status> claim_service::operations(wall_time wall, bool in_doubt_only) const {
  std::vector<operation_status> all;
  for (const shard_log& log : shards_) {
    for (operation_status& status : log.operations(wall)) {
      if (status.in_doubt || !in_doubt_only) {
        all.push_back(std::move(status));
      }
    }
  }
  return all;
}

}  // namespace crocusdoor
