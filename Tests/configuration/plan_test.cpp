#include "configuration/plan.h"

#include <catch2/catch.hpp>

#include "configuration/decision_history.h"
#include "configuration_fixtures.h"

namespace crocusdoor {

namespace {

const wall_time noon{std::chrono::milliseconds(1'790'000'000'000)};

const std::vector<affected_instance> two_domains = {
    {instance_name("a"), failure_domain("north")},
    {instance_name("b"), failure_domain("north")},
    {instance_name("c"), failure_domain("south")},
};

intent_document new_route_document(const std::string& operator_name = "ines") {
  return {operator_name,
          "second version of advances",
          {{.put_route = make_route("advances-v2", "/advances/v2", "advances")}}};
}

plan plan_for(const head_document& head, const intent_document& document, const std::string& id) {
  return make_plan(head, document, id, two_domains).value();
}

confirmation confirm(const head_document& head, const plan& new_plan, const std::string& nonce) {
  return confirm_plan(head, new_plan, nonce, noon).value();
}

/// Stand-in for the platform object: a write succeeds only if the head has not changed since the
/// read.
class head_object {
 public:
  explicit head_object(head_document head) : head_(std::move(head)) {}
  [[nodiscard]] const head_document& read() const { return head_; }
  bool write_if(const digest& read_digest, const head_document& next) {
    const bool unchanged = head_.content_digest == read_digest;
    if (unchanged) {
      head_ = next;
    }
    return unchanged;
  }

 private:
  head_document head_;
};

}  // namespace

TEST_CASE("a plan lists the changes and the affected instances, and has no effect", "[P10]") {
  const head_document head = make_head(advances_snapshot(5));
  const head_document before = head;
  intent_document document = new_route_document();
  document.intents.push_back({.put_service = make_service("advances", 9)});
  document.intents.push_back({.remove_action = action_name("advance")});
  const plan new_plan = plan_for(head, document, "plan-1");

  CHECK(head == before);
  CHECK(new_plan.base_version == 5);
  CHECK(new_plan.base_digest == head.content_digest);
  CHECK(new_plan.sentences ==
        std::vector<std::string>{
            "Service advances will give each upstream 9 slots and 100 connections (changed: "
            "slots_per_upstream from 5 to 9)",
            "Route advances-v2 will send /advances/v2 to service advances (new)",
            "Action advance will be removed; POST /advances of service advances will no longer be "
            "protected from repeats"});
  REQUIRE(new_plan.changes.size() == 3);
  CHECK(new_plan.changes[1].change == change_kind::added);
  CHECK(new_plan.changes[1].before.is_null());
  CHECK(new_plan.changes[1].after["path_prefix"] == "/advances/v2");
  CHECK(new_plan.changes[2].before["key_name"] == "Idempotency-Key");
  CHECK(new_plan.where == std::map<failure_domain, std::uint64_t>{{failure_domain("north"), 2},
                                                                  {failure_domain("south"), 1}});

  SECTION("it is the same after encoding and parsing") {
    CHECK(parse_plan(encode_value(new_plan).dump(2)).value() == new_plan);
  }

  SECTION("the paths of a removed route go to the route with the next shorter prefix") {
    const head_document next = confirm(head, new_plan, "nonce").next;
    const intent_document removal{"ines", "back", {{.remove_route = route_name("advances-v2")}}};
    CHECK(plan_for(next, removal, "plan-2").sentences ==
          std::vector<std::string>{"Route advances-v2 will be removed; /advances/v2 will go to "
                                   "service advances by route advances-v1"});
  }

  SECTION("a plan that was altered after it was made is refused") {
    plan altered = new_plan;
    altered.document.intents[1].put_service->slots_per_upstream = 90;
    CHECK(failure_of([&] { return confirm_plan(head, altered, "nonce", noon); }).code ==
          error_code::invalid);
  }
}

TEST_CASE("a service that is used by routes or actions cannot be removed", "[P2]") {
  const head_document head = make_head(advances_snapshot(5));
  intent_document document{"ines", "closing", {{.remove_service = service_name("advances")}}};

  SECTION("the refusal names its users") {
    const failure refused = failure_of([&] { return make_plan(head, document, "p", {}); });
    CHECK(refused.code == error_code::invalid);
    CHECK_THAT(refused.message, Catch::Contains("/intents/0/remove_service") &&
                                    Catch::Contains("route advances-v1, action advance"));
  }

  SECTION("it can be removed together with its users, in any order") {
    document.intents.push_back({.remove_route = route_name("advances-v1")});
    document.intents.push_back({.remove_action = action_name("advance")});
    CHECK(plan_for(head, document, "p").sentences.size() == 3);
  }

  SECTION("other faults are named as well") {
    document.intents = {{.put_route = make_route("a", "/advances", "missing")},
                        {.remove_action = action_name("unknown")}};
    CHECK_THAT(failure_of([&] { return make_plan(head, document, "p", {}); }).message,
               Catch::Contains("/intents/1/remove_action: action \"unknown\" does not exist"));
    document.intents.pop_back();
    CHECK_THAT(failure_of([&] { return make_plan(head, document, "p", {}); }).message,
               Catch::Contains("service \"missing\" does not exist") &&
                   Catch::Contains("is used by route \"a\" already"));
  }

  SECTION("intents that change nothing are refused") {
    document.intents = {{.put_service = make_service("advances", 5)}};
    CHECK(failure_of([&] { return make_plan(head, document, "p", {}); }).message ==
          "the intents change nothing");
  }
}

TEST_CASE("a confirmation whose response was lost is recognised when it is repeated", "[P10][F2]") {
  head_object platform(make_head(advances_snapshot(5)));
  const head_document read = platform.read();
  const plan new_plan = plan_for(read, new_route_document(), "plan-1");
  const confirmation first = confirm(read, new_plan, "nonce-1");
  REQUIRE(first.outcome == confirmation_outcome::advance);
  REQUIRE(platform.write_if(read.content_digest, first.next));  // The response is lost here.

  SECTION("the writer recognises its write by the nonce") {
    CHECK(platform.read().writer_nonce == "nonce-1");
  }

  SECTION("the repeated confirmation succeeds without a second change") {
    const confirmation again = confirm(platform.read(), new_plan, "nonce-2");
    CHECK(again.outcome == confirmation_outcome::already_confirmed);
    CHECK(again.version == 6);
  }

  SECTION("it is recognised after changes of other operators, up to 64 changes") {
    for (std::size_t i = 0; i < head_change_limit; ++i) {
      const head_document head = platform.read();
      const intent_document other{
          "joana",
          "slots",
          {{.put_service = make_service("advances", static_cast<std::int32_t>(100 + i))}}};
      const std::string id = "other-" + std::to_string(i);
      CHECK(confirm(head, new_plan, "nonce").outcome == confirmation_outcome::already_confirmed);
      platform.write_if(head.content_digest, confirm(head, plan_for(head, other, id), id).next);
    }
    const confirmation dropped = confirm(platform.read(), new_plan, "nonce");
    CHECK(dropped.outcome == confirmation_outcome::conflict);
    CHECK_THAT(dropped.message, Catch::Contains("may be among them"));
    CHECK(dropped.changed_since.size() == head_change_limit);
    CHECK(validate(platform.read()).empty());
  }

  SECTION("another plan under the same identifier is a conflict") {
    const plan other = plan_for(platform.read(),
                                {"joana", "r", {{.put_service = make_service("other")}}}, "plan-1");
    CHECK(confirm(platform.read(), other, "nonce").outcome == confirmation_outcome::conflict);
  }
}

TEST_CASE("of two concurrent confirmations one succeeds and the other reports the conflict",
          "[P10][F5]") {
  head_object platform(make_head(advances_snapshot(5)));
  const head_document read = platform.read();
  const plan ines_plan = plan_for(read, new_route_document("ines"), "plan-ines");
  const plan joana_plan = plan_for(
      read, {"joana", "more slots", {{.put_service = make_service("advances", 14)}}}, "plan-joana");
  const confirmation ines = confirm(read, ines_plan, "nonce-ines");
  const confirmation joana = confirm(read, joana_plan, "nonce-joana");
  CHECK(platform.write_if(read.content_digest, joana.next));
  CHECK_FALSE(platform.write_if(read.content_digest, ines.next));

  const confirmation refused = confirm(platform.read(), ines_plan, "nonce-ines-2");
  CHECK(refused.outcome == confirmation_outcome::conflict);
  CHECK(refused.message ==
        "the plan was made against version 5, the configuration is at version 6");
  REQUIRE(refused.changed_since.size() == 1);
  CHECK(refused.changed_since[0].operator_name == "joana");
  CHECK_THAT(refused.changed_since[0].sentences.at(0), Catch::Contains("from 5 to 14"));
  CHECK(platform.read().content.version == 6);
  CHECK_FALSE(platform.read().content.routes.contains(route_name("advances-v2")));

  SECTION("a plan against the same version with another content is refused too") {
    const head_document replaced = make_head(make_snapshot(5, {make_service("advances")}, {}));
    CHECK(confirm(replaced, ines_plan, "nonce").outcome == confirmation_outcome::conflict);
  }
}

TEST_CASE("the decision history has the current decision and the changes of each resource",
          "[P10]") {
  head_document head = make_head(advances_snapshot(5));
  service later = make_service("advances", 9);
  later.decision = {"assembly", "2026-11-30", "fewer slots after the slowdown"};
  for (const auto& [id, request] : std::vector<std::pair<std::string, intent>>{
           {"plan-1", {.put_service = later}},
           {"plan-2", {.remove_route = route_name("advances-v1")}}}) {
    head = confirm(head, plan_for(head, {"ines", "reason of " + id, {request}}, id), id).next;
  }
  const std::vector<decision_entry> entries = decision_history(head);
  REQUIRE(entries.size() == 3);
  CHECK(entries[0].standing == later.decision);
  REQUIRE(entries[0].changes.size() == 1);
  CHECK(entries[0].changes[0].reason == "reason of plan-1");
  CHECK(entries[0].changes[0].confirmed_at_ms == noon.time_since_epoch().count());
  CHECK(entries[1].name == "advances-v1");
  CHECK_FALSE(entries[1].standing.has_value());
  CHECK(entries[1].changes.at(0).change == change_kind::removed);
  CHECK(entries[2].standing == board_decision);
}

}  // namespace crocusdoor
