#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/error.h"
#include "core/record_codec.h"
#include "core/verdict.h"
#include "run_once/claim.h"

namespace crocusdoor {

/// Progress of an operation according to the log.
enum class operation_progress {
  running,   ///< A claim is durable; its outcome has not been reported.
  unknown,   ///< The holder of the claim could not learn the outcome.
  done,      ///< The operation ran; its response is recorded unless it was too large.
  released,  ///< The claim was returned unused; the operation has not run.
};

template <>
struct enum_names<operation_progress> {
  static constexpr auto names = make_enum_names<operation_progress>({
      {operation_progress::running, "running"},
      {operation_progress::unknown, "unknown"},
      {operation_progress::done, "done"},
      {operation_progress::released, "released"},
  });
};

/// Current state of one operation.
struct operation_record {
  operation_key operation;
  claim_id id;
  digest body_digest;
  std::int64_t expires_at_ms = 0;  ///< Expiry of the claim, ms since the Unix epoch.
  std::uint64_t epoch = 0;         ///< Epoch of the shard owner that granted the claim.
  operation_progress progress = operation_progress::running;
  std::optional<recorded_response> answer;
  std::int64_t settled_at_ms = 0;  ///< Wall time at which it became done or released.
  std::int32_t retention_days = 30;
  friend bool operator==(const operation_record&, const operation_record&) = default;
};

template <>
struct record_fields<operation_record> {
  static constexpr auto table =
      std::make_tuple(required_field("operation", &operation_record::operation),
                      required_field("id", &operation_record::id),
                      required_field("body_digest", &operation_record::body_digest),
                      required_field("expires_at_ms", &operation_record::expires_at_ms),
                      required_field("epoch", &operation_record::epoch),
                      required_field("progress", &operation_record::progress),
                      optional_field("answer", &operation_record::answer),
                      required_field("settled_at_ms", &operation_record::settled_at_ms),
                      required_field("retention_days", &operation_record::retention_days));
};

enum class entry_kind { claim, completion, resolution };

template <>
struct enum_names<entry_kind> {
  static constexpr auto names = make_enum_names<entry_kind>({
      {entry_kind::claim, "claim"},
      {entry_kind::completion, "completion"},
      {entry_kind::resolution, "resolution"},
  });
};

/// Change to the state of one operation.
struct log_entry {
  entry_kind kind = entry_kind::claim;
  operation_key operation;
  claim_id id;
  digest body_digest;               ///< Claims only.
  std::int64_t expires_at_ms = 0;   ///< Claims only.
  std::int32_t retention_days = 0;  ///< Claims only.
  verdict outcome = verdict::may_have_run;
  std::optional<recorded_response> answer;
  std::int64_t at_ms = 0;  ///< Wall time of the owner when it accepted the change.
  friend bool operator==(const log_entry&, const log_entry&) = default;
};

template <>
struct record_fields<log_entry> {
  static constexpr auto table = std::make_tuple(
      required_field("kind", &log_entry::kind), required_field("operation", &log_entry::operation),
      required_field("id", &log_entry::id), required_field("body_digest", &log_entry::body_digest),
      required_field("expires_at_ms", &log_entry::expires_at_ms),
      required_field("retention_days", &log_entry::retention_days),
      required_field("outcome", &log_entry::outcome), optional_field("answer", &log_entry::answer),
      required_field("at_ms", &log_entry::at_ms));
};

/// Content of one batch object of the log. A batch without entries starts an epoch.
struct log_batch {
  std::uint32_t shard = 0;
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  std::string nonce;  ///< Unique to the writer; tells its object from one that another owner wrote.
  std::vector<log_entry> entries;
  friend bool operator==(const log_batch&, const log_batch&) = default;
};

template <>
struct record_fields<log_batch> {
  static constexpr auto table = std::make_tuple(
      required_field("shard", &log_batch::shard), required_field("sequence", &log_batch::sequence),
      required_field("epoch", &log_batch::epoch), required_field("nonce", &log_batch::nonce),
      required_field("entries", &log_batch::entries));
};

/// Part of a checkpoint; never changed once written.
struct checkpoint_part {
  std::vector<operation_record> records;
};

template <>
struct record_fields<checkpoint_part> {
  static constexpr auto table =
      std::make_tuple(required_field("records", &checkpoint_part::records));
};

/// Lists the parts that together hold the state after all batches up to `through`. If two parts
/// contain the same operation, the record in the later part is the current one.
struct checkpoint_header {
  std::uint32_t shard = 0;
  std::uint64_t through = 0;      ///< Last sequence number that the parts include.
  std::uint64_t first_batch = 1;  ///< Batches before this one have been deleted.
  std::uint64_t epoch = 0;
  std::string nonce;
  std::vector<std::string> parts;
};

template <>
struct record_fields<checkpoint_header> {
  static constexpr auto table =
      std::make_tuple(required_field("shard", &checkpoint_header::shard),
                      required_field("through", &checkpoint_header::through),
                      required_field("first_batch", &checkpoint_header::first_batch),
                      required_field("epoch", &checkpoint_header::epoch),
                      required_field("nonce", &checkpoint_header::nonce),
                      required_field("parts", &checkpoint_header::parts));
};

/// Name of the platform object of one batch.
[[nodiscard]] std::string batch_object_name(std::uint32_t shard, std::uint64_t sequence);
/// Name of the platform object of the checkpoint header of a shard.
[[nodiscard]] std::string checkpoint_object_name(std::uint32_t shard);
/// Name of the platform object of one checkpoint part.
[[nodiscard]] std::string checkpoint_part_object_name(std::uint32_t shard, std::string_view id);

/// Encodes a record as CBOR.
template <typename Record>
[[nodiscard]] std::string to_object_content(const Record& record) {
  std::string bytes;
  json::to_cbor(encode_value(record), bytes);
  return bytes;
}

/// Decodes a platform object; fails with `malformed` and a message about the first problem.
template <typename Record>
[[nodiscard]] leaf::result<Record> from_object_content(std::string_view bytes) {
  const json document = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (document.is_discarded()) {
    return leaf::new_error(failure{error_code::malformed, "object is not a CBOR document"});
  }
  Record record;
  record_decoder decoder(unknown_keys::ignored);
  decoder.decode(document, record);
  if (!decoder.ok()) {
    const decode_problem& first = decoder.problems().front();
    return leaf::new_error(failure{error_code::malformed, first.path + ": " + first.message});
  }
  return record;
}

/// Like `from_object_content`, but returns an empty optional on failure.
template <typename Record>
[[nodiscard]] std::optional<Record> try_from_object_content(std::string_view bytes) {
  return handle_failure(
      [&]() -> leaf::result<std::optional<Record>> {
        BOOST_LEAF_AUTO(record, from_object_content<Record>(bytes));
        return std::optional<Record>(std::move(record));
      },
      [](const failure&) { return std::optional<Record>(); });
}

}  // namespace crocusdoor
