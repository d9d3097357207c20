#include "sidecar/crash_count_archive.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Maximum number of requests in an entry; the latest are kept.
constexpr std::size_t request_limit = 32;

}  // namespace

crash_count_archive::crash_count_archive(const sidecar_context& shared, entry_writer& entry)
    : shared_(shared), entry_(entry) {}

std::vector<crash_count> crash_count_archive::restore(const std::vector<daemon_entry>& entries) {
  std::vector<crash_count> restored;
  for (const daemon_entry& entry : entries) {
    for (const crash_count& count : entry.crashing_requests) {
      if (shared_.crashes.merge(count, shared_.loop.now())) {
        restored.push_back(count);
      }
    }
    if (entry.name == shared_.self.name) {
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
    const digest& request = count.base.empty() ? count.request : count.base;
    if (std::find(requests_.begin(), requests_.end(), request) == requests_.end()) {
      requests_.push_back(request);
    }
  }
  update();
}

void crash_count_archive::store_era_changed(
    const std::function<bool(const digest& request)>& is_keeper) {
  std::vector<crash_count> kept = shared_.crashes.all();
  std::erase_if(kept, [&](const crash_count& count) {
    return count.crashes == 0 || !is_keeper(count.base.empty() ? count.request : count.base);
  });
  changed(kept);
}

void crash_count_archive::update() {
  if (entry_.restored()) {
    entry_.set_crashing_requests(refused_counts());
    entry_.update();
  }
}

/// The counts to be kept. Forgets requests that are not refused any more.
std::vector<crash_count> crash_count_archive::refused_counts() {
  std::erase_if(requests_, [this](const digest& request) {
    return !shared_.crashes.is_refused(request, shared_.loop.now());
  });
  if (requests_.size() > request_limit) {
    requests_.erase(requests_.begin(), requests_.end() - request_limit);
  }
  std::vector<crash_count> counts;
  for (const digest& request : requests_) {
    for (const crash_count& count : shared_.crashes.all_of(request)) {
      if (count.crashes > 0) {
        counts.push_back(count);
      }
    }
  }
  return counts;
}

}  // namespace crocusdoor
