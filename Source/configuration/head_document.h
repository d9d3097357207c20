#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/change_record.h"
#include "configuration/snapshot.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/record_codec.h"

namespace crocusdoor {

/// Maximum size in bytes of a value that the platform stores.
inline constexpr std::size_t head_size_limit_bytes = 1'000'000;

/// Maximum number of changes in the head. A confirmation that is repeated because its response was
/// lost is recognised as long as its plan is among them.
inline constexpr std::size_t head_change_limit = 64;

/// Content of the platform object `configuration/head`.
struct head_document {
  snapshot content;
  digest content_digest = digest_of(snapshot{});
  std::string writer_nonce;  ///< Different for each write; a writer recognises its own write by it.
  std::vector<change_record> changes;  ///< Latest changes, oldest first.
  friend bool operator==(const head_document&, const head_document&) = default;
};

template <>
struct record_fields<head_document> {
  static constexpr auto table =
      std::make_tuple(required_field("content", &head_document::content),
                      required_field("digest", &head_document::content_digest),
                      required_field("writer", &head_document::writer_nonce),
                      required_field("changes", &head_document::changes));
};

/// One problem for each rule that the head breaks: the rules for its snapshot, its digest and the
/// order of its changes.
[[nodiscard]] std::vector<decode_problem> validate(const head_document& head);

/// JSON text for the platform object.
[[nodiscard]] std::string encode_head(const head_document& head);

/// Decodes and validates the platform object as a whole. Fails with `error_code::malformed`,
/// `invalid` or `over_limit`; the message names every problem. If the platform has no such
/// object, the head is that of version 0, `head_document{}`.
[[nodiscard]] leaf::result<head_document> parse_head(std::string_view text);

/// Appends a change, drops the oldest ones beyond 64, and removes sentences and touched resources
/// from the oldest changes until the encoded head fits the size limit. Fails with
/// `error_code::over_limit` if the head is too large even then.
[[nodiscard]] leaf::result<head_document> with_change(head_document head, change_record change);

}  // namespace crocusdoor
