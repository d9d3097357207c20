#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

/// State of all operations of one shard: the fold of its log. Applying the same batches in the same
/// order gives the same table on every owner.
class operation_table {
 public:
  /// Latest record of an operation, or null.
  [[nodiscard]] const operation_record* find(const operation_key& operation) const;

  /// Whether `apply` would change the record. Claims always do.
  [[nodiscard]] bool accepts(const log_entry& entry) const;

  /// Whether the record already says what a completion or resolution of its claim says, so that a
  /// repeated one counts as recorded.
  [[nodiscard]] bool reflects(const log_entry& entry) const;

  /// Applies one durable change; returns false if it concerns a claim that is not open any more.
  bool apply(const log_entry& entry, std::uint64_t epoch);

  /// Adds a record of a checkpoint part; a later part replaces an earlier one.
  void load(const operation_record& record, const std::string& part);

  /// Records that no part of the last checkpoint holds in their present state.
  [[nodiscard]] std::vector<operation_record> unsealed() const;

  /// Notes that `part` holds the records, unless they have changed since they were copied.
  void seal(const std::vector<operation_record>& records, const std::string& part);

  /// Moves all records of a part back to those that the next checkpoint writes again.
  void unseal(const std::string& part);

  /// Whether a part holds the present state of any operation.
  [[nodiscard]] bool part_in_use(const std::string& part) const { return live_.contains(part); }

  /// Whether a part holds the present state of an operation that is not settled.
  [[nodiscard]] bool part_has_open_operations(const std::string& part) const;

  /// Drops settled operations whose retention time has passed; open ones are never dropped.
  void discard_expired(wall_time wall);

  [[nodiscard]] std::size_t size() const noexcept { return slots_.size(); }
  void for_each(const std::function<void(const operation_record&)>& visit) const;

 private:
  struct slot {
    operation_record record;
    std::string part;  // Empty if no checkpoint part holds this state.
  };

  void put(const operation_record& record, const std::string& part);
  void move_to_part(slot& entry, const std::string& part);
  void index_expiry(const operation_record& record);

  std::map<operation_key, slot> slots_;
  std::set<operation_key> unsealed_;
  std::map<std::string, std::set<operation_key>> live_;
  std::set<std::pair<std::int64_t, operation_key>> by_expiry_;
};

/// End of the retention time of a settled record, in ms since the Unix epoch.
[[nodiscard]] std::int64_t retained_until_ms(const operation_record& record);

}  // namespace crocusdoor
