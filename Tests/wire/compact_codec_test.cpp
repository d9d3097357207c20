#include "wire/compact_codec.h"

#include <catch2/catch.hpp>

#include "wire/message_codec.h"

namespace crocusdoor::wire {

namespace {

const std::vector<std::string> header_names = {"X-Attempt", "X-Deadline"};

call sample_call(std::size_t body_bytes) {
  call request;
  request.id = 81'234'567'890'123;
  request.sender_incarnation = 1'789'725'896'020;
  request.service = service_name("advances");
  request.method = "PUT";
  request.path = "/advances/4711";
  request.headers = {{"X-Attempt", "9c41d07be2a35f68"}, {"X-Deadline", "1200"}};
  request.body.bytes = std::string(body_bytes, '\xfe');
  request.deadline_left_ms = std::chrono::milliseconds(1'180);
  request.work_class = "advances";
  return request;
}

heartbeat sample_heartbeat() {
  heartbeat beat;
  beat.sequence = 815;
  beat.load = load_report{9, 7, 2, 231'400, 0, {0, 120, 260, 260}};
  return beat;
}

/// Decodes bytes that must be a message.
envelope decoded(const compact_codec& codec, std::string_view bytes) {
  return handle_failure([&]() -> leaf::result<envelope> { return codec.decode(bytes); },
                        [](const failure& error) {
                          FAIL(error.message);
                          return envelope{};
                        });
}

std::optional<error_code> decode_error(const compact_codec& codec, std::string_view bytes) {
  return handle_failure(
      [&]() -> leaf::result<std::optional<error_code>> {
        BOOST_LEAF_CHECK(codec.decode(bytes));
        return std::nullopt;
      },
      [](const failure& error) { return std::optional(error.code); });
}

}  // namespace

TEST_CASE("a compact message is unchanged after encoding and decoding", "[P4]") {
  const compact_codec codec(header_names);

  SECTION("with bodies of any size") {
    for (const std::size_t body_bytes : {0U, 1U, 300U, 15'000U, 20'000U, 1'000'000U}) {
      const envelope sent{7, sample_call(body_bytes), std::chrono::microseconds(1'234'567)};
      CHECK(decoded(codec, codec.encode(sent)) == sent);
    }
  }
  SECTION("a message for several links") {
    const shared_message shared(sample_heartbeat());
    const std::chrono::microseconds sent_at(77);
    CHECK(decoded(codec, codec.encode(9, shared, sent_at)) ==
          envelope{9, sample_heartbeat(), sent_at});
  }
  SECTION("one message does not affect the next one") {
    const envelope first{1, sample_call(500)};
    const envelope second{2, sample_heartbeat()};
    const std::string encoded_alone = compact_codec(header_names).encode(second);
    CHECK(decoded(codec, codec.encode(first)) == first);
    CHECK(codec.encode(second) == encoded_alone);
    CHECK(decoded(codec, encoded_alone) == second);
  }
  SECTION("an implausible time of sending counts as unknown") {
    const envelope sent{1, sample_heartbeat(), std::chrono::microseconds(std::int64_t{1} << 60)};
    CHECK(decoded(codec, codec.encode(sent)).sent_at.count() == 0);
  }
}

TEST_CASE("field names do not dominate the traffic between failure domains", "[M2]") {
  // Failure guarded against: a call without a body took more than 400 bytes and a heartbeat more
  // than 160, nearly all of them names that are the same in each message.
  const compact_codec codec(header_names);
  const auto ratio = [&](const envelope& sent) {
    return static_cast<double>(codec.encode(sent).size()) /
           static_cast<double>(encode(sent).size());
  };
  const std::chrono::microseconds sent_at(3'600'000'000);
  CHECK(ratio({7, sample_call(0), sent_at}) < 0.5);
  CHECK(ratio({7, sample_heartbeat(), sent_at}) < 0.5);
}

TEST_CASE("daemons with different dictionaries are told apart", "[P4]") {
  // Failure guarded against: a message that is inflated with another dictionary has other content.
  const compact_codec codec(header_names);
  CHECK(codec.dictionary_id() != 0);
  CHECK(codec.dictionary_id() == compact_codec(header_names).dictionary_id());
  CHECK(codec.dictionary_id() != compact_codec({"X-Other"}).dictionary_id());
}

TEST_CASE("bytes that are not a valid compact message are refused", "[F12]") {
  const compact_codec codec(header_names);
  const std::string valid = codec.encode({7, sample_call(40)});

  CHECK(compact_codec::is_compact(valid));
  CHECK_FALSE(compact_codec::is_compact(encode({7, sample_call(40)})));
  CHECK_FALSE(compact_codec::is_compact(""));

  SECTION("any part of a message") {
    for (std::size_t size = 0; size < valid.size(); ++size) {
      CHECK(decode_error(codec, valid.substr(0, size)).has_value());
    }
  }
  SECTION("a message with bytes behind it") {
    CHECK(decode_error(codec, valid + "x") == error_code::malformed);
  }
  SECTION("an unknown kind") {
    std::string bytes = valid;
    bytes[1] = '\x7f';
    CHECK(decode_error(codec, bytes) == error_code::invalid);
  }
  SECTION("a body that is announced as too large") {
    CHECK(decode_error(codec, std::string("\x01\x08\x07\x00\xff\xff\xff\x7f", 8)) ==
          error_code::over_limit);
  }
  SECTION("numbers without an end") {
    CHECK(decode_error(codec, "\x01\x08" + std::string(40, '\xff')) == error_code::malformed);
  }
}

}  // namespace crocusdoor::wire
