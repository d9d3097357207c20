#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "run_once/clock_reading.h"
#include "run_once/shard_effect.h"

namespace crocusdoor::testing {

enum class result_kind { created, exists, read, written, changed, unknown, unavailable };

/// Result of one platform operation, to be delivered to the instance that requested it.
struct platform_result {
  result_kind kind = result_kind::unavailable;
  std::string name;
  std::optional<std::string> content;
  object_version version = 0;
};

/// In-memory model of the platform's object API, without a network.
class platform_model {
 public:
  /// Executes a create, read, write or delete. Returns an empty optional for a delete, which has no
  /// result.
  std::optional<platform_result> execute(const shard_effect& effect) {
    if (const auto* create = std::get_if<create_object>(&effect)) {
      return execute_create(*create);
    }
    if (const auto* write = std::get_if<write_object>(&effect)) {
      return execute_write(*write);
    }
    if (const auto* read = std::get_if<read_object>(&effect)) {
      const auto found = objects.find(read->name);
      if (found == objects.end()) {
        return platform_result{result_kind::read, read->name, std::nullopt, 0};
      }
      return platform_result{result_kind::read, read->name, found->second.first,
                             found->second.second};
    }
    if (const auto* remove = std::get_if<delete_objects>(&effect)) {
      for (const std::string& name : remove->names) {
        objects.erase(name);
      }
    }
    return std::nullopt;
  }

  std::map<std::string, std::pair<std::string, object_version>> objects;
  bool creates_overwrite = false;  ///< Creates replace existing objects, which disables fencing.

 private:
  platform_result execute_create(const create_object& create) {
    const auto found = objects.find(create.name);
    if (found != objects.end() && !creates_overwrite) {
      return {result_kind::exists, create.name, found->second.first, found->second.second};
    }
    objects[create.name] = {create.content, ++last_version_};
    return {result_kind::created, create.name, std::nullopt, last_version_};
  }

  platform_result execute_write(const write_object& write) {
    const auto found = objects.find(write.name);
    const object_version present = found == objects.end() ? 0 : found->second.second;
    if (present != write.expected) {
      return {result_kind::changed, write.name, std::nullopt, present};
    }
    objects[write.name] = {write.content, ++last_version_};
    return {result_kind::written, write.name, std::nullopt, last_version_};
  }

  object_version last_version_ = 0;
};

/// Name of the object of a platform operation; empty for effects that have no result.
inline std::string object_of(const shard_effect& effect) {
  if (const auto* create = std::get_if<create_object>(&effect)) {
    return create->name;
  }
  if (const auto* write = std::get_if<write_object>(&effect)) {
    return write->name;
  }
  if (const auto* read = std::get_if<read_object>(&effect)) {
    return read->name;
  }
  return "";
}

/// Passes a result to a shard log, claim service or object-per-action strategy.
template <typename Log>
shard_effects deliver(Log& log, const platform_result& result, clock_reading at) {
  switch (result.kind) {
    case result_kind::created:
      return log.object_created(result.name, at);
    case result_kind::exists:
      return log.object_exists(result.name, *result.content, at);
    case result_kind::read:
      return log.object_read(result.name, result.content, result.version, at);
    case result_kind::written:
      return log.object_written(result.name, result.version, at);
    case result_kind::changed:
      return log.object_changed(result.name, at);
    case result_kind::unknown:
      return log.object_result_unknown(result.name, at);
    case result_kind::unavailable:
      break;
  }
  return log.object_unavailable(result.name, at);
}

}  // namespace crocusdoor::testing
