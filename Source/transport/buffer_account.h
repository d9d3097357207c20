#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "core/enum_names.h"

namespace crocusdoor {

/// What buffered bytes belong to.
enum class buffer_kind {
  reading,    ///< Requests whose end has not arrived, and pipelined input.
  forwarded,  ///< Complete requests that wait or are being forwarded.
  responses,  ///< Responses that clients have not read.
  links,      ///< Unsent output of links to other daemons.
};

template <>
struct enum_names<buffer_kind> {
  static constexpr auto names = make_enum_names<buffer_kind>({
      {buffer_kind::reading, "reading"},
      {buffer_kind::forwarded, "forwarded"},
      {buffer_kind::responses, "responses"},
      {buffer_kind::links, "links"},
  });
};

/// Budget of a process whose memory is not known. Requests within the limits reach it only if
/// hundreds of the largest ones arrive at once.
inline constexpr std::size_t default_buffer_budget_bytes = 512'000'000;
/// The budget is this fraction of the memory of the machine. A growing string exists twice while
/// its content is copied, and the allocator keeps freed blocks, so the process may use twice what
/// is counted; the rest is for the program itself, which needs up to about 40 MB in a large mesh.
inline constexpr std::size_t memory_per_buffer_budget = 4;

/// Budget for a machine with this memory; 0 stands for memory that is not known.
[[nodiscard]] constexpr std::size_t buffer_budget_bytes(std::int32_t memory_mb) noexcept {
  constexpr std::size_t bytes_per_mb = 1'000'000;
  return memory_mb > 0
             ? static_cast<std::size_t>(memory_mb) * bytes_per_mb / memory_per_buffer_budget
             : default_buffer_budget_bytes;
}

/// Counts the buffered bytes of a process by kind against a budget.
class buffer_account {
 public:
  explicit buffer_account(std::size_t budget_bytes) : budget_(budget_bytes) {}

  /// Replaces `before` bytes of a kind by `after` bytes.
  void change(buffer_kind kind, std::size_t before, std::size_t after) noexcept {
    std::size_t& counted = bytes_[static_cast<std::size_t>(kind)];
    counted = counted - before + after;
    total_ = total_ - before + after;
  }

  [[nodiscard]] std::size_t budget() const noexcept { return budget_; }
  [[nodiscard]] std::size_t total() const noexcept { return total_; }
  [[nodiscard]] std::size_t bytes(buffer_kind kind) const noexcept {
    return bytes_[static_cast<std::size_t>(kind)];
  }

  /// From this total on, large requests are read in turns only. The last quarter is for these
  /// turns, for small requests and for forwarding.
  [[nodiscard]] std::size_t limited_from() const noexcept { return budget_ / 4 * 3; }
  [[nodiscard]] bool limited() const noexcept { return total_ >= limited_from(); }
  /// Whether this many further bytes are within the budget.
  [[nodiscard]] bool has_room_for(std::size_t bytes) const noexcept {
    return total_ <= budget_ && bytes <= budget_ - total_;
  }

 private:
  std::size_t budget_;
  std::size_t total_ = 0;
  std::array<std::size_t, 4> bytes_{};
};

/// The bytes that one object holds in an account. They are taken out at its destruction.
class buffer_charge {
 public:
  buffer_charge() = default;
  buffer_charge(std::shared_ptr<buffer_account> account, buffer_kind kind)
      : account_(std::move(account)), kind_(kind) {}
  ~buffer_charge() { set(0); }
  buffer_charge(const buffer_charge&) = delete;
  buffer_charge& operator=(const buffer_charge&) = delete;

  /// Replaces the bytes counted so far.
  void set(std::size_t bytes) noexcept {
    if (account_ != nullptr) {
      account_->change(kind_, bytes_, bytes);
      bytes_ = bytes;
    }
  }

 private:
  std::shared_ptr<buffer_account> account_;
  buffer_kind kind_ = buffer_kind::reading;
  std::size_t bytes_ = 0;
};

}  // namespace crocusdoor
