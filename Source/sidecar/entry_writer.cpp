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
  return stored_.has_value() && stored_->departures == wanted_.departures;
}

bool entry_writer::may_store() const {
  const bool awaited = !waiting_.empty() || !departures_stored();
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
  if (!may_store() || wanted_ == *stored_) {
    return;
  }
  storing_ = true;
  store_.replace_daemon(wanted_, revision_, [this, written = wanted_](const daemon_write& result) {
    storing_ = false;
    write_ended(written, result);
  });
}

void entry_writer::write_ended(const daemon_entry& written, const daemon_write& result) {
  shared_.log.info("entry_stored", {{"requests", written.crashing_requests.size()},
                                    {"departures", written.departures.size()},
                                    {"outcome", std::string(to_string(result.outcome))}});
  if (result.outcome == store_outcome::done) {
    stored_ = written;
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
  const duration delay = waiting_.empty() ? retry_delay : awaited_retry_delay;
  next_store_at_ = shared_.loop.now() + delay;
  const auto retry = [this] {
    retry_timer_ = nullptr;
    update();
  };
  if (result.outcome == store_outcome::not_found && !closed_) {
    storing_ = true;
    store_.announce_daemon(wanted_, [this](store_outcome) {
      storing_ = false;
      revision_ = 0;
    });
  }
  retry_timer_ = shared_.loop.after(delay, retry);
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
