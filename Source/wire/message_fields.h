#pragma once

#include "mesh/mesh_configuration_fields.h"
#include "wire/message.h"

namespace crocusdoor {

template <>
struct enum_names<wire::call_progress> {
  static constexpr auto names = make_enum_names<wire::call_progress>({
      {wire::call_progress::never_received, "never_received"},
      {wire::call_progress::waiting, "waiting"},
      {wire::call_progress::running, "running"},
      {wire::call_progress::done, "done"},
      {wire::call_progress::forgotten, "forgotten"},
  });
};

template <>
struct record_fields<wire::hello> {
  static constexpr auto table =
      std::make_tuple(required_field("self", &wire::hello::self),
                      required_field("digest", &wire::hello::configuration_digest),
                      required_field("seen_version", &wire::hello::seen_version),
                      optional_field("to", &wire::hello::to),
                      optional_field("streams_bodies", &wire::hello::streams_bodies),
                      optional_field("reads_deflated", &wire::hello::reads_deflated),
                      optional_field("dictionary", &wire::hello::dictionary));
};

template <>
struct record_fields<wire::heartbeat> {
  static constexpr auto table =
      std::make_tuple(required_field("sequence", &wire::heartbeat::sequence),
                      required_field("digest", &wire::heartbeat::configuration_digest),
                      optional_field("load", &wire::heartbeat::load),
                      optional_field("store_era", &wire::heartbeat::store_era));
};

template <>
struct record_fields<wire::heartbeat_answer> {
  static constexpr auto table =
      std::make_tuple(required_field("sequence", &wire::heartbeat_answer::sequence),
                      required_field("digest", &wire::heartbeat_answer::configuration_digest));
};

template <>
struct record_fields<wire::records> {
  static constexpr auto table = std::make_tuple(required_field("changed", &wire::records::changed));
};

template <>
struct record_fields<wire::records_request> {
  static constexpr auto table =
      std::make_tuple(optional_field("fingerprints", &wire::records_request::fingerprints),
                      optional_field("reply", &wire::records_request::reply));
};

template <>
struct record_fields<wire::configuration_request> {
  static constexpr auto table =
      std::make_tuple(required_field("held", &wire::configuration_request::held));
};

template <>
struct record_fields<wire::configuration_snapshot> {
  static constexpr auto table = std::make_tuple(
      required_field("content", &wire::configuration_snapshot::content),
      required_field("content_digest", &wire::configuration_snapshot::content_digest));
};

template <>
struct record_fields<wire::call_workspace> {
  static constexpr auto table =
      std::make_tuple(required_field("name", &wire::call_workspace::name),
                      required_field("rank", &wire::call_workspace::rank));
};

template <>
struct record_fields<wire::streamed_body> {
  static constexpr auto table =
      std::make_tuple(optional_field("bytes", &wire::streamed_body::bytes));
};

template <>
struct record_fields<wire::body_request> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::body_request::id),
                      required_field("sender_incarnation", &wire::body_request::sender_incarnation),
                      required_field("offset", &wire::body_request::offset));
};

template <>
struct record_fields<wire::body_part> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::body_part::id),
                      required_field("sender_incarnation", &wire::body_part::sender_incarnation),
                      required_field("offset", &wire::body_part::offset),
                      required_field("bytes", &wire::body_part::bytes),
                      required_field("last", &wire::body_part::last));
};

template <>
struct record_fields<wire::call> {
  static constexpr auto table = std::make_tuple(
      required_field("id", &wire::call::id),
      required_field("sender_incarnation", &wire::call::sender_incarnation),
      required_field("service", &wire::call::service),
      required_field("method", &wire::call::method), required_field("path", &wire::call::path),
      required_field("headers", &wire::call::headers), required_field("body", &wire::call::body),
      required_field("deadline_left_ms", &wire::call::deadline_left_ms, {0, 3'600'000}),
      required_field("priority", &wire::call::priority),
      required_field("idempotent", &wire::call::idempotent),
      optional_field("claim", &wire::call::claim_held),
      optional_field("traceparent", &wire::call::traceparent),
      required_field("attempt", &wire::call::attempt, {1, 100}),
      required_field("retries_left", &wire::call::retries_left, {0, 100}),
      optional_field("rank", &wire::call::rank),
      optional_field("work_class", &wire::call::work_class),
      optional_field("objective_left_ms", &wire::call::objective_left_ms),
      optional_field("workspace", &wire::call::workspace),
      optional_field("target_version", &wire::call::target_version),
      optional_field("streamed", &wire::call::streamed));
};

template <>
struct record_fields<wire::call_answer> {
  static constexpr auto table = std::make_tuple(
      required_field("id", &wire::call_answer::id),
      required_field("outcome", &wire::call_answer::outcome),
      // Not restricted, so that an invalid status ends the call instead of losing the message.
      required_field("status", &wire::call_answer::status),
      required_field("headers", &wire::call_answer::headers),
      required_field("body", &wire::call_answer::body),
      optional_field("reason", &wire::call_answer::reason),
      optional_field("retry_after_ms", &wire::call_answer::retry_after_ms, {0, 3'600'000}),
      required_field("load", &wire::call_answer::load),
      optional_field("ran_us", &wire::call_answer::ran_us),
      optional_field("reached_target", &wire::call_answer::reached_target));
};

template <>
struct record_fields<wire::call_cancel> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::call_cancel::id),
                      optional_field("sender_incarnation", &wire::call_cancel::sender_incarnation));
};

template <>
struct record_fields<wire::call_status> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::call_status::id),
                      required_field("sender_incarnation", &wire::call_status::sender_incarnation));
};

template <>
struct record_fields<wire::call_status_answer> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::call_status_answer::id),
                      required_field("progress", &wire::call_status_answer::progress),
                      optional_field("answer", &wire::call_status_answer::answer));
};

template <>
struct record_fields<wire::claim_request> {
  static constexpr auto table = std::make_tuple(
      required_field("id", &wire::claim_request::id),
      required_field("operation", &wire::claim_request::operation),
      required_field("body_digest", &wire::claim_request::body_digest),
      required_field("expires_at_ms", &wire::claim_request::expires_at_ms),
      optional_field("retention_days", &wire::claim_request::retention_days, {1, 3650}));
};

template <>
struct record_fields<wire::claim_answer> {
  static constexpr auto table = std::make_tuple(
      required_field("id", &wire::claim_answer::id),
      required_field("decision", &wire::claim_answer::decision),
      optional_field("granted", &wire::claim_answer::granted),
      optional_field("answer", &wire::claim_answer::answer),
      optional_field("reason", &wire::claim_answer::reason),
      optional_field("retry_after_ms", &wire::claim_answer::retry_after_ms, {0, 3'600'000}));
};

template <>
struct record_fields<wire::claim_complete> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::claim_complete::id),
                      required_field("claim", &wire::claim_complete::claim),
                      required_field("operation", &wire::claim_complete::operation),
                      required_field("outcome", &wire::claim_complete::outcome),
                      optional_field("answer", &wire::claim_complete::answer));
};

template <>
struct record_fields<wire::claim_complete_answer> {
  static constexpr auto table =
      std::make_tuple(required_field("id", &wire::claim_complete_answer::id),
                      required_field("recorded", &wire::claim_complete_answer::recorded),
                      optional_field("final", &wire::claim_complete_answer::final));
};

template <>
struct record_fields<wire::whole_configuration_request> {
  static constexpr auto table = std::make_tuple();
};

template <>
struct record_fields<wire::whole_configuration> {
  static constexpr auto table =
      std::make_tuple(required_field("content", &wire::whole_configuration::content));
};

template <>
struct record_fields<wire::target_departed> {
  static constexpr auto table =
      std::make_tuple(required_field("instance", &wire::target_departed::instance),
                      required_field("target_id", &wire::target_departed::target_id),
                      required_field("born_ms", &wire::target_departed::born_ms),
                      optional_field("start_known", &wire::target_departed::start_known));
};

template <>
struct record_fields<wire::suspicions> {
  static constexpr auto table =
      std::make_tuple(required_field("reports", &wire::suspicions::reports),
                      optional_field("counts", &wire::suspicions::counts));
};

template <>
struct record_fields<wire::freshness_request> {
  static constexpr auto table =
      std::make_tuple(required_field("sequence", &wire::freshness_request::sequence));
};

template <>
struct record_fields<wire::freshness_answer> {
  static constexpr auto table =
      std::make_tuple(required_field("sequence", &wire::freshness_answer::sequence),
                      optional_field("proof_age_ms", &wire::freshness_answer::proof_age_ms));
};

template <>
struct record_fields<wire::quota_demand> {
  static constexpr auto table =
      std::make_tuple(required_field("workspace", &wire::quota_demand::workspace),
                      required_field("used", &wire::quota_demand::used),
                      required_field("wanted", &wire::quota_demand::wanted),
                      required_field("held", &wire::quota_demand::held));
};

template <>
struct record_fields<wire::quota_report> {
  static constexpr auto table =
      std::make_tuple(required_field("sequence", &wire::quota_report::sequence),
                      required_field("accrued_ms", &wire::quota_report::accrued_ms, {0, 60'000}),
                      required_field("demands", &wire::quota_report::demands),
                      optional_field("part", &wire::quota_report::part, {0, 1'000}));
};

template <>
struct record_fields<wire::quota_tokens> {
  static constexpr auto table =
      std::make_tuple(required_field("workspace", &wire::quota_tokens::workspace),
                      required_field("tokens", &wire::quota_tokens::tokens));
};

template <>
struct record_fields<wire::quota_grant> {
  static constexpr auto table =
      std::make_tuple(required_field("sequence", &wire::quota_grant::sequence),
                      required_field("valid_ms", &wire::quota_grant::valid_ms, {0, 60'000}),
                      required_field("granted", &wire::quota_grant::granted),
                      optional_field("part", &wire::quota_grant::part, {0, 1'000}));
};

template <>
struct enum_names<wire::rollout_phase> {
  static constexpr auto names = make_enum_names<wire::rollout_phase>({
      {wire::rollout_phase::running, "running"},
      {wire::rollout_phase::completed, "completed"},
      {wire::rollout_phase::rolled_back, "rolled_back"},
  });
};

template <>
struct record_fields<wire::rollout_state> {
  using record = wire::rollout_state;
  static constexpr auto table = std::make_tuple(
      required_field("service", &record::service),
      required_field("target_version", &record::target_version),
      required_field("order", &record::order), required_field("phase", &record::phase),
      required_field("permille", &record::permille, {0, 1'000}),
      required_field("valid_ms", &record::valid_ms, {0, 3'600'000}),
      required_field("left_ms", &record::left_ms));
};

template <>
struct record_fields<wire::version_outcomes> {
  using record = wire::version_outcomes;
  static constexpr auto table = std::make_tuple(
      required_field("work_class", &record::work_class),
      required_field("new_version", &record::new_version),
      required_field("requests", &record::requests), required_field("failures", &record::failures),
      required_field("total_time_us", &record::total_time_us),
      optional_field("slow", &record::slow));
};

template <>
struct record_fields<wire::rollout_evidence> {
  using record = wire::rollout_evidence;
  static constexpr auto table = std::make_tuple(
      required_field("service", &record::service),
      required_field("target_version", &record::target_version),
      required_field("order", &record::order), required_field("sent", &record::sent),
      required_field("outcomes", &record::outcomes),
      optional_field("permille", &record::permille, {0, 1'000}),
      optional_field("running_old", &record::running_old),
      optional_field("running_new", &record::running_new));
};

}  // namespace crocusdoor
