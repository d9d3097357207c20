#include "transport/peer_link.h"

#include <catch2/catch.hpp>
#include <vector>

#include "transport/tcp_listener.h"

namespace crocusdoor {

namespace {

/// A message that the loop needs more than one read for.
wire::envelope large_call(wire::request_id id) {
  wire::call call;
  call.id = id;
  call.service = service_name("s");
  call.method = "POST";
  call.path = "/";
  call.body.bytes = std::string(10'000, 'x');
  return {1, call};
}

}  // namespace

TEST_CASE("input that is in the socket can be read before the loop processes it", "[F7]") {
  // Failure guarded against: the loop reads 4 KB of a connection per iteration, so a call was
  // started while its cancellation was still in the socket behind it.
  event_loop loop;
  std::shared_ptr<peer_link> receiver;
  std::size_t received = 0;
  bool closed = false;
  const peer_link::handlers receiver_handlers{
      [](peer_link&) {}, [&](peer_link&, const wire::envelope&) { ++received; },
      [&](peer_link&, const std::string&) { closed = true; }};
  tcp_listener listener(loop, {"127.0.0.1", 0}, [&](std::intptr_t descriptor) {
    receiver = peer_link::accept(loop, descriptor, receiver_handlers);
  });
  bool opened = false;
  const std::shared_ptr<peer_link> sender = peer_link::connect(
      loop, {"127.0.0.1", listener.port()}, std::chrono::seconds(3),
      {[&](peer_link&) { opened = true; }, [](peer_link&, const wire::envelope&) {},
       [](peer_link&, const auto&) {}});
  const auto run_until = [&](const auto& condition) {
    for (int iteration = 0; iteration < 1'000 && !condition(); ++iteration) {
      loop.run_once();
    }
    return condition();
  };
  REQUIRE(run_until([&] { return opened && receiver != nullptr && receiver->is_open(); }));

  SECTION("several messages are read at once") {
    for (wire::request_id id = 1; id <= 4; ++id) {
      REQUIRE(sender->send(large_call(id)));
    }
    receiver->read_pending();
    CHECK(received == 4);
  }
  SECTION("the end of the connection behind a message is detected") {
    REQUIRE(sender->send(large_call(1)));
    sender->close("test");
    REQUIRE(run_until([&] { return !sender->is_open(); }));
    receiver->read_pending();
    CHECK(run_until([&] { return closed; }));
    CHECK(received == 1);
  }
  SECTION("a link with nothing to read stays open") {
    receiver->read_pending();
    CHECK(receiver->is_open());
  }
  sender->close("end of the test");
  run_until([&] { return closed; });
}

TEST_CASE("messages that a peer has sent are delivered although writing to it fails", "[P4][P8]") {
  // Failure guarded against: a write to a process that had ended closed the link before its last
  // response, which was already in the socket, was read.
  event_loop receiver_loop;
  event_loop sender_loop;
  // Wakes the loops, so that neither waits for the other without end.
  const timer_handle receiver_tick = receiver_loop.every(std::chrono::milliseconds(1), [] {});
  const timer_handle sender_tick = sender_loop.every(std::chrono::milliseconds(1), [] {});
  std::shared_ptr<peer_link> receiver;
  std::size_t received = 0;
  bool receiver_closed = false;
  bool sender_closed = false;
  tcp_listener listener(receiver_loop, {"127.0.0.1", 0}, [&](std::intptr_t descriptor) {
    receiver = peer_link::accept(
        receiver_loop, descriptor,
        {[](peer_link&) {}, [&](peer_link&, const wire::envelope&) { ++received; },
         [&](peer_link&, const std::string&) { receiver_closed = true; }});
  });
  const std::shared_ptr<peer_link> sender =
      peer_link::connect(sender_loop, {"127.0.0.1", listener.port()}, std::chrono::seconds(3),
                         {[](peer_link&) {}, [](peer_link&, const wire::envelope&) {},
                          [&](peer_link&, const auto&) { sender_closed = true; }});
  const auto run_until = [](const auto& condition, const std::vector<event_loop*>& loops) {
    for (int iteration = 0; iteration < 1'000 && !condition(); ++iteration) {
      for (event_loop* loop : loops) {
        loop->run_once();
      }
    }
    return condition();
  };
  REQUIRE(run_until([&] { return sender->is_open() && receiver != nullptr && receiver->is_open(); },
                    {&sender_loop, &receiver_loop}));

  // The sender ends with unread input, so its kernel resets the connection.
  REQUIRE(receiver->send(large_call(1)));
  REQUIRE(sender->send(large_call(2)));
  sender->close("end of the process");
  REQUIRE(run_until([&] { return sender_closed; }, {&sender_loop}));
  static_cast<void>(receiver->send(large_call(3)));
  static_cast<void>(receiver->send(large_call(4)));
  CHECK(run_until([&] { return receiver_closed; }, {&receiver_loop}));
  CHECK(received == 1);
}

}  // namespace crocusdoor
