#include "wire/message_codec.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "core/record_codec.h"
#include "core/utf8.h"
#include "wire/cbor_reader.h"
#include "wire/message_body.h"
#include "wire/message_fields.h"

namespace crocusdoor::wire {

namespace {

leaf::result<void> check_header(const json& document) {
  if (document.is_discarded() || !document.is_object()) {
    return leaf::new_error(failure{error_code::malformed, "message is not a CBOR map"});
  }
  const auto protocol = document.find("protocol");
  if (protocol == document.end() || *protocol != protocol_version) {
    return leaf::new_error(failure{error_code::invalid, "message of another protocol version; " +
                                                            std::to_string(protocol_version) +
                                                            " is accepted"});
  }
  const auto kind = document.find("kind");
  if (kind == document.end() || !kind->is_string()) {
    return leaf::new_error(
        failure{error_code::malformed, "message field \"kind\" is missing or not a string"});
  }
  const auto version = document.find("configuration_version");
  if (version == document.end() || !version->is_number_unsigned()) {
    return leaf::new_error(
        failure{error_code::malformed,
                "message field \"configuration_version\" is missing or not an unsigned integer"});
  }
  return {};
}

json header_of(const message& content, version_number configuration_version,
               std::chrono::microseconds sent_at) {
  json document = json::object();
  document["protocol"] = protocol_version;
  document["kind"] = std::string(kind_of(content));
  document["configuration_version"] = configuration_version;
  if (sent_at.count() > 0) {
    document["sent_at_us"] = sent_at.count();
  }
  return document;
}

std::chrono::microseconds sent_at_of(const json& document) {
  const auto found = document.find("sent_at_us");
  const bool valid = found != document.end() && found->is_number_integer() && *found > 0 &&
                     *found < sent_at_limit_us;
  return std::chrono::microseconds(valid ? found->get<std::int64_t>() : 0);
}

/// Encodes a map with one additional entry, whose value is already encoded as CBOR. The map is
/// small enough that its first byte contains the number of entries, which is incremented.
std::string encode_with_entry(const json& document, const std::string& key,
                              const std::string& value) {
  std::string bytes;
  json::to_cbor(document, bytes);
  ++bytes.front();
  json::to_cbor(json(key), bytes);
  return bytes + value;
}

/// Body of a received message, which is inflated if the sender has deflated it.
leaf::result<json> body_of(json& document) {
  const auto body = document.find("body");
  if (body != document.end()) {
    return std::move(*body);
  }
  const auto deflated = document.find("deflated_body");
  const auto size = document.find("body_bytes");
  const bool present = deflated != document.end() && size != document.end();
  if (!present || !deflated->is_binary() || !size->is_number_unsigned()) {
    return leaf::new_error(failure{
        error_code::malformed,
        "message has neither \"body\" nor valid \"deflated_body\" and \"body_bytes\" fields"});
  }
  const std::vector<std::uint8_t>& bytes = deflated->get_binary();
  BOOST_LEAF_AUTO(inflated,
                  inflate_body(std::string(bytes.begin(), bytes.end()), size->get<std::size_t>()));
  std::optional<json> decoded = read_cbor(inflated);
  if (!decoded.has_value()) {
    return leaf::new_error(
        failure{error_code::malformed, "inflated message body is not valid CBOR"});
  }
  return std::move(*decoded);
}

}  // namespace

std::string_view kind_of(const message& content) {
  return kind_name(content.index());
}

std::string encode(const envelope& value) {
  json document = header_of(value.content, value.configuration_version, value.sent_at);
  document["body"] =
      std::visit([](const auto& content) { return encode_value(content); }, value.content);
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

std::string encode(version_number configuration_version, const shared_message& content,
                   bool may_deflate, std::chrono::microseconds sent_at) {
  json document = header_of(content.content(), configuration_version, sent_at);
  if (!may_deflate || content.deflated_body().empty()) {
    return encode_with_entry(document, "body", content.body());
  }
  const std::string& deflated = content.deflated_body();
  document["body_bytes"] = content.body().size();
  document["deflated_body"] =
      json::binary(std::vector<std::uint8_t>(deflated.begin(), deflated.end()));
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

leaf::result<envelope> decode(std::string_view bytes) {
  if (bytes.size() > message_size_limit_bytes) {
    return leaf::new_error(
        failure{error_code::over_limit, "encoded message exceeds the message size limit"});
  }
  json document = read_cbor(bytes).value_or(json(json::value_t::discarded));
  BOOST_LEAF_CHECK(check_header(document));
  BOOST_LEAF_AUTO(body, body_of(document));
  const auto& kind = document["kind"].get_ref<const std::string&>();
  for (std::size_t index = 0; index < message_kinds; ++index) {
    if (kind_name(index) == kind) {
      BOOST_LEAF_AUTO(content, decode_body(index, body));
      return envelope{document["configuration_version"].get<version_number>(), std::move(content),
                      sent_at_of(document)};
    }
  }
  return leaf::new_error(
      failure{error_code::invalid, "message of unknown kind \"" + to_utf8(kind) + "\""});
}

}  // namespace crocusdoor::wire
