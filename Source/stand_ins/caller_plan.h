#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/enum_names.h"
#include "core/record_codec.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor::stand_ins {

/// Result of one request of a caller, over all its attempts.
enum class call_result {
  answered,      ///< The response of a target to this request arrived.
  wrong_answer,  ///< A response arrived that belongs to another request or is incomplete.
  rejected,      ///< Any other response, for example 404.
  not_run,       ///< Refused with the statement that the request has not run.
  may_have_run,  ///< The outcome is unknown.
};

/// One kind of request of a plan. In path and body, "{n}" stands for the number of the request.
struct planned_request {
  std::int32_t weight = 1;  ///< Share of this kind among all requests.
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::map<std::string, std::string> headers;
  std::string idempotency_key;  ///< Sent as Idempotency-Key if not empty, for example "payout-{n}".
};

/// Requests that a caller sends, and how it sends them.
struct caller_plan {
  std::vector<ip_endpoint> daemons;  ///< Caller ports, used in rotation.
  std::uint64_t requests = 1;
  std::int32_t concurrency = 1;  ///< Requests in flight at the same time.
  std::chrono::milliseconds timeout_ms{10'000};
  std::int32_t attempts = 1;           ///< Maximum sends of a request, each to the next daemon.
  std::vector<call_result> resend_on;  ///< Results after which a request is sent again.
  std::chrono::milliseconds resend_pause_ms{0};
  bool send_twice = false;  ///< Send each request to two daemons at the same time.
  std::uint64_t first_number = 1;
  std::uint64_t seed = 1;
  std::vector<planned_request> mix;
};

/// One request in which "{n}" is replaced by its number.
struct prepared_request {
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Builds the request with the given number.
[[nodiscard]] prepared_request prepare(const planned_request& kind, std::uint64_t number);

}  // namespace crocusdoor::stand_ins

template <>
struct crocusdoor::enum_names<crocusdoor::stand_ins::call_result> {
  using result = stand_ins::call_result;
  static constexpr auto names = make_enum_names<result>({
      {result::answered, "answered"},
      {result::wrong_answer, "wrong_answer"},
      {result::rejected, "rejected"},
      {result::not_run, "not_run"},
      {result::may_have_run, "may_have_run"},
  });
};

template <>
struct crocusdoor::record_fields<crocusdoor::stand_ins::planned_request> {
  using request = stand_ins::planned_request;
  static constexpr auto table = std::make_tuple(
      optional_field("weight", &request::weight, {1, 1'000'000}),
      optional_field("method", &request::method), required_field("path", &request::path),
      optional_field("body", &request::body), optional_field("headers", &request::headers),
      optional_field("idempotency_key", &request::idempotency_key));
};

template <>
struct crocusdoor::record_fields<crocusdoor::stand_ins::caller_plan> {
  using plan = stand_ins::caller_plan;
  static constexpr auto table =
      std::make_tuple(required_field("daemons", &plan::daemons),
                      required_field("requests", &plan::requests, {1, 100'000'000}),
                      optional_field("concurrency", &plan::concurrency, {1, 10'000}),
                      optional_field("timeout_ms", &plan::timeout_ms, {1, 3'600'000}),
                      optional_field("attempts", &plan::attempts, {1, 1'000}),
                      optional_field("resend_on", &plan::resend_on),
                      optional_field("resend_pause_ms", &plan::resend_pause_ms, {0, 3'600'000}),
                      optional_field("send_twice", &plan::send_twice),
                      optional_field("first_number", &plan::first_number),
                      optional_field("seed", &plan::seed), required_field("mix", &plan::mix));
};
