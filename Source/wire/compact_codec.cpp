#include "wire/compact_codec.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "wire/cbor_reader.h"
#include "wire/dictionary_streams.h"
#include "wire/message_body.h"

namespace crocusdoor::wire {

namespace {

/// CBOR maps, which plain messages are, begin with a byte from 0xa0 on.
constexpr char compact_format = '\x01';
/// Bodies above this size consist mostly of data of callers, to which the dictionary does not
/// apply.
constexpr std::size_t deflated_body_limit_bytes = 16'384;

constexpr unsigned varint_bits = 7;
constexpr unsigned varint_more = 1U << varint_bits;
constexpr unsigned varint_limit_bits = 63;

void append_varint(std::string& bytes, std::uint64_t value) {
  while (value >= varint_more) {
    bytes.push_back(static_cast<char>((value % varint_more) | varint_more));
    value >>= varint_bits;
  }
  bytes.push_back(static_cast<char>(value));
}

/// Removes a number from the start of `bytes`. Returns nothing if the bytes end within it or it has
/// more than 63 bits.
std::optional<std::uint64_t> take_varint(std::string_view& bytes) {
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift < varint_limit_bits && !bytes.empty(); shift += varint_bits) {
    const auto byte = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    value |= static_cast<std::uint64_t>(byte % varint_more) << shift;
    if (byte < varint_more) {
      return value;
    }
  }
  return std::nullopt;
}

header_map sample_headers(const std::vector<std::string>& frequent_texts) {
  header_map headers;
  for (const std::string& text : frequent_texts) {
    headers[text] = "";
  }
  return headers;
}

load_report sample_load() {
  load_report load;
  load.wait_ms = {0, 0, 0, 0};
  return load;
}

/// Encoded bodies with typical values. The kinds that are sent most often are at the end, where
/// deflate refers to them with the fewest bits.
std::string make_dictionary(const std::vector<std::string>& frequent_texts) {
  std::string dictionary;
  for (std::size_t kind = 0; kind < message_kinds; ++kind) {
    dictionary += kind_name(kind);
  }
  records changed;
  changed.changed.emplace_back();
  call request;
  request.method = "GET";
  request.headers = sample_headers(frequent_texts);
  call_answer response;
  response.outcome = verdict::ran;
  response.headers = request.headers;
  response.load = sample_load();
  heartbeat beat;
  beat.load = sample_load();
  for (const message& sample :
       {message(target_departed{}), message(call_status{}), message(call_cancel{}),
        message(changed), message(response), message(request), message(beat)}) {
    dictionary += encode_body(sample);
  }
  return dictionary;
}

std::chrono::microseconds sent_at_of(std::uint64_t value_us) {
  return std::chrono::microseconds(value_us < sent_at_limit_us ? value_us : 0);
}

std::uint32_t id_of(const std::string& dictionary) {
  const auto checksum = static_cast<std::uint32_t>(crc32(
      0, reinterpret_cast<const Bytef*>(dictionary.data()), static_cast<uInt>(dictionary.size())));
  return checksum == 0 ? 1 : checksum;
}

leaf::error_id malformed(const char* reason) {
  return leaf::new_error(failure{error_code::malformed, reason});
}

}  // namespace

compact_codec::compact_codec(const std::vector<std::string>& frequent_texts)
    : streams_(std::make_unique<detail::dictionary_streams>(make_dictionary(frequent_texts))),
      dictionary_id_(id_of(streams_->dictionary())) {}

compact_codec::~compact_codec() = default;

bool compact_codec::is_compact(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == compact_format;
}

std::string compact_codec::encode(const envelope& value) const {
  return encode(value.content.index(), value.configuration_version, value.sent_at,
                encode_body(value.content));
}

std::string compact_codec::encode(version_number configuration_version,
                                  const shared_message& content,
                                  std::chrono::microseconds sent_at) const {
  return encode(content.content().index(), configuration_version, sent_at, content.body());
}

std::string compact_codec::encode(std::size_t kind, version_number configuration_version,
                                  std::chrono::microseconds sent_at,
                                  const std::string& body) const {
  std::string bytes{compact_format, static_cast<char>(kind)};
  append_varint(bytes, configuration_version);
  append_varint(bytes, static_cast<std::uint64_t>(std::max<std::int64_t>(sent_at.count(), 0)));
  std::optional<std::string> deflated;
  if (body.size() <= deflated_body_limit_bytes) {
    deflated = streams_->deflated(body);
  }
  append_varint(bytes, deflated.has_value() ? body.size() : 0);
  return bytes + (deflated.has_value() ? *deflated : body);
}

leaf::result<envelope> compact_codec::decode(std::string_view bytes) const {
  if (bytes.size() > message_size_limit_bytes) {
    return leaf::new_error(
        failure{error_code::over_limit, "encoded message exceeds the message size limit"});
  }
  if (!is_compact(bytes) || bytes.size() < 2) {
    return malformed("message is not in the compact format");
  }
  const std::size_t kind = static_cast<unsigned char>(bytes[1]);
  if (kind >= message_kinds) {
    return leaf::new_error(
        failure{error_code::invalid, "message of unknown kind number " + std::to_string(kind)});
  }
  bytes.remove_prefix(2);
  const auto version = take_varint(bytes);
  const auto sent_at_us = take_varint(bytes);
  const auto inflated_size = take_varint(bytes);
  if (!version.has_value() || !sent_at_us.has_value() || !inflated_size.has_value()) {
    return malformed("header of the compact message is incomplete");
  }
  if (*inflated_size > deflated_body_limit_bytes) {
    return leaf::new_error(failure{
        error_code::over_limit, "announced size of the inflated message body exceeds its limit"});
  }
  std::string inflated;
  if (*inflated_size > 0) {
    std::optional<std::string> text = streams_->inflated(bytes, *inflated_size);
    if (!text.has_value()) {
      return malformed("message body is invalid or does not inflate to its announced size");
    }
    inflated = std::move(*text);
    bytes = inflated;
  }
  const std::optional<json> body = read_cbor(bytes);
  if (!body.has_value()) {
    return malformed("message body is not valid CBOR");
  }
  BOOST_LEAF_AUTO(content, decode_body(kind, *body));
  return envelope{*version, std::move(content), sent_at_of(*sent_at_us)};
}

}  // namespace crocusdoor::wire
