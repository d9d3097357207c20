#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/route.h"
#include "configuration/run_once_action.h"
#include "configuration/service.h"
#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// Maximum sizes in bytes of the operator name and the reason in an intent document. The head
/// object stores both with each of the latest changes, so they count towards its size limit.
inline constexpr std::size_t operator_name_limit_bytes = 64;
inline constexpr std::size_t reason_limit_bytes = 300;

/// One change of a resource that an operator requests; exactly one of the members is set. A put
/// adds the resource or replaces the whole resource of that name.
struct intent {
  std::optional<service> put_service;
  std::optional<route> put_route;
  std::optional<run_once_action> put_action;
  std::optional<service_name> remove_service;
  std::optional<route_name> remove_route;
  std::optional<action_name> remove_action;
  friend bool operator==(const intent&, const intent&) = default;
};

template <>
struct record_fields<intent> {
  static constexpr auto table =
      std::make_tuple(optional_field("put_service", &intent::put_service),
                      optional_field("put_route", &intent::put_route),
                      optional_field("put_action", &intent::put_action),
                      optional_field("remove_service", &intent::remove_service),
                      optional_field("remove_route", &intent::remove_route),
                      optional_field("remove_action", &intent::remove_action));
};

/// The changes that one operator requests, and the reason. The intents take effect together in any
/// order, and each resource may be named only once.
struct intent_document {
  std::string operator_name;
  std::string reason;
  std::vector<intent> intents;
  friend bool operator==(const intent_document&, const intent_document&) = default;
};

template <>
struct record_fields<intent_document> {
  static constexpr auto table =
      std::make_tuple(required_field("operator", &intent_document::operator_name),
                      required_field("reason", &intent_document::reason),
                      required_field("intents", &intent_document::intents));
};

/// One problem for each rule that the document breaks independently of the current configuration.
/// The paths are JSON pointers into the document.
[[nodiscard]] std::vector<decode_problem> validate(const intent_document& document);

/// Parses an intent document from JSON with comments. Fails with `error_code::malformed` (not the
/// expected form), `invalid` (a rule is broken) or `over_limit`; the message has one line for each
/// problem, with line, column, JSON pointer and the accepted values.
[[nodiscard]] leaf::result<intent_document> parse_intents(std::string_view text);

}  // namespace crocusdoor
