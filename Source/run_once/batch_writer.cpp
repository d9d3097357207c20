#include "run_once/batch_writer.h"

namespace crocusdoor {

batch_writer::batch_writer(const std::string& seed, duration fence_window, duration backoff_first,
                           duration backoff_cap)
    : fence_window_(fence_window), backoff_(seed, backoff_first, backoff_cap) {}

void batch_writer::start(const log_batch& batch,
                         std::optional<time_point> previous_batch_started_at, time_point now,
                         shard_effects& effects) {
  name_ = batch_object_name(batch.shard, batch.sequence);
  header_name_ = checkpoint_object_name(batch.shard);
  content_ = to_object_content(batch);
  nonce_ = batch.nonce;
  sequence_ = batch.sequence;
  previous_batch_started_at_ = previous_batch_started_at;
  started_at_ = now;
  may_be_written_ = false;
  rewrites_ = 0;
  start_step(step::writing, effects);
}

bool batch_writer::expects(const std::string& name) const {
  if (step_ == step::idle || retry_at_.has_value()) {
    return false;
  }
  return name == (step_ == step::checking_header ? header_name_ : name_);
}

void batch_writer::abandon() {
  step_ = step::idle;
  retry_at_.reset();
  backoff_.reset();
}

void batch_writer::start_step(step next, shard_effects& effects) {
  step_ = next;
  retry_at_.reset();
  if (next == step::writing) {
    effects.emplace_back(create_object{name_, content_});
  } else {
    effects.emplace_back(read_object{next == step::checking_header ? header_name_ : name_});
  }
}

write_outcome batch_writer::back_off(step next, time_point now) {
  step_ = next;
  retry_at_ = now + backoff_.next();
  return write_outcome::pending;
}

write_outcome batch_writer::finish(write_outcome outcome) {
  abandon();
  return outcome;
}

write_outcome batch_writer::accept(time_point now, shard_effects& effects) {
  if (previous_batch_started_at_.has_value() && now - *previous_batch_started_at_ < fence_window_) {
    return finish(write_outcome::durable);
  }
  start_step(step::checking_header, effects);
  return write_outcome::pending;
}

write_outcome batch_writer::created(time_point now, shard_effects& effects) {
  return accept(now, effects);
}

write_outcome batch_writer::exists(const std::string& content, time_point now,
                                   shard_effects& effects) {
  const auto found = try_from_object_content<log_batch>(content);
  if (found.has_value() && found->nonce == nonce_) {
    return accept(now, effects);
  }
  return finish(write_outcome::fenced);
}

write_outcome batch_writer::read(const std::optional<std::string>& content, time_point now,
                                 shard_effects& effects) {
  if (step_ == step::checking_header) {
    if (!content.has_value()) {
      return finish(write_outcome::durable);
    }
    const auto header = try_from_object_content<checkpoint_header>(*content);
    if (!header.has_value()) {
      return back_off(step::checking_header, now);
    }
    return finish(header->through >= sequence_ ? write_outcome::fenced : write_outcome::durable);
  }
  if (content.has_value()) {
    return exists(*content, now, effects);
  }
  // The first rewrite is immediate; later ones are delayed, because the platform is then losing
  // requests repeatedly.
  if (++rewrites_ > 1) {
    return back_off(step::writing, now);
  }
  start_step(step::writing, effects);
  return write_outcome::pending;
}

write_outcome batch_writer::result_unknown(time_point now, shard_effects& effects) {
  if (step_ == step::writing) {
    may_be_written_ = true;
    start_step(step::reading_back, effects);
    return write_outcome::pending;
  }
  return back_off(step_, now);
}

write_outcome batch_writer::unavailable(time_point now, shard_effects& /*effects*/) {
  if (step_ == step::writing && !may_be_written_) {
    return finish(write_outcome::not_written);
  }
  return back_off(step_ == step::writing ? step::reading_back : step_, now);
}

write_outcome batch_writer::tick(time_point now, shard_effects& effects) {
  if (retry_at_.has_value() && now >= *retry_at_) {
    start_step(step_, effects);
  }
  return write_outcome::pending;
}

}  // namespace crocusdoor
