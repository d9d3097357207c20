#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "core/random_source.h"
#include "run_once/clock_reading.h"
#include "run_once/shard_effect.h"
#include "run_once/shard_record.h"

namespace crocusdoor {

/// Alternative to `shard_log`, for comparison: one platform object per operation, which the claim
/// creates and the completion replaces. It needs no owner and no takeover, but takes two writes and
/// a read per operation, and operations never share a write.
///
/// Simplifications: a repeated request for a running operation is answered in_progress at once,
/// records are never discarded, and there is no list of operations for operators.
class object_per_action {
 public:
  explicit object_per_action(random_source& random);

  shard_effects request_claim(ticket_number ticket, const claim_parameters& parameters,
                              clock_reading at);
  shard_effects complete(ticket_number ticket, const claim_id& id, const operation_key& operation,
                         verdict outcome, const std::optional<recorded_response>& answer,
                         clock_reading at);

  shard_effects object_created(const std::string& name, clock_reading at);
  shard_effects object_exists(const std::string& name, const std::string& content,
                              clock_reading at);
  shard_effects object_read(const std::string& name, const std::optional<std::string>& content,
                            object_version version, clock_reading at);
  shard_effects object_written(const std::string& name, object_version version, clock_reading at);
  shard_effects object_changed(const std::string& name, clock_reading at);
  shard_effects object_result_unknown(const std::string& name, clock_reading at);
  shard_effects object_unavailable(const std::string& name, clock_reading at);

 private:
  struct claim_task {
    operation_record record;  // To be written.
  };
  struct completion_task {
    claim_id id;
    verdict outcome = verdict::may_have_run;
    std::optional<recorded_response> answer;
    std::int64_t at_ms = 0;
  };
  struct task {
    ticket_number ticket = 0;
    std::variant<claim_task, completion_task> work;
    bool may_be_written = false;
    std::uint32_t failures = 0;
  };

  shard_effects add(const std::string& name, task new_task);
  shard_effects finish_task(const std::string& name, shard_effect answer);
  void start_task(const std::string& name, const task& next_task, shard_effects& effects) const;
  shard_effects claim_read(const std::string& name, task& current, const operation_record& found,
                           object_version version, clock_reading at);
  shard_effects completion_read(const std::string& name, task& current, operation_record found,
                                object_version version);
  shard_effects current_written(const std::string& name);
  [[nodiscard]] task* current_task(const std::string& name);

  std::string seed_;
  std::uint64_t identifier_count_ = 0;
  std::map<std::string, std::deque<task>>
      tasks_;  // By object name; only the first task of a queue is in progress.
};

}  // namespace crocusdoor
