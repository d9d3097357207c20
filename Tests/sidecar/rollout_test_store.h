#pragma once

#include <vector>

#include "sidecar/rollout_store.h"
#include "transport/event_loop.h"

namespace crocusdoor {

struct store_contents;

/// A client of the order in the store of a test. A watch responds at the end of its wait or within
/// 10 ms after a change.
class test_rollout_store : public rollout_store {
 public:
  test_rollout_store(event_loop& loop, store_contents& contents)
      : loop_(loop), contents_(contents) {}
  ~test_rollout_store() override { end_watch(); }
  test_rollout_store(const test_rollout_store&) = delete;
  test_rollout_store& operator=(const test_rollout_store&) = delete;

  void list_orders(listing_callback done) override;
  void watch_orders(std::uint64_t revision, duration wait, listing_callback done) override;
  void end_watch() override;
  void write_status(const rollout_status_write& write, write_callback done) override;

 private:
  [[nodiscard]] rollout_listing listing() const;

  event_loop& loop_;
  store_contents& contents_;
  timer_handle watch_timer_;
  std::vector<timer_handle> response_timers_;
};

}  // namespace crocusdoor
