#include "sidecar/crash_count_archive.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Maximum number of requests in an entry; the latest are kept. An entry then has some 3 KB.
constexpr std::size_t request_limit = 32;
/// Minimum time between two changes of an entry, because each call to the store is priced.
constexpr duration store_interval = std::chrono::seconds(1);
/// Time until the next attempt after the store has not accepted an entry.
constexpr duration retry_delay = std::chrono::seconds(5);

}  // namespace

crash_count_archive::crash_count_archive(const sidecar_context& shared, mesh_store& store)
    : shared_(shared), store_(store) {}

std::vector<crash_count> crash_count_archive::restore(const std::vector<daemon_entry>& entries) {
  std::vector<crash_count> restored;
  stored_.emplace();
  for (const daemon_entry& entry : entries) {
    for (const crash_count& count : entry.crashing_requests) {
      if (shared_.crashes.merge(count, shared_.loop.now())) {
        restored.push_back(count);
      }
    }
    if (entry.name == shared_.self.name) {
      stored_ = entry.crashing_requests;
      changed(entry.crashing_requests);
    }
  }
  if (!restored.empty()) {
    shared_.log.info("crash_counts_restored", {{"requests", restored.size()}});
  }
  update();
  return restored;
}

void crash_count_archive::changed(const std::vector<crash_count>& counts) {
  for (const crash_count& count : counts) {
    if (std::find(requests_.begin(), requests_.end(), count.request) == requests_.end()) {
      requests_.push_back(count.request);
    }
  }
  update();
}

void crash_count_archive::update() {
  if (!stored_.has_value() || storing_ || shared_.loop.now() < next_store_at_) {
    return;
  }
  const std::vector<crash_count> wanted = refused_counts();
  if (wanted == *stored_) {
    return;
  }
  storing_ = true;
  const daemon_entry entry{shared_.self.name, to_string(shared_.options.listen.peers), wanted};
  store_.replace_daemon(entry, [this, wanted](store_outcome outcome) {
    const bool done = outcome == store_outcome::done;
    storing_ = false;
    stored_ = done ? wanted : *stored_;
    next_store_at_ = shared_.loop.now() + (done ? store_interval : retry_delay);
    shared_.log.info("crash_counts_stored",
                     {{"requests", wanted.size()}, {"outcome", std::string(to_string(outcome))}});
  });
}

/// The counts to be kept. Forgets requests that are not refused any more.
std::vector<crash_count> crash_count_archive::refused_counts() {
  std::erase_if(requests_, [this](const digest& request) {
    return shared_.crashes.refusal_left(request, shared_.loop.now()) == duration::zero();
  });
  if (requests_.size() > request_limit) {
    requests_.erase(requests_.begin(), requests_.end() - request_limit);
  }
  std::vector<crash_count> counts;
  for (const digest& request : requests_) {
    counts.push_back(shared_.crashes.count(request));
  }
  return counts;
}

}  // namespace crocusdoor
