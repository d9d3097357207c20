#include "core/record_codec.h"

#include <catch2/catch.hpp>

#include "configuration/snapshot.h"

namespace crocusdoor {

namespace {

json valid_service() {
  return json::parse(R"({"name": "statements", "slots_per_upstream": 12,
    "decision": {"decided_by": "board", "decided_on": "2011-03-02", "reason": "ordinary reads"}})");
}

}  // namespace

TEST_CASE("a document with several faults names each of them with its place", "[F12]") {
  json document = valid_service();

  SECTION("a valid document decodes without faults") {
    record_decoder decoder(unknown_keys::refused);
    service one;
    decoder.decode(document, one);
    CHECK(decoder.ok());
    CHECK(one.slots_per_upstream == 12);

    SECTION("and survives encoding") {
      record_decoder again(unknown_keys::refused);
      service copy;
      again.decode(encode_value(one), copy);
      CHECK(copy == one);
    }
  }

  SECTION("an unknown key, a number out of range and a wrong type are reported together") {
    document["slots_per_upstream"] = 0;
    document["slot"] = 3;
    document["ramp_ms"] = "soon";
    record_decoder decoder(unknown_keys::refused);
    service one;
    decoder.decode(document, one);
    REQUIRE(decoder.problems().size() == 3);
    CHECK(decoder.problems()[0].path == "/slots_per_upstream");
    CHECK(decoder.problems()[0].message == "value 0 is outside 1 to 10000");
    CHECK(decoder.problems()[1].path == "/ramp_ms");
    CHECK(decoder.problems()[2].path == "/slot");
  }

  SECTION("a message of a newer peer may carry further keys") {
    document["added_later"] = true;
    record_decoder decoder(unknown_keys::ignored);
    service one;
    decoder.decode(document, one);
    CHECK(decoder.ok());
  }
}

}  // namespace crocusdoor
