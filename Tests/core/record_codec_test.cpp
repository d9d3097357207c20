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

TEST_CASE("each error in a document is reported with its location", "[F12]") {
  json document = valid_service();

  SECTION("a valid document decodes without errors") {
    record_decoder decoder(unknown_keys::refused);
    service decoded;
    decoder.decode(document, decoded);
    CHECK(decoder.ok());
    CHECK(decoded.slots_per_upstream == 12);

    SECTION("encoding and decoding it again gives the same value") {
      record_decoder second_decoder(unknown_keys::refused);
      service copy;
      second_decoder.decode(encode_value(decoded), copy);
      CHECK(copy == decoded);
    }
  }

  SECTION("an unknown key, a number out of range and a wrong type are reported together") {
    document["slots_per_upstream"] = 0;
    document["slot"] = 3;
    document["ramp_ms"] = "soon";
    record_decoder decoder(unknown_keys::refused);
    service decoded;
    decoder.decode(document, decoded);
    REQUIRE(decoder.problems().size() == 3);
    CHECK(decoder.problems()[0].path == "/slots_per_upstream");
    CHECK(decoder.problems()[0].message == "value 0 is outside 1 to 10000");
    CHECK(decoder.problems()[1].path == "/ramp_ms");
    CHECK(decoder.problems()[2].path == "/slot");
  }

  SECTION("unknown keys of a newer peer are ignored") {
    document["added_later"] = true;
    record_decoder decoder(unknown_keys::ignored);
    service decoded;
    decoder.decode(document, decoded);
    CHECK(decoder.ok());
  }
}

}  // namespace crocusdoor
