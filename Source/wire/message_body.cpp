#include "wire/message_body.h"

#include <array>
#include <utility>

#include "wire/message_fields.h"

namespace crocusdoor::wire {

namespace {

constexpr std::array<std::string_view, message_kinds> kind_names = {
    "hello",
    "heartbeat",
    "heartbeat_answer",
    "records",
    "records_request",
    "configuration_request",
    "configuration_delta",
    "configuration_snapshot",
    "call",
    "call_answer",
    "call_cancel",
    "call_status",
    "call_status_answer",
    "claim_request",
    "claim_answer",
    "claim_complete",
    "claim_complete_answer",
    "suspicions",
    "whole_configuration_request",
    "whole_configuration",
    "configuration_change",
    "target_departed",
    "freshness_request",
    "freshness_answer",
    "quota_report",
    "quota_grant",
    "rollout_state",
    "rollout_evidence",
    "body_request",
    "body_part",
};

using body_decoder = message (*)(const json&, record_decoder&);

template <std::size_t Index>
message decode_alternative(const json& document, record_decoder& decoder) {
  std::variant_alternative_t<Index, message> content{};
  decoder.decode(document, content);
  return content;
}

template <std::size_t... Index>
constexpr std::array<body_decoder, sizeof...(Index)> make_decoders(std::index_sequence<Index...>) {
  return {&decode_alternative<Index>...};
}

constexpr auto body_decoders = make_decoders(std::make_index_sequence<message_kinds>());

}  // namespace

std::string_view kind_name(std::size_t kind) {
  return kind_names.at(kind);
}

std::string encode_body(const message& content) {
  std::string body;
  json::to_cbor(std::visit([](const auto& value) { return encode_value(value); }, content), body);
  return body;
}

leaf::result<message> decode_body(std::size_t kind, const json& body) {
  record_decoder decoder(unknown_keys::ignored);
  message content = body_decoders.at(kind)(body, decoder);
  if (!decoder.ok()) {
    const decode_problem& first = decoder.problems().front();
    return leaf::new_error(failure{
        error_code::malformed, std::string(kind_name(kind)) + first.path + ": " + first.message});
  }
  return content;
}

}  // namespace crocusdoor::wire
