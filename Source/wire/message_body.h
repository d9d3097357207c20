#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/record_codec.h"
#include "wire/message.h"

namespace crocusdoor::wire {

/// Number of kinds of messages. The kind of a message is its index in `message`.
inline constexpr std::size_t message_kinds = std::variant_size_v<message>;

/// Name of a kind on the wire; `kind` must be less than `message_kinds`.
[[nodiscard]] std::string_view kind_name(std::size_t kind);

/// Exclusive upper bound of a plausible time of sending. Larger values are treated as unknown, so
/// that arithmetic on them cannot overflow.
inline constexpr std::int64_t sent_at_limit_us = std::int64_t{1} << 52U;

/// Encodes the fields of a message as CBOR.
[[nodiscard]] std::string encode_body(const message& content);

/// Decodes the fields of a message of a kind, which must be less than `message_kinds`. Fails with
/// `error_code::malformed` if they are not of the expected structure.
[[nodiscard]] leaf::result<message> decode_body(std::size_t kind, const json& body);

}  // namespace crocusdoor::wire
