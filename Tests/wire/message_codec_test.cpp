#include "wire/message_codec.h"

#include <catch2/catch.hpp>

#include "core/record_codec.h"

namespace crocusdoor::wire {

namespace {

envelope sample_call() {
  call request;
  request.id = 7;
  request.service = service_name("advances");
  request.method = "POST";
  request.path = "/advances";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = {std::string("\0\xff body", 7)};
  request.deadline_left_ms = std::chrono::milliseconds(1500);
  return {3, request};
}

failure decode_failure(std::string_view bytes) {
  return handle_failure(
      [&]() -> leaf::result<failure> {
        BOOST_LEAF_CHECK(decode(bytes));
        return failure{error_code::not_found, "decoded"};
      },
      [](const failure& error) { return error; });
}

}  // namespace

TEST_CASE("a message is unchanged after encoding and decoding", "[P4]") {
  const envelope sent = sample_call();
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(received, decode(encode(sent)));
        CHECK(received == sent);
        return {};
      },
      [](const failure& error) { FAIL(error.message); });
}

TEST_CASE("a message for several links is unchanged after encoding and decoding", "[P4][F12]") {
  // Guards against encoding a configuration shared for each peer, which blocked the event loop of a
  // small instance for more than half a second.
  call large = std::get<call>(sample_call().content);
  large.body = {std::string(20'000, 'a') + std::string(1'000, '\xff')};
  const auto decode_or_fail = [](const std::string& bytes) {
    return handle_failure([&]() -> leaf::result<envelope> { return decode(bytes); },
                          [](const failure& error) {
                            FAIL(error.message);
                            return envelope{};
                          });
  };

  SECTION("the time of sending is encoded, and an implausible one is ignored") {
    const shared_message shared(large);
    const std::chrono::microseconds sent_at(1'234'567);
    CHECK(decode_or_fail(encode(3, shared, true, sent_at)) == envelope{3, large, sent_at});
    CHECK(decode_or_fail(encode({3, large, sent_at})) == envelope{3, large, sent_at});
    json document = json::from_cbor(encode({3, large, sent_at}));
    for (const json& wrong : {json(-5), json("text"), json(std::int64_t{1} << 60)}) {
      document["sent_at_us"] = wrong;
      std::string bytes;
      json::to_cbor(document, bytes);
      CHECK(decode_or_fail(bytes).sent_at.count() == 0);
    }
  }
  SECTION("a small message is not deflated") {
    const shared_message small(sample_call().content);
    CHECK(encode(3, small, true) == encode(3, small, false));
    CHECK(decode_or_fail(encode(3, small, true)) == sample_call());
  }
  SECTION("a large message is deflated for peers that can inflate it") {
    const shared_message shared(large);
    CHECK(decode_or_fail(encode(3, shared, true)) == envelope{3, large});
    CHECK(decode_or_fail(encode(4, shared, false)) == envelope{4, large});
    CHECK(encode(3, shared, true).size() < encode(3, shared, false).size() / 10);
  }
  SECTION("a truncated message or one with wrong deflate fields is refused") {
    const std::string encoded = encode(3, shared_message(large), true);
    for (std::size_t length = 0; length < encoded.size(); ++length) {
      CHECK(decode_failure(std::string_view(encoded).substr(0, length)).code ==
            error_code::malformed);
    }
    json document = json::from_cbor(encoded);
    const auto failure_of = [](const json& changed) {
      std::string bytes;
      json::to_cbor(changed, bytes);
      return decode_failure(bytes).code;
    };
    json changed = document;
    changed["body_bytes"] = document["body_bytes"].get<std::size_t>() + 1;
    CHECK(failure_of(changed) == error_code::malformed);
    changed["body_bytes"] = message_size_limit_bytes + 1;
    CHECK(failure_of(changed) == error_code::over_limit);
    changed["body_bytes"] = -1;
    CHECK(failure_of(changed) == error_code::malformed);
    changed = document;
    changed["deflated_body"] = "text";
    CHECK(failure_of(changed) == error_code::malformed);
  }
}

TEST_CASE("bytes that are not a valid message are refused with a reason", "[F12]") {
  const std::string encoded = encode(sample_call());

  SECTION("a truncated message, at every length") {
    for (std::size_t length = 0; length < encoded.size(); ++length) {
      CHECK(decode_failure(std::string_view(encoded).substr(0, length)).code ==
            error_code::malformed);
    }
  }

  SECTION("another protocol version, an unknown kind, and a field of the wrong type") {
    json document = json::from_cbor(encoded);
    const auto failure_of = [](const json& changed) {
      std::string bytes;
      json::to_cbor(changed, bytes);
      return decode_failure(bytes);
    };
    json other = document;
    other["protocol"] = 2;
    CHECK(failure_of(other).code == error_code::invalid);
    other = document;
    other["kind"] = "shout";
    CHECK(failure_of(other).code == error_code::invalid);
    other = document;
    other["body"]["id"] = -1;
    CHECK(failure_of(other).message == "call/id: value -1 is outside 0 to 9223372036854775807");
  }

  SECTION("nested arrays that would overflow the stack of a recursive decoder") {
    CHECK(decode_failure(std::string(message_size_limit_bytes - 1, '\x81')).code ==
          error_code::malformed);
  }

  SECTION("a text that is not UTF-8 is refused with a reason that can be sent as JSON") {
    json document = json::from_cbor(encoded);
    document["kind"] = "\xC3(";
    std::string bytes;
    json::to_cbor(document, bytes);
    CHECK(decode_failure(bytes).message == "message of unknown kind \"?(\"");
  }

  SECTION("a message above the size limit") {
    CHECK(decode_failure(std::string(message_size_limit_bytes + 1, 'x')).code ==
          error_code::over_limit);
  }
}

}  // namespace crocusdoor::wire
