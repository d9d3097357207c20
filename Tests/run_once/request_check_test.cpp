#include <catch2/catch.hpp>

#include "run_once/claim_check.h"
#include "run_once/idempotency_key_extractor.h"

namespace crocusdoor::testing {

namespace {

run_once_action action_with(key_location location, const std::string& name) {
  run_once_action action;
  action.name = action_name("payout");
  action.key_in = location;
  action.key_name = name;
  return action;
}

}  // namespace

// Guards against a run-once request that is executed under a wrong idempotency key or without one.
TEST_CASE("the idempotency key is read from the action's location, or the error names the location",
          "[P6][F12]") {
  struct request {
    key_location location;
    const char* name;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string expected;  // Key, or part of the error message.
    std::optional<error_code> error;
  };
  const auto row = GENERATE(values<request>({
      {key_location::header, "Idempotency-Key", "/", {{"idempotency-key", "a"}}, "", "a", {}},
      {key_location::header, "Key", "/", {}, "", "header \"Key\"", error_code::not_found},
      {key_location::header, "Key", "/", {{"key", ""}}, "", "empty", error_code::not_found},
      {key_location::header,
       "Key",
       "/",
       {{"key", std::string(256, 'k')}},
       "",
       std::string(256, 'k'),
       {}},
      {key_location::header,
       "Key",
       "/",
       {{"key", std::string(257, 'k')}},
       "",
       "257 bytes",
       error_code::over_limit},
      {key_location::path_segment, "1", "/payouts/7?x=/9", {}, "", "7", {}},
      {key_location::path_segment, "0", "/payouts", {}, "", "payouts", {}},
      {key_location::path_segment,
       "2",
       "/payouts/7",
       {},
       "",
       "path segment 2",
       error_code::not_found},
      {key_location::path_segment, "1", "/payouts//7", {}, "", "empty", error_code::not_found},
      {key_location::path_segment, "one", "/payouts/7", {}, "", "from 0", error_code::invalid},
      {key_location::body_field, "id", "/", {}, R"({"id": "a"})", "a", {}},
      {key_location::body_field, "id", "/", {}, R"({"id": 12})", "12", {}},
      {key_location::body_field, "id", "/", {}, R"({"id": [1]})", "array", error_code::malformed},
      {key_location::body_field,
       "id",
       "/",
       {},
       R"({"in": {"id": 1}})",
       "body field \"id\"",
       error_code::not_found},
      {key_location::body_field, "id", "/", {}, "{", "not a JSON object", error_code::malformed},
  }));
  INFO(row.name << " in " << row.path << row.body);
  std::optional<error_code> error;
  const std::string found = handle_failure(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(key, extract_key(action_with(row.location, row.name), "POST", row.path,
                                         row.headers, row.body));
        return key.str();
      },
      [&](const failure& failed) {
        error = failed.code;
        return failed.message;
      });
  CHECK(error == row.error);
  CHECK_THAT(found, Catch::Contains(row.expected));
  CHECK((row.error.has_value() || found == row.expected));
}

// Guards against execution without a claim, after its expiry, or under the claim of another
// operation or body.
TEST_CASE("the daemon beside the target checks the claim", "[P5][P6]") {
  const run_once_action action = action_with(key_location::header, "Key");
  const operation_key operation{action.name, idempotency_key("a")};
  const claim held{claim_id("c"), operation, digest_of("body"), 3, 1000};
  claim other = held;
  other.operation.key = idempotency_key("b");
  const auto [claimed, body, wall_ms, expected] =
      GENERATE_COPY(table<std::optional<claim>, std::string, int, claim_verdict>({
          {held, "body", 999, claim_verdict::allowed},
          {std::nullopt, "body", 999, claim_verdict::missing},
          {held, "body", 1000, claim_verdict::expired},
          {other, "body", 999, claim_verdict::other_operation},
          {held, "changed", 999, claim_verdict::other_body},
      }));
  const auto check = check_claim(&action, claimed, operation, digest_of(body),
                                 wall_time(std::chrono::milliseconds(wall_ms)));
  CHECK(check.result == expected);
  CHECK(check.reason.empty() == check.allowed());
  CHECK(check_claim(nullptr, std::nullopt, {}, {}, {}).allowed());
}

}  // namespace crocusdoor::testing
