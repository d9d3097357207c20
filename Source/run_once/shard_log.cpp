#include "run_once/shard_log.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace crocusdoor {

shard_log::shard_log(std::uint32_t shard, random_source& random, const shard_log_settings& settings)
    : shard_(shard),
      settings_(settings),
      seed_(random.identifier()),
      backoff_(seed_ + "load", settings.backoff_first, settings.backoff_cap),
      writer_(seed_ + "write", settings.fence_window, settings.backoff_first, settings.backoff_cap),
      reader_(shard),
      checkpoint_(shard, seed_ + "checkpoint", settings.part_limit_bytes, settings.backoff_first,
                  settings.backoff_cap) {}

std::string shard_log::next_identifier() {
  return digest_of({seed_, std::to_string(++identifier_count_)}).str();
}

shard_effects shard_log::take_ownership(clock_reading at) {
  if (phase_ == phase::not_owner) {
    phase_ = phase::waiting;
  }
  return finish(at, {});
}

shard_effects shard_log::give_up_ownership(clock_reading at) {
  shard_effects effects;
  if (phase_ != phase::not_owner) {
    lose_ownership(at, duration::zero(), effects);
    phase_ = phase::not_owner;
    for (const waiting_completion& completion : std::exchange(early_completions_, {})) {
      handle_completion(completion, at, effects);
    }
  }
  return finish(at, std::move(effects));
}

void shard_log::lose_ownership(clock_reading at, duration retake_delay, shard_effects& effects) {
  refuse_new_claims("another instance owns the shard", at, effects);
  for (const auto& [operation, request] : std::exchange(waiters_, {})) {
    effects.emplace_back(answer_claim{
        request.ticket, {claim_decision::in_progress, {}, {}, "the owner of the shard changed"}});
  }
  for (const pending_change& change : pending_.take_all()) {
    if (change.ticket.has_value() && change.entry.kind == entry_kind::completion) {
      effects.emplace_back(
          answer_completion{*change.ticket, false, false, "the owner of the shard changed"});
    } else if (change.ticket.has_value()) {
      effects.emplace_back(
          answer_resolution{*change.ticket, false, "the owner of the shard changed"});
    }
  }
  writer_.abandon();
  checkpoint_.abandon();
  reader_.read_failed();
  table_ = operation_table();
  kept_batches_.clear();
  last_batch_started_at_.reset();
  load_retry_at_.reset();
  write_retry_at_.reset();
  phase_ = phase::waiting;
  retake_at_ = at.now + retake_delay;
}

shard_effects shard_log::finish(clock_reading at, shard_effects effects) {
  advance(at, effects);
  for (const shard_effect& effect : effects) {
    if (const auto* create = std::get_if<create_object>(&effect)) {
      outstanding_.insert(create->name);
    } else if (const auto* read = std::get_if<read_object>(&effect)) {
      outstanding_.insert(read->name);
    } else if (const auto* write = std::get_if<write_object>(&effect)) {
      outstanding_.insert(write->name);
    }
  }
  return effects;
}

void shard_log::advance(clock_reading at, shard_effects& effects) {
  if (phase_ == phase::waiting && outstanding_.empty() &&
      (!retake_at_.has_value() || at.now >= *retake_at_)) {
    // Results are matched by object name only, so loading starts after all earlier results have
    // arrived; otherwise an old result could be taken for one of this takeover.
    phase_ = phase::loading;
    retake_at_.reset();
    reader_.start(effects);
  }
  if (phase_ == phase::active && !writer_.busy() && !checkpoint_.header_in_flight()) {
    if (checkpoint_.header_ready(at.now)) {
      checkpoint_.write_header(effects);
    } else if (!pending_.queue_empty() && !platform_down(at.now) && at.now >= next_batch_at()) {
      start_batch(at, effects);
    }
  }
}

void shard_log::handle_load_outcome(load_outcome outcome, clock_reading at,
                                    shard_effects& effects) {
  if (outcome == load_outcome::failed) {
    load_failed(at, effects);
  }
  if (outcome != load_outcome::loaded) {
    return;
  }
  table_ = reader_.table();
  next_sequence_ = reader_.next_sequence();
  epoch_ = reader_.epoch() + 1;
  phase_ = phase::starting;
  writer_.start({shard_, next_sequence_, epoch_, next_identifier(), {}}, std::nullopt, at.now,
                effects);
}

void shard_log::load_failed(clock_reading at, shard_effects& effects) {
  phase_ = phase::loading;
  load_retry_at_ = at.now + backoff_.next();
  refuse_new_claims("the run-once log cannot be read", at, effects);
}

void shard_log::become_active(clock_reading at, shard_effects& effects) {
  phase_ = phase::active;
  backoff_.reset();
  last_batch_started_at_ = writer_.started_at();
  const checkpoint_header& header = reader_.header();
  checkpoint_.adopt(header, reader_.header_version(), table_);
  add_kept_batches(header.first_batch, next_sequence_, at.now);
  ++next_sequence_;
  for (const waiting_completion& completion : std::exchange(early_completions_, {})) {
    handle_completion(completion, at, effects);
  }
  for (const waiting_claim& request : std::exchange(early_claims_, {})) {
    handle_claim_request(request, at, effects);
  }
  start_checkpoint(at, effects);
}

void shard_log::add_kept_batches(std::uint64_t first, std::uint64_t last, time_point now) {
  for (std::uint64_t sequence = first; sequence <= last; ++sequence) {
    kept_batches_.emplace_back(sequence, now);
  }
}

void shard_log::start_batch(clock_reading at, shard_effects& effects) {
  write_budget_used_until_ = std::max(write_budget_used_until_, at.now) + settings_.write_interval;
  log_batch batch{shard_, next_sequence_, epoch_, next_identifier(),
                  pending_.start_batch(settings_.batch_limit_bytes)};
  writer_.start(batch, last_batch_started_at_, at.now, effects);
}

void shard_log::handle_write_outcome(write_outcome outcome, clock_reading at,
                                     shard_effects& effects) {
  if (outcome == write_outcome::pending) {
    if (writer_.backing_off()) {
      refuse_new_claims("the run-once log cannot be written", at, effects);
    }
    return;
  }
  if (phase_ == phase::starting) {
    if (outcome == write_outcome::durable) {
      become_active(at, effects);
    } else {
      reader_.read_failed();
      load_failed(at, effects);
      reader_ = log_reader(shard_);
    }
    return;
  }
  switch (outcome) {
    case write_outcome::durable:
      batch_durable(at, effects);
      break;
    case write_outcome::not_written:
      batch_not_written(at, effects);
      break;
    case write_outcome::fenced:
      lose_ownership(at, settings_.retake_delay + backoff_.next(), effects);
      break;
    case write_outcome::pending:
      break;
  }
}

void shard_log::batch_durable(clock_reading at, shard_effects& effects) {
  backoff_.reset();
  write_retry_at_.reset();
  last_batch_started_at_ = writer_.started_at();
  add_kept_batches(next_sequence_, next_sequence_, at.now);
  ++next_sequence_;
  const std::vector<pending_change> changes = pending_.finish_batch();
  for (const pending_change& change : changes) {
    change_durable(change, at, effects);
  }
  for (const pending_change& change : changes) {
    reevaluate_waiters(change.entry.operation, at, effects);
  }
  start_checkpoint(at, effects);
}

void shard_log::change_durable(const pending_change& change, clock_reading at,
                               shard_effects& effects) {
  const log_entry& entry = change.entry;
  const bool applied = table_.apply(entry, epoch_);
  if (entry.kind == entry_kind::claim) {
    if (!change.ticket.has_value() || change.deadline <= at.now) {
      if (change.ticket.has_value()) {
        effects.emplace_back(answer_claim{
            *change.ticket,
            {claim_decision::refused, {}, {}, "the deadline passed before the claim was durable"}});
      }
      release_unused_claim(change, at);
      return;
    }
    claim_response response;
    response.decision = claim_decision::granted;
    response.granted =
        claim{entry.id, entry.operation, entry.body_digest, shard_, entry.expires_at_ms};
    effects.emplace_back(answer_claim{*change.ticket, std::move(response)});
  } else if (change.ticket.has_value()) {
    const bool recorded = applied || table_.reflects(entry);
    const std::string reason = recorded ? "" : "the claim is not open";
    if (entry.kind == entry_kind::completion) {
      effects.emplace_back(answer_completion{*change.ticket, recorded, true, reason});
    } else {
      effects.emplace_back(answer_resolution{*change.ticket, recorded, reason});
    }
  }
}

void shard_log::release_unused_claim(const pending_change& change, clock_reading at) {
  // The claim was not sent to any requester, so no request can be executed under it.
  log_entry entry = change.entry;
  entry.kind = entry_kind::completion;
  entry.outcome = verdict::not_run;
  entry.at_ms = at.wall.time_since_epoch().count();
  pending_.add({std::move(entry), std::nullopt, {}});
}

void shard_log::batch_not_written(clock_reading at, shard_effects& effects) {
  write_retry_at_ = at.now + backoff_.next();
  const duration retry_after = retry_delay(at.now);
  std::vector<pending_change> kept;
  for (pending_change& change : pending_.finish_batch()) {
    if (change.entry.kind == entry_kind::claim) {
      refuse_claim(change, "the run-once log cannot be written", retry_after, effects);
    } else if (change.entry.kind == entry_kind::resolution && change.ticket.has_value()) {
      effects.emplace_back(
          answer_resolution{*change.ticket, false, "the run-once log cannot be written"});
    } else {
      kept.push_back(std::move(change));
    }
  }
  pending_.put_back(std::move(kept));
  refuse_new_claims("the run-once log cannot be written", at, effects);
}

void shard_log::start_checkpoint(clock_reading at, shard_effects& effects) {
  const std::uint64_t through = next_sequence_ - 1;
  if (checkpoint_.busy() ||
      through < checkpoint_.header().through + settings_.checkpoint_interval) {
    return;
  }
  table_.discard_past_retention(at.wall);
  delete_old_batches(at, effects);
  const std::uint64_t first = kept_batches_.empty() ? through + 1 : kept_batches_.front().first;
  checkpoint_.start(table_, through, first, epoch_, next_identifier(), effects);
}

void shard_log::delete_old_batches(clock_reading at, shard_effects& effects) {
  delete_objects old;
  while (!kept_batches_.empty() && kept_batches_.front().first <= checkpoint_.header().through &&
         at.now - kept_batches_.front().second >= settings_.delete_age) {
    old.names.push_back(batch_object_name(shard_, kept_batches_.front().first));
    kept_batches_.pop_front();
  }
  if (!old.names.empty()) {
    effects.emplace_back(std::move(old));
  }
}

void shard_log::handle_checkpoint_outcome(checkpoint_outcome outcome, clock_reading at,
                                          shard_effects& effects) {
  if (outcome == checkpoint_outcome::fenced) {
    lose_ownership(at, settings_.retake_delay + backoff_.next(), effects);
  }
}

time_point shard_log::next_batch_at() const {
  return write_budget_used_until_ - settings_.write_burst * settings_.write_interval;
}

bool shard_log::platform_down(time_point now) const {
  const bool waits = (load_retry_at_.has_value() && phase_ == phase::loading) ||
                     (retake_at_.has_value() && now < *retake_at_) ||
                     (write_retry_at_.has_value() && now < *write_retry_at_);
  return waits || writer_.backing_off();
}

duration shard_log::retry_delay(time_point now) const {
  duration delay = settings_.backoff_first;
  for (const auto& at : {load_retry_at_, write_retry_at_, writer_.retry_at(), retake_at_}) {
    if (at.has_value()) {
      delay = std::max(delay, *at - now);
    }
  }
  return delay;
}

}  // namespace crocusdoor
