#include "sidecar/entry_writer.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

/// Minimum time between two changes of the crash counts, because each call to the store is priced.
constexpr duration store_interval = std::chrono::seconds(1);
/// Time until the next attempt after the store has not accepted an entry.
constexpr duration retry_delay = std::chrono::seconds(5);
/// The same while somebody waits for a departure to be stored.
constexpr duration awaited_retry_delay = std::chrono::milliseconds(150);
/// A target waits one second for an acknowledgement and sends its message again later.
constexpr duration departure_wait_limit = std::chrono::milliseconds(800);
/// After the store has gone back all daemons write their entries again, spread over this time.
constexpr duration rewrite_spread = std::chrono::seconds(1);

}  // namespace

entry_writer::entry_writer(const sidecar_context& shared, mesh_store& store)
    : shared_(shared), store_(store) {
  wanted_.name = shared_.self.name;
  wanted_.endpoint = to_string(shared_.options.listen.peers);
}

void entry_writer::restore(const daemon_listing& listing) {
  stored_ = daemon_entry{wanted_.name, wanted_.endpoint, {}, {}};
  for (const daemon_entry& entry : listing.daemons) {
    if (entry.name == wanted_.name) {
      stored_ = entry;
      const auto found = listing.revisions.find(entry.name);
      revision_ = found == listing.revisions.end() ? 0 : found->second;
      rewrite_ = false;  // The listing is of the current era.
    }
    // An entry of another name with this address is that of a predecessor on the machine.
    if (entry.endpoint == wanted_.endpoint) {
      for (const target_departure& departure : entry.departures) {
        departures_.add(departure);
      }
    }
  }
  wanted_.crashing_requests = stored_->crashing_requests;
  wanted_.departures = departures_.all();
  update();
  report_stored();
}

void entry_writer::set_crashing_requests(const std::vector<crash_count>& counts) {
  wanted_.crashing_requests = counts;
}

void entry_writer::add_departure(const target_departure& departure) {
  if (departures_.add(departure)) {
    wanted_.departures = departures_.all();
    store_at_once();
  }
}

void entry_writer::await_departures(stored_handler done) {
  if (departures_stored()) {
    done(true);
    return;
  }
  const auto waiting = std::make_shared<waiting_handler>();
  waiting->done = std::move(done);
  waiting->limit = shared_.loop.after(departure_wait_limit, [this, weak = std::weak_ptr(waiting)] {
    if (const waiting_pointer live = weak.lock()) {
      give_up(live);
    }
  });
  waiting_.push_back(waiting);
  store_at_once();
}

bool entry_writer::departures_stored() const {
  return stored_.has_value() && !rewrite_ && stored_->departures == wanted_.departures;
}

bool entry_writer::may_store() const {
  const bool awaited = !waiting_.empty() || (!rewrite_ && !departures_stored());
  return stored_.has_value() && !storing_ && !closed_ && retry_timer_ == nullptr &&
         (awaited || shared_.loop.now() >= next_store_at_);
}

void entry_writer::close() {
  closed_ = true;
}

/// Does not wait for the next attempt after a failure.
void entry_writer::store_at_once() {
  retry_timer_ = nullptr;
  update();
}

void entry_writer::update() {
  if (!may_store() || (!rewrite_ && wanted_ == *stored_)) {
    return;
  }
  storing_ = true;
  if (rewrite_) {
    read_revision();
  } else {
    write();
  }
}

template <typename Callback>
auto entry_writer::in_this_era(Callback done) {
  return [this, done = std::move(done), changes = era_changes_](const auto& result) {
    storing_ = false;
    if (changes == era_changes_) {
      done(result);
    } else if (waiting_.empty()) {
      update();
    } else {
      store_at_once();
    }
  };
}

void entry_writer::store_era_changed() {
  ++era_changes_;
  rewrite_ = true;
  revision_ = 0;
  if (waiting_.empty()) {
    retry_after(shared_.random.up_to(rewrite_spread));
  } else {
    store_at_once();
  }
}

void entry_writer::write() {
  store_.replace_daemon(wanted_, revision_,
                        in_this_era([this, written = wanted_](const daemon_write& result) {
                          write_ended(written, result);
                        }));
}

/// Learns the revision that the entry has in a new era, or creates the entry if it is missing.
void entry_writer::read_revision() {
  store_.read_daemon(wanted_.name,
                     in_this_era([this](const daemon_write& result) { revision_read(result); }));
}

void entry_writer::revision_read(const daemon_write& result) {
  if (result.outcome == store_outcome::done) {
    revision_ = result.revision;
    storing_ = true;
    write();
  } else if (result.outcome == store_outcome::not_found && !closed_) {
    storing_ = true;
    store_.announce_daemon(wanted_, in_this_era([this](store_outcome outcome) {
                             if (outcome == store_outcome::done) {
                               storing_ = true;
                               read_revision();
                             } else {
                               retry_after(awaited_retry_delay);
                             }
                           }));
  } else {
    retry_after(waiting_.empty() ? retry_delay : awaited_retry_delay);
  }
}

void entry_writer::retry_after(duration delay) {
  next_store_at_ = shared_.loop.now() + delay;
  retry_timer_ = shared_.loop.after(delay, [this] {
    retry_timer_ = nullptr;
    update();
  });
}

void entry_writer::write_ended(const daemon_entry& written, const daemon_write& result) {
  shared_.log.info("entry_stored", {{"requests", written.crashing_requests.size()},
                                    {"departures", written.departures.size()},
                                    {"outcome", std::string(to_string(result.outcome))}});
  if (result.outcome == store_outcome::done) {
    stored_ = written;
    rewrite_ = false;
    revision_ = result.revision;
    next_store_at_ = shared_.loop.now() + store_interval;
    report_stored();
    update();
    return;
  }
  if (result.outcome == store_outcome::conflict && result.revision != revision_) {
    // Another write was executed first: an earlier one of this process without a response.
    revision_ = result.revision;
    update();
    return;
  }
  retry_after(waiting_.empty() ? retry_delay : awaited_retry_delay);
  if (result.outcome == store_outcome::not_found && !closed_) {
    storing_ = true;
    store_.announce_daemon(wanted_, in_this_era([this](store_outcome) { revision_ = 0; }));
  }
}

void entry_writer::report_stored() {
  if (!departures_stored()) {
    return;
  }
  for (const waiting_pointer& waiting : std::exchange(waiting_, {})) {
    waiting->done(true);
  }
}

void entry_writer::give_up(const waiting_pointer& waiting) {
  std::erase(waiting_, waiting);
  shared_.log.warning("departure_not_stored", {{"listed", stored_.has_value()}});
  waiting->done(false);
}

}  // namespace crocusdoor
