#include <catch2/catch.hpp>

#include "configuration/snapshot_diff.h"
#include "configuration_fixtures.h"
#include "wire/message_codec.h"

namespace crocusdoor {

namespace {

constexpr int inputs_per_case = 20'000;

/// Returns a text with one to four random faults: bytes changed, inserted, removed or repeated, or
/// a part of the text copied to another position.
std::string damaged(std::string text, random_source& random) {
  for (std::size_t edits = 1 + random.index(4); edits > 0 && !text.empty(); --edits) {
    const std::size_t position = random.index(text.size());
    const std::size_t length = 1 + random.index(std::min<std::size_t>(text.size() - position, 40));
    switch (random.index(5)) {
      case 0:
        text[position] = static_cast<char>(random.index(256));
        break;
      case 1:
        text.insert(position, 1, "{}[],:\"/*0-\\\n"[random.index(13)]);
        break;
      case 2:
        text.erase(position, length);
        break;
      case 3:
        text.insert(position, text.substr(position, length));
        break;
      default:
        text.insert(position, text.substr(random.index(text.size()), length));
        break;
    }
  }
  return text;
}

intent_document sample_intents() {
  service changed = make_service("advances", 9);
  return {"ines",
          "second version",
          {{.put_service = changed},
           {.put_route = make_route("advances-v2", "/advances/v2", "advances")},
           {.put_action = make_action("advance", "/advances", "advances")},
           {.remove_route = route_name("advances-v1")}}};
}

/// Calls `read` with damaged copies of `text` and returns how many were accepted. Checks that each
/// refusal has a message that can be encoded as JSON.
template <typename Read>
int count_accepted(const std::string& text, std::uint64_t seed, const Read& read) {
  random_source random(seed);
  int accepted = 0;
  for (int i = 0; i < inputs_per_case; ++i) {
    const std::string input = damaged(text, random);
    const failure outcome = failure_of([&] { return read(input); });
    if (outcome.code == error_code::unavailable) {
      ++accepted;
    } else {
      REQUIRE_FALSE(outcome.message.empty());
      REQUIRE_NOTHROW(json(outcome.message).dump());
    }
  }
  return accepted;
}

}  // namespace

TEST_CASE("damaged intents and plans are refused or read as a whole", "[P3][F12]") {
  const intent_document intents = sample_intents();
  const head_document head = make_head(advances_snapshot(5));
  const auto parse = [&](const std::string& text) -> leaf::result<void> {
    BOOST_LEAF_AUTO(document, parse_intents(text));
    REQUIRE(validate(document).empty());
    return {};
  };
  const int accepted = count_accepted(encode_value(intents).dump(1), 41, parse);
  CHECK(accepted > 0);
  CHECK(accepted < inputs_per_case / 2);

  const plan new_plan = make_plan(head, intents, "plan", {}).value();
  int confirmed = 0;
  count_accepted(encode_value(new_plan).dump(1), 42,
                 [&](const std::string& text) -> leaf::result<void> {
                   BOOST_LEAF_AUTO(parsed, parse_plan(text));
                   BOOST_LEAF_AUTO(decided, confirm_plan(head, parsed, "nonce", wall_time{}));
                   if (decided.outcome == confirmation_outcome::advance) {
                     // Texts for operators may be damaged, but the effect is that of the plan.
                     REQUIRE(decided.next.content_digest == new_plan.effect_digest);
                     ++confirmed;
                   }
                   return {};
                 });
  CHECK(confirmed > 0);
}

TEST_CASE("damaged heads are refused or read as a whole", "[P3][F12]") {
  const head_document base = make_head(advances_snapshot(5));
  const plan new_plan = make_plan(base, sample_intents(), "plan", {}).value();
  const head_document head = confirm_plan(base, new_plan, "nonce", wall_time{}).value().next;
  configuration_holder holder;
  count_accepted(encode_head(head), 43, [&](const std::string& text) -> leaf::result<void> {
    BOOST_LEAF_AUTO(parsed, parse_head(text));
    REQUIRE(parsed.content == head.content);
    holder.offer(parsed.content, parsed.content_digest);
    return {};
  });
  CHECK(*holder.current() == head.content);
}

TEST_CASE("damaged deltas and snapshots of a peer are never adopted in part", "[P3][F12]") {
  const snapshot base = advances_snapshot(5);
  const snapshot next = apply_intents(base, sample_intents()).value();
  const wire::message messages[] = {
      delta_between(base, next, digest_of(next)),
      wire::configuration_snapshot{next, digest_of(next)},
  };
  for (const wire::message& message : messages) {
    configuration_holder holder;
    REQUIRE(offer_whole(holder, base) == adoption::adopted);
    const snapshot_pointer before = holder.current();
    int adopted = 0;
    const auto receive = [&](const std::string& bytes) -> leaf::result<void> {
      BOOST_LEAF_AUTO(envelope, wire::decode(bytes));
      configuration_holder copy = holder;
      if (const auto* delta = std::get_if<configuration_delta>(&envelope.content)) {
        copy.offer(*delta);
      } else if (const auto* whole = std::get_if<wire::configuration_snapshot>(&envelope.content)) {
        copy.offer(whole->content, whole->content_digest);
      }
      REQUIRE((copy.current() == before || *copy.current() == next));
      adopted += copy.current() == before ? 0 : 1;
      return {};
    };
    count_accepted(wire::encode({5, message}), 44, receive);
    CHECK(adopted > 0);
  }
}

}  // namespace crocusdoor
