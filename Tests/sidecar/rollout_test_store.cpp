#include "rollout_test_store.h"

#include <utility>

#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

constexpr duration latency = std::chrono::milliseconds(1);
constexpr duration watch_poll = std::chrono::milliseconds(10);

}  // namespace

void test_rollout_store::end_watch() {
  if (std::exchange(watch_timer_, nullptr) != nullptr) {
    --contents_.waiting_rollout_watches;
  }
}

rollout_listing test_rollout_store::listing() const {
  rollout_listing result;
  result.outcome = contents_.reachable ? store_outcome::done : store_outcome::refused;
  if (contents_.rollout.has_value()) {
    result.orders.push_back(*contents_.rollout);
    result.revision = contents_.rollout->revision;
  }
  return result;
}

void test_rollout_store::list_orders(listing_callback done) {
  response_timers_.push_back(
      loop_.after(latency, [this, done = std::move(done)] { done(listing()); }));
}

void test_rollout_store::watch_orders(std::uint64_t revision, duration wait,
                                      listing_callback done) {
  ++contents_.waiting_rollout_watches;
  watch_timer_ = loop_.every(watch_poll, [this, revision, end = loop_.now() + wait, done] {
    const bool changed = contents_.rollout.has_value() && contents_.rollout->revision > revision;
    if (changed || !contents_.reachable || loop_.now() >= end) {
      const listing_callback respond = done;
      watch_timer_ = nullptr;
      --contents_.waiting_rollout_watches;
      respond(listing());
    }
  });
}

void test_rollout_store::write_status(const rollout_status_write& write, write_callback done) {
  response_timers_.push_back(loop_.after(latency, [this, write, done = std::move(done)] {
    rollout_order& stored = *contents_.rollout;
    if (!contents_.reachable) {
      done({store_outcome::refused, 0});
    } else if (stored.revision != write.revision) {
      done({store_outcome::conflict, stored.revision});
    } else {
      ++contents_.status_writes;
      stored.status = write.status;
      done({store_outcome::done, ++stored.revision});
    }
  }));
}

}  // namespace crocusdoor
