#include "interleaving_model.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/digest.h"

namespace crocusdoor::testing {

namespace {

std::uint64_t mix(std::uint64_t state, std::string_view text) {
  return stable_hash(text, state);
}

std::string content_of(const shard_effect& effect) {
  if (const auto* create = std::get_if<create_object>(&effect)) {
    return "create" + create->name + create->content;
  }
  if (const auto* write = std::get_if<write_object>(&effect)) {
    return "write" + write->name + std::to_string(write->expected) + write->content;
  }
  return "read" + object_of(effect);
}

std::string content_of(const platform_result& result) {
  return std::to_string(static_cast<int>(result.kind)) + result.name +
         result.content.value_or("-") + std::to_string(result.version);
}

}  // namespace

std::string model_step::text() const {
  constexpr std::array<std::string_view, 17> names = {
      "take",      "give up",  "crash",   "execute",       "lose response", "delay",
      "refuse",    "arrive",   "deliver", "request claim", "abandon",       "run on target",
      "give back", "complete", "resolve", "jump",          "wake"};
  return std::string(names.at(static_cast<std::size_t>(kind))) + " " + std::to_string(subject) +
         " at " + std::to_string(owner);
}

interleaving_world::interleaving_world(const model_options& options)
    : options_(options),
      clock_{time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(400'000))} {
  platform_.creates_overwrite = options.disabled == disabled_mechanism::fencing;
  for (std::size_t i = 0; i < options.callers; ++i) {
    const std::string key = options.same_key ? "k" : "k" + std::to_string(i);
    callers_.push_back({{action_name("payout"), idempotency_key(key)},
                        caller_state::idle,
                        options.requests_per_caller,
                        options.completions_per_caller});
  }
  restart(0);
  restart(1);
}

void interleaving_world::restart(std::size_t owner) {
  random_source random(++restarts_);
  instances_[owner] = instance{};
  instances_[owner].log.emplace(0, random, options_.settings);
  instances_[owner].input_digest = restarts_;
}

void interleaving_world::start_first_owner() {
  apply({step_kind::take_ownership, 0, 0});
  ++options_.takeovers;
  while (!instances_[0].log->active()) {
    apply(results_.empty() ? model_step{step_kind::execute, 0, 0}
                           : model_step{step_kind::deliver, 0, 0});
  }
}

void interleaving_world::recover() {
  options_.faults = 0;
  if (instances_[1].owner) {
    apply({step_kind::give_up_ownership, 1});
  }
  if (!instances_[0].owner) {
    apply({step_kind::take_ownership, 0});
  }
  callers_.push_back({{action_name("payout"), idempotency_key("new")}, caller_state::idle, 0});
  const std::size_t probe = callers_.size() - 1;
  // Ten rounds are more than the retries after all backoffs need. Each advances the clock by
  // `clock_advance`, one minute by default.
  for (int round = 0; round < 10 && callers_[probe].state != caller_state::holding; ++round) {
    request_claim_at(probe, 0);
    while (!requests_.empty() || !results_.empty()) {
      apply(results_.empty() ? model_step{step_kind::execute, 0}
                             : model_step{step_kind::deliver, 0});
    }
    apply({step_kind::advance_clock, 0});
    apply({step_kind::wake, 0});
    apply({step_kind::wake, 1});
  }
  check(callers_[probe].state == caller_state::holding, "no claim is granted after the faults");
}

void interleaving_world::check(bool condition, const std::string& text) {
  if (!condition && violation_.empty()) {
    violation_ = text;
  }
}

std::vector<model_step> interleaving_world::steps() const {
  std::vector<model_step> result;
  platform_steps(result);
  caller_steps(result);
  owner_steps(result);
  return result;
}

void interleaving_world::platform_steps(std::vector<model_step>& result) const {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (requests_[i].detached) {
      result.push_back({step_kind::execute_delayed, i});
      continue;
    }
    result.push_back({step_kind::execute, i});
    const bool is_read = std::holds_alternative<read_object>(requests_[i].effect);
    if (options_.faults > 0 && !is_read) {
      result.push_back({step_kind::lose_response, i});
      result.push_back({step_kind::delay_request, i});
      result.push_back({step_kind::refuse_request, i});
    }
  }
  for (std::size_t i = 0; i < results_.size(); ++i) {
    result.push_back({step_kind::deliver, i});
  }
}

void interleaving_world::caller_steps(std::vector<model_step>& result) const {
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    const caller& candidate = callers_[i];
    const bool has_outcome =
        candidate.state == caller_state::ran || candidate.state == caller_state::returning_claim;
    for (std::size_t owner = 0; owner < instances_.size(); ++owner) {
      if (!instances_[owner].owner || (options_.callers_keep_their_owner && owner != i)) {
        continue;
      }
      if (candidate.state == caller_state::idle && candidate.requests_left > 0) {
        result.push_back({step_kind::request, i, owner});
      }
      if (has_outcome && candidate.completions_left > 0) {
        result.push_back({step_kind::complete, i, owner});
      }
    }
    if (candidate.state == caller_state::waiting && options_.faults > 0) {
      result.push_back({step_kind::abandon_request, i});
    }
    if (candidate.state == caller_state::holding) {
      result.push_back({step_kind::run_on_target, i});
      if (options_.claim_returns > 0) {
        result.push_back({step_kind::return_claim, i});
      }
    }
  }
}

void interleaving_world::owner_steps(std::vector<model_step>& result) const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!instances_[i].owner && options_.takeovers > 0) {
      result.push_back({step_kind::take_ownership, i});
    }
    if (instances_[i].owner && instances_[1 - i].owner && options_.give_ups > 0) {
      result.push_back({step_kind::give_up_ownership, i});
    }
    if (options_.crashes > 0 && instances_[i].owner) {
      result.push_back({step_kind::crash, i});
    }
    const auto wakeup = instances_[i].log->next_wakeup();
    if (wakeup.has_value() && *wakeup <= clock_.now) {
      result.push_back({step_kind::wake, i});
    }
    const auto status = instances_[i].log->find_operation(callers_[0].operation, clock_.wall);
    if (options_.resolutions > 0 && status.has_value() && status->in_doubt &&
        status->resolvable_at_ms <= clock_.wall.time_since_epoch().count()) {
      result.push_back({step_kind::resolve, i});
    }
  }
  if (options_.clock_advances > 0) {
    result.push_back({step_kind::advance_clock, 0});
  }
}

void interleaving_world::apply(const model_step& step) {
  instance& subject_instance = instances_[step.subject % instances_.size()];
  switch (step.kind) {
    case step_kind::take_ownership:
      --options_.takeovers;
      subject_instance.owner = true;
      input(step.subject, "take", subject_instance.log->take_ownership(clock_));
      break;
    case step_kind::give_up_ownership:
      subject_instance.owner = false;
      --options_.give_ups;
      input(step.subject, "give up", subject_instance.log->give_up_ownership(clock_));
      break;
    case step_kind::crash:
      --options_.crashes;
      for (pending_request& request : requests_) {
        request.detached = request.detached || request.owner == step.subject;
      }
      std::erase_if(results_, [&](const auto& result) { return result.owner == step.subject; });
      restart(step.subject);
      break;
    case step_kind::execute:
    case step_kind::execute_delayed:
      execute(step.subject, false);
      break;
    case step_kind::lose_response:
      --options_.faults;
      execute(step.subject, true);
      break;
    case step_kind::delay_request:
    case step_kind::refuse_request: {
      --options_.faults;
      pending_request& request = requests_[step.subject];
      const std::size_t owner = request.owner;
      const std::string name = object_of(request.effect);
      const bool is_delayed = step.kind == step_kind::delay_request;
      request.detached = true;
      if (!is_delayed) {
        requests_.erase(requests_.begin() + static_cast<std::ptrdiff_t>(step.subject));
      }
      deliver_result(owner, {is_delayed ? result_kind::unknown : result_kind::unavailable, name,
                             std::nullopt, 0});
      break;
    }
    case step_kind::deliver: {
      const pending_result result = results_[step.subject];
      results_.erase(results_.begin() + static_cast<std::ptrdiff_t>(step.subject));
      deliver_result(result.owner, result.result);
      break;
    }
    case step_kind::request:
      request_claim_at(step.subject, step.owner);
      break;
    case step_kind::abandon_request:
      --options_.faults;
      callers_[step.subject].state = caller_state::idle;
      callers_[step.subject].ticket = 0;
      break;
    case step_kind::run_on_target:
      run_on_target(callers_[step.subject]);
      break;
    case step_kind::return_claim:
      --options_.claim_returns;
      callers_[step.subject].state = caller_state::returning_claim;
      callers_[step.subject].outcome = verdict::not_run;
      break;
    case step_kind::complete:
      complete_at(step.subject, step.owner);
      break;
    case step_kind::resolve:
      --options_.resolutions;
      resolve_at(step.subject);
      break;
    case step_kind::advance_clock:
      --options_.clock_advances;
      clock_.now += options_.clock_advance;
      clock_.wall += std::chrono::duration_cast<std::chrono::milliseconds>(options_.clock_advance);
      break;
    case step_kind::wake:
      input(step.subject, "wake", subject_instance.log->tick(clock_));
      check(subject_instance.log->next_wakeup().value_or(time_point::max()) > clock_.now,
            "a timer is due again at once");
      break;
  }
}

void interleaving_world::input(std::size_t owner, const std::string& text,
                               const shard_effects& effects) {
  instance& owner_instance = instances_[owner];
  owner_instance.input_digest =
      mix(owner_instance.input_digest,
          text + "@" + std::to_string(clock_.now.time_since_epoch().count()));
  for (const shard_effect& effect : effects) {
    handle(owner, effect);
  }
}

void interleaving_world::handle(std::size_t owner, const shard_effect& effect) {
  if (const auto* claimed = std::get_if<answer_claim>(&effect)) {
    handle_claim(*claimed);
  } else if (const auto* completed = std::get_if<answer_completion>(&effect)) {
    handle_completion(*completed);
  } else if (std::holds_alternative<delete_objects>(effect)) {
    platform_.execute(effect);
  } else if (!std::holds_alternative<answer_resolution>(effect)) {
    platform_request(owner, effect);
  }
}

void interleaving_world::platform_request(std::size_t owner, const shard_effect& effect) {
  instance& owner_instance = instances_[owner];
  const auto* create = std::get_if<create_object>(&effect);
  if (create != nullptr) {
    owner_instance.written_name = create->name;
    owner_instance.written_content = create->content;
  }
  const bool confirmed_early = create != nullptr && owner_instance.log->active() &&
                               options_.disabled == disabled_mechanism::durable_before_grant;
  requests_.push_back({owner, effect, confirmed_early});
  if (confirmed_early) {
    deliver_result(owner, {result_kind::created, create->name, std::nullopt, 0});
  }
}

void interleaving_world::execute(std::size_t position, bool response_lost) {
  const pending_request request = requests_[position];
  requests_.erase(requests_.begin() + static_cast<std::ptrdiff_t>(position));
  platform_result result = *platform_.execute(request.effect);
  if (request.detached) {
    return;
  }
  if (response_lost) {
    deliver_result(request.owner, {result_kind::unknown, result.name, std::nullopt, 0});
  } else if (result.kind == result_kind::read) {
    // Delivered at once: a stale read is equivalent to a pause of the owner before the operation
    // that follows it.
    deliver_result(request.owner, std::move(result));
  } else {
    results_.push_back({request.owner, std::move(result)});
  }
}

void interleaving_world::deliver_result(std::size_t owner, platform_result result) {
  instance& owner_instance = instances_[owner];
  const bool has_content = result.content.has_value();
  if (options_.disabled == disabled_mechanism::nonce_comparison && has_content &&
      result.name == owner_instance.written_name) {
    result.content = owner_instance.written_content;
  }
  if (options_.disabled == disabled_mechanism::header_check && owner_instance.log->active() &&
      result.kind == result_kind::read && result.name == checkpoint_object_name(0)) {
    result.content.reset();
  }
  if (result.kind == result_kind::created) {
    owner_instance.written_name.clear();
  }
  input(owner, content_of(result), deliver(*owner_instance.log, result, clock_));
}

std::uint64_t interleaving_world::state_digest() const {
  std::uint64_t digest = mix(0, std::to_string(clock_.now.time_since_epoch().count()));
  const auto add = [&](std::string_view text) { digest = mix(digest, text); };
  const auto add_number = [&](std::uint64_t value) { add(std::to_string(value)); };
  for (const instance& owner_instance : instances_) {
    add_number(owner_instance.input_digest);
    add_number(static_cast<std::uint64_t>(owner_instance.owner));
    add(owner_instance.written_name);
  }
  for (const auto& [name, object] : platform_.objects) {
    add(name);
    add(object.first);
  }
  std::multiset<std::string> in_transit;
  for (const auto& request : requests_) {
    in_transit.insert((request.detached ? "d" : "r") + std::to_string(request.owner) +
                      content_of(request.effect));
  }
  for (const auto& result : results_) {
    in_transit.insert("a" + std::to_string(result.owner) + content_of(result.result));
  }
  for (const std::string& text : in_transit) {
    add(text);
  }
  for (const caller& current_caller : callers_) {
    add_number(static_cast<std::uint64_t>(current_caller.state));
    add(std::to_string(current_caller.requests_left) + "," +
        std::to_string(current_caller.completions_left));
    add_number(current_caller.ticket);
    add(current_caller.held.has_value() ? current_caller.held->id.str() : "");
  }
  for (const auto& [operation, responses] : executions_) {
    add_number(responses.size());
  }
  for (const int remaining :
       {options_.faults, options_.crashes, options_.clock_advances, options_.takeovers,
        options_.claim_returns, options_.resolutions, options_.give_ups}) {
    add_number(static_cast<std::uint64_t>(remaining));
  }
  return digest;
}

}  // namespace crocusdoor::testing
