#include "transport/event_loop.h"

#include <event2/event.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>

namespace crocusdoor {

namespace {

/// A descriptor that is readable in each turn of the loop, with an action that is run then.
class always_readable {
 public:
  always_readable(event_loop& loop, std::function<void()> action) : action_(std::move(action)) {
    REQUIRE(::pipe(pipe_.data()) == 0);
    REQUIRE(::write(pipe_[1], "x", 1) == 1);
    event_ = event_new(loop.base(), pipe_[0], EV_READ | EV_PERSIST, &on_readable, this);
    event_add(event_, nullptr);
  }
  ~always_readable() {
    event_free(event_);
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }
  always_readable(const always_readable&) = delete;
  always_readable& operator=(const always_readable&) = delete;

 private:
  static void on_readable(evutil_socket_t, short, void* context) {
    static_cast<always_readable*>(context)->action_();
  }

  std::function<void()> action_;
  std::array<int, 2> pipe_{};
  event* event_ = nullptr;
};

}  // namespace

TEST_CASE("a posted action runs in the next turn of the loop", "[F12]") {
  event_loop loop;
  bool ran = false;

  SECTION("although another action is posted in each turn") {
    // Failure guarded against: a busy connection that posts in each turn stops all other calls.
    const always_readable busy(loop, [&] { loop.post([] {}); });
    loop.run_once();
    loop.post([&] { ran = true; });
    loop.run_once();
    loop.run_once();
    CHECK(ran);
  }
  SECTION("also if a posted action posts it") {
    loop.post([&] { loop.post([&] { ran = true; }); });
    loop.run_once();
    CHECK_FALSE(ran);
    loop.run_once();
    CHECK(ran);
  }
}

}  // namespace crocusdoor
