#include "admission/admission_controller.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(100)};

admission_request make_request(admission_ticket ticket, duration left = seconds(1),
                               const std::string& work_class = "statements") {
  return {.ticket = ticket, .deadline = start + left, .work_class = work_class};
}

// Records samples of the service time of a work class. They end at `start`, so that they are not
// old. Uses the tickets from 1,000,000.
void record_samples(admission_controller& controller, const std::string& work_class,
                    duration service_time, int samples = 20) {
  for (int i = 0; i < samples; ++i) {
    const admission_ticket ticket = 1'000'000 + static_cast<admission_ticket>(i);
    const time_point begin = start - service_time;
    const auto decision = controller.offer(make_request(ticket, seconds(10), work_class), begin);
    REQUIRE(decision.outcome == admission_outcome::started);
    REQUIRE(controller.finished(ticket, begin + service_time) == admission_changes{});
  }
}

std::vector<admission_ticket> refused_tickets(const admission_changes& changes) {
  std::vector<admission_ticket> result;
  for (const refused_ticket& refused : changes.refused) {
    result.push_back(refused.ticket);
  }
  return result;
}

using tickets = std::vector<admission_ticket>;

}  // namespace

TEST_CASE("a cancelled waiting request never runs", "[P5][admission]") {
  admission_controller controller(default_admission_policy(1));
  REQUIRE(controller.offer(make_request(1), start).outcome == admission_outcome::started);
  REQUIRE(controller.offer(make_request(2), start).outcome == admission_outcome::queued);
  REQUIRE(controller.offer(make_request(3), start).outcome == admission_outcome::queued);

  SECTION("cancelled before a slot is free: the next one starts instead") {
    CHECK(controller.cancel(2, start).outcome == cancel_outcome::was_waiting);
    CHECK(controller.finished(1, start + milliseconds(20)).started == tickets{3});

    SECTION("and a second cancellation finds nothing") {
      CHECK(controller.cancel(2, start + milliseconds(20)).outcome == cancel_outcome::unknown);
    }
  }

  SECTION("cancelled just after it has started: it is reported as running and keeps its slot") {
    REQUIRE(controller.finished(1, start + milliseconds(20)).started == tickets{2});
    CHECK(controller.cancel(2, start + milliseconds(20)).outcome == cancel_outcome::was_running);
    CHECK(controller.load() == load_report{1, 1, 1});
    CHECK(controller.finished(2, start + milliseconds(30)).started == tickets{3});
  }

  SECTION("a ticket in use is refused, so that a repeated arrival cannot run twice") {
    CHECK(controller.offer(make_request(2), start).reason == refusal_reason::duplicate_ticket);
    CHECK(controller.offer(make_request(1), start).reason == refusal_reason::duplicate_ticket);
  }

  SECTION("an unknown ticket that finishes changes nothing") {
    CHECK(controller.finished(99, start) == admission_changes{});
    CHECK(controller.load() == load_report{1, 1, 2});
  }
}

TEST_CASE("a request that cannot finish before its deadline is refused on arrival", "[F10]") {
  admission_controller controller(default_admission_policy(2));
  record_samples(controller, "statements", milliseconds(100));

  struct deadline_case {
    std::string name;
    admission_ticket requests_ahead;  ///< Requests offered before, of which two run.
    duration left;
    admission_outcome expected;
  };
  const std::vector<deadline_case> cases{
      {"free slot, enough time", 0, milliseconds(200), admission_outcome::started},
      {"free slot, less than the service time", 0, milliseconds(90), admission_outcome::refused},
      {"already expired", 0, milliseconds(-1), admission_outcome::refused},
      {"short queue, enough time", 3, seconds(1), admission_outcome::queued},
      {"the queue ahead takes longer than the deadline", 8, milliseconds(300),
       admission_outcome::refused}};
  for (const deadline_case& test_case : cases) {
    DYNAMIC_SECTION(test_case.name) {
      for (admission_ticket ticket = 1; ticket <= test_case.requests_ahead; ++ticket) {
        REQUIRE(controller.offer(make_request(ticket), start).outcome !=
                admission_outcome::refused);
      }
      auto request = make_request(50, test_case.left);
      // Its class places it behind the waiting requests, regardless of its deadline.
      request.priority = priority_class::bulk;
      const admission_decision decision = controller.offer(request, start);
      CHECK(decision.outcome == test_case.expected);
      CHECK((decision.retry_after > duration(0)) ==
            (test_case.expected == admission_outcome::refused));
    }
  }

  SECTION("a request that expires while it waits is refused by the next tick") {
    REQUIRE(controller.offer(make_request(1), start).outcome == admission_outcome::started);
    REQUIRE(controller.offer(make_request(2), start).outcome == admission_outcome::started);
    REQUIRE(controller.offer(make_request(3), start).outcome == admission_outcome::queued);
    const admission_changes changes = controller.tick(start + seconds(1));
    REQUIRE(changes.refused.size() == 1);
    CHECK(changes.refused[0].ticket == 3);
    CHECK(changes.refused[0].reason == refusal_reason::expired);
  }
}

TEST_CASE("an overloaded queue stays bounded and sheds the request with the lowest chance",
          "[F10]") {
  admission_policy policy = default_admission_policy(1);
  policy.queue_limit = 3;
  admission_controller controller(policy);
  record_samples(controller, "statements", milliseconds(100));
  REQUIRE(controller.offer(make_request(1), start).outcome == admission_outcome::started);
  REQUIRE(controller.offer(make_request(2, seconds(5)), start).changes == admission_changes{});
  REQUIRE(controller.offer(make_request(3, milliseconds(600)), start).changes ==
          admission_changes{});
  REQUIRE(controller.offer(make_request(4, seconds(6)), start).changes == admission_changes{});

  SECTION("a new request with more time displaces one that would hardly meet its deadline") {
    const admission_decision decision = controller.offer(make_request(5, seconds(4)), start);
    CHECK(decision.outcome == admission_outcome::queued);
    CHECK(refused_tickets(decision.changes) == tickets{3});
    CHECK(decision.changes.refused[0].reason == refusal_reason::queue_full);
  }

  SECTION("a new request with the lowest chance is refused itself") {
    const admission_decision decision = controller.offer(make_request(5, milliseconds(350)), start);
    CHECK(decision.outcome == admission_outcome::refused);
    CHECK(decision.changes == admission_changes{});
  }

  SECTION("any number of requests leaves the queue at its limit") {
    for (admission_ticket ticket = 10; ticket < 200; ++ticket) {
      static_cast<void>(controller.offer(make_request(ticket, seconds(2)), start));
      REQUIRE(controller.load().queued <= 3);
    }
  }

  SECTION("waiting requests start by class, then by deadline") {
    auto bulk = make_request(5, seconds(5));
    bulk.priority = priority_class::bulk;
    REQUIRE(controller.cancel(4, start).outcome == cancel_outcome::was_waiting);
    REQUIRE(controller.offer(bulk, start).outcome == admission_outcome::queued);
    CHECK(controller.finished(1, start).started == tickets{3});
    CHECK(controller.finished(3, start).started == tickets{2});
    CHECK(controller.finished(2, start).started == tickets{5});
  }
}

TEST_CASE("long requests leave slots to short ones", "[M4]") {
  admission_controller controller(default_admission_policy(4));
  record_samples(controller, "statements", milliseconds(10), 60);
  record_samples(controller, "exports", milliseconds(500), 10);

  SECTION("a work class known as long gets half of the slots") {
    for (admission_ticket ticket = 1; ticket <= 3; ++ticket) {
      const auto decision = controller.offer(make_request(ticket, seconds(9), "exports"), start);
      CHECK(decision.outcome ==
            (ticket <= 2 ? admission_outcome::started : admission_outcome::queued));
    }
    CHECK(controller.offer(make_request(10), start).outcome == admission_outcome::started);
    CHECK(controller.offer(make_request(11), start).outcome == admission_outcome::started);

    SECTION("and the next one starts when one of them ends, not when a short one does") {
      CHECK(controller.finished(10, start + milliseconds(10)).started.empty());
      CHECK(controller.finished(11, start + milliseconds(10)).started.empty());
      CHECK(controller.finished(1, start + milliseconds(500)).started == tickets{3});
    }
  }

  SECTION("a request of a short class counts as long once it has run that long") {
    REQUIRE(controller.offer(make_request(1), start).outcome == admission_outcome::started);
    REQUIRE(controller.offer(make_request(2), start).outcome == admission_outcome::started);
    const time_point later = start + milliseconds(200);
    CHECK(controller.offer(make_request(3, seconds(9), "exports"), later).outcome ==
          admission_outcome::queued);
    CHECK(controller.offer(make_request(4), later).outcome == admission_outcome::started);
  }
}

TEST_CASE("an isolated request runs while nothing else runs", "[F6]") {
  admission_controller controller(default_admission_policy(2));
  REQUIRE(controller.offer(make_request(1), start).outcome == admission_outcome::started);
  admission_request isolated = make_request(2, milliseconds(900));
  isolated.isolated = true;
  REQUIRE(controller.offer(isolated, start).outcome == admission_outcome::queued);
  REQUIRE(controller.offer(make_request(3), start).outcome == admission_outcome::queued);

  SECTION("it starts when the running ones have ended, and holds back later ones") {
    CHECK(controller.finished(1, start + milliseconds(20)).started == tickets{2});
    CHECK(controller.offer(make_request(4), start + milliseconds(21)).outcome ==
          admission_outcome::queued);
    CHECK(controller.finished(2, start + milliseconds(40)).started == tickets{3, 4});
  }

  SECTION("cancelled while it waits, it no longer holds back later requests") {
    const cancel_result result = controller.cancel(2, start);
    CHECK(result.outcome == cancel_outcome::was_waiting);
    CHECK(result.changes.started == tickets{3});
  }
}

TEST_CASE("a drain refuses new requests and finishes accepted ones", "[P8][F9]") {
  admission_controller controller(default_admission_policy(1));
  CHECK_FALSE(controller.drained());
  REQUIRE(controller.offer(make_request(1), start).outcome == admission_outcome::started);
  REQUIRE(controller.offer(make_request(2), start).outcome == admission_outcome::queued);
  controller.begin_drain(start);
  CHECK(controller.offer(make_request(3), start).reason == refusal_reason::draining);
  CHECK(controller.finished(1, start).started == tickets{2});
  CHECK_FALSE(controller.drained());
  CHECK(controller.finished(2, start) == admission_changes{});
  CHECK(controller.drained());
}

TEST_CASE("a change of the number of slots interrupts nothing") {
  admission_controller controller(default_admission_policy(2));
  for (admission_ticket ticket = 1; ticket <= 4; ++ticket) {
    static_cast<void>(controller.offer(make_request(ticket), start));
  }
  CHECK(controller.set_slots(1, start) == admission_changes{});
  CHECK(controller.load() == load_report{1, 2, 2});
  CHECK(controller.finished(1, start).started.empty());
  CHECK(controller.set_slots(3, start).started == tickets{3, 4});
}

TEST_CASE("an old estimate does not refuse the requests that could correct it", "[admission]") {
  // Guards against requests that are refused permanently, because the first ones were cut off or a
  // slow period has raised the estimate above their deadline.
  admission_controller controller(default_admission_policy(4));
  const auto offer_at = [&](admission_ticket ticket, time_point now) {
    admission_request request = make_request(ticket);
    request.deadline = now + seconds(1);
    return controller.offer(request, now).outcome;
  };

  SECTION("after a slow period one request at a time runs, and a fast response ends it") {
    record_samples(controller, "statements", seconds(3));
    CHECK(offer_at(1, start) == admission_outcome::refused);
    const time_point later = start + seconds(2);
    CHECK(offer_at(2, later) == admission_outcome::started);
    CHECK(offer_at(3, later) == admission_outcome::refused);
    CHECK(controller.finished(2, later + milliseconds(20)).refused.empty());
    CHECK(offer_at(4, later + milliseconds(20)) == admission_outcome::started);
    CHECK(offer_at(5, later + milliseconds(20)) == admission_outcome::started);
  }
  SECTION("a request that was cut off does not count as a response") {
    for (admission_ticket ticket = 1; ticket <= 5; ++ticket) {
      const time_point begin = start + seconds(2) * static_cast<int>(ticket);
      REQUIRE(offer_at(ticket, begin) == admission_outcome::started);
      CHECK(controller.finished(ticket, begin + milliseconds(1'030), verdict::may_have_run) ==
            admission_changes{});
    }
    CHECK(offer_at(6, start + seconds(12)) == admission_outcome::started);
  }
  SECTION("no probe runs while all slots are in use") {
    record_samples(controller, "statements", seconds(3));
    const time_point later = start + seconds(2);
    for (admission_ticket ticket = 1; ticket <= 4; ++ticket) {
      admission_request request = make_request(ticket, seconds(60), "other");
      REQUIRE(controller.offer(request, later).outcome == admission_outcome::started);
    }
    CHECK(offer_at(5, later) == admission_outcome::refused);
  }
}

}  // namespace crocusdoor
