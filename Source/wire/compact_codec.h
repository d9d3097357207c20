#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "wire/message.h"
#include "wire/shared_message.h"

namespace crocusdoor::wire {

namespace detail {
class dictionary_streams;
}

/// Encodes messages for links on which bytes are expensive.
///
/// Most of a message without a large body consists of field names, which are the same in every
/// message. This encoding has a binary header of a few bytes and a body that is deflated with a
/// dictionary of the messages that are sent most often. It takes more processor time than the plain
/// encoding, so it is meant for links between failure domains.
///
/// Format: a byte that no CBOR map begins with, a byte with the kind of the message, then as
/// numbers of variable length the configuration version, the time of sending and the size of the
/// inflated body, then the body. If the size is 0, the body is not deflated.
class compact_codec {
 public:
  /// `frequent_texts` are the names of headers that most calls have.
  explicit compact_codec(const std::vector<std::string>& frequent_texts);
  ~compact_codec();
  compact_codec(const compact_codec&) = delete;
  compact_codec& operator=(const compact_codec&) = delete;

  /// Identifies the dictionary. Only daemons with the same dictionary can read each other's compact
  /// messages. Never 0.
  [[nodiscard]] std::uint32_t dictionary_id() const noexcept { return dictionary_id_; }

  [[nodiscard]] std::string encode(const envelope& value) const;
  [[nodiscard]] std::string encode(version_number configuration_version,
                                   const shared_message& content,
                                   std::chrono::microseconds sent_at) const;

  /// Whether bytes are a message of this encoding.
  [[nodiscard]] static bool is_compact(std::string_view bytes);
  /// Decodes one message of this encoding. Fails with `error_code::over_limit` for a message above
  /// `message_size_limit_bytes`, `error_code::malformed` for other bytes that are not a message,
  /// and `error_code::invalid` for an unknown kind.
  [[nodiscard]] leaf::result<envelope> decode(std::string_view bytes) const;

 private:
  [[nodiscard]] std::string encode(std::size_t kind, version_number configuration_version,
                                   std::chrono::microseconds sent_at,
                                   const std::string& body) const;

  std::unique_ptr<detail::dictionary_streams> streams_;
  std::uint32_t dictionary_id_;
};

}  // namespace crocusdoor::wire
