#include "run_once/shard_record.h"

namespace crocusdoor {

std::string batch_object_name(std::uint32_t shard, std::uint64_t sequence) {
  return "run-once-" + std::to_string(shard) + "/" + std::to_string(sequence);
}

std::string checkpoint_object_name(std::uint32_t shard) {
  return "run-once-checkpoint/" + std::to_string(shard);
}

std::string checkpoint_part_object_name(std::uint32_t shard, std::string_view id) {
  return "run-once-checkpoint-part/" + std::to_string(shard) + "/" + std::string(id);
}

}  // namespace crocusdoor
