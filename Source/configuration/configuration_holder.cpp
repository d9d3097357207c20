#include "configuration/configuration_holder.h"

#include <algorithm>
#include <utility>

#include "configuration/document_parser.h"
#include "configuration/snapshot_diff.h"

namespace crocusdoor {

configuration_holder::configuration_holder()
    : current_(share_snapshot(snapshot{})), current_digest_(digest_of(*current_)) {}

adoption_result configuration_holder::offer(snapshot content, const digest& content_digest) {
  if (std::optional<adoption_result> early = early_outcome(content.version, content_digest)) {
    return count_outcome(std::move(*early));
  }
  return count_outcome(adopt(std::move(content), content_digest));
}

adoption_result configuration_holder::offer(const configuration_delta& delta) {
  if (std::optional<adoption_result> early = early_outcome(delta.version, delta.result_digest)) {
    return count_outcome(std::move(*early));
  }
  if (delta.base > current_->version) {
    return count_outcome({adoption::base_unknown,
                          "the delta starts at version " + std::to_string(delta.base) +
                              ", version " + std::to_string(current_->version) + " is held"});
  }
  std::string fault;
  std::optional<snapshot> next = handle_failure(
      [&]() -> leaf::result<std::optional<snapshot>> {
        BOOST_LEAF_AUTO(applied, apply_delta(*current_, delta));
        return std::optional<snapshot>(std::move(applied));
      },
      [&](const failure& error) {
        fault = error.message;
        return std::optional<snapshot>();
      });
  if (!next.has_value()) {
    return count_outcome({adoption::invalid, std::move(fault)});
  }
  const bool exact_base = delta.base == current_->version;
  adoption_result result = adopt(std::move(*next), delta.result_digest);
  if (result.outcome == adoption::digest_mismatch && !exact_base) {
    result = {adoption::base_unknown, "the delta does not apply to a later version than its base"};
  }
  return count_outcome(std::move(result));
}

void configuration_holder::raise_floor(version_number version) {
  floor_ = std::max(floor_.value_or(0), version);
}

bool configuration_holder::ready() const noexcept {
  return floor_.has_value() && current_->version >= *floor_;
}

std::optional<configuration_delta> configuration_holder::delta_since(version_number version) const {
  const auto first =
      std::find_if(history_.begin(), history_.end(),
                   [&](const configuration_delta& delta) { return delta.base == version; });
  if (first == history_.end()) {
    return std::nullopt;
  }
  configuration_delta result = *first;
  for (auto next = first + 1; next != history_.end(); ++next) {
    result = compose_deltas(result, *next);
  }
  return result;
}

std::uint64_t configuration_holder::count_of(adoption outcome) const {
  return counts_.at(static_cast<std::size_t>(outcome));
}

std::optional<adoption_result> configuration_holder::early_outcome(version_number version,
                                                                   const digest& content_digest) {
  const std::optional<digest> known = known_digest(version);
  if (known.has_value() && *known != content_digest) {
    ++version_conflicts_;
    return adoption_result{adoption::digest_mismatch,
                           "version " + std::to_string(version) + " is known with another digest"};
  }
  if (version == current_->version) {
    return adoption_result{adoption::already_held, "the version is held already"};
  }
  if (version < current_->version) {
    return adoption_result{adoption::stale,
                           "version " + std::to_string(current_->version) + " is held"};
  }
  if (version < floor_.value_or(0)) {
    return adoption_result{adoption::below_floor,
                           "the version floor is " + std::to_string(*floor_)};
  }
  return std::nullopt;
}

std::optional<digest> configuration_holder::known_digest(version_number version) const {
  if (version == current_->version) {
    return current_digest_;
  }
  for (const configuration_delta& delta : history_) {
    if (delta.version == version) {
      return delta.result_digest;
    }
  }
  return std::nullopt;
}

adoption_result configuration_holder::adopt(snapshot content, const digest& content_digest) {
  snapshot_pointer next = share_snapshot(std::move(content), current_.get());
  const snapshot_fingerprints& fingerprints = next->index.fingerprints();
  if (fingerprints.content_digest != content_digest) {
    return {adoption::digest_mismatch, "the content does not have the digest that came with it"};
  }
  if (fingerprints.encoded_size > snapshot_size_limit_bytes) {
    return {adoption::invalid, "the configuration has " +
                                   std::to_string(fingerprints.encoded_size) + " bytes; " +
                                   std::to_string(snapshot_size_limit_bytes) + " are accepted"};
  }
  const std::vector<decode_problem> problems = validate(*next);
  if (!problems.empty()) {
    return {adoption::invalid, describe_problems(problems)};
  }
  append_to_history(delta_between(*current_, *next, content_digest));
  current_ = std::move(next);
  current_digest_ = content_digest;
  return {adoption::adopted, {}};
}

adoption_result configuration_holder::count_outcome(adoption_result result) {
  ++counts_.at(static_cast<std::size_t>(result.outcome));
  return result;
}

void configuration_holder::append_to_history(configuration_delta delta) {
  history_resources_ += resource_count(delta);
  history_.push_back(std::move(delta));
  while (!history_.empty() &&
         (history_.size() > history_version_limit || history_resources_ > history_resource_limit)) {
    history_resources_ -= resource_count(history_.front());
    history_.pop_front();
  }
}

}  // namespace crocusdoor
