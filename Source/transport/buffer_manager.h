#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "transport/read_schedule.h"
#include "transport/timer_service.h"

namespace crocusdoor {

/// Why a request was refused because of the memory of the process.
enum class memory_refusal {
  client_silent,  ///< Its client had sent nothing for a while.
  largest,        ///< It was the largest incomplete request.
  no_room,        ///< It was complete, but there was no room to forward it.
};

template <>
struct enum_names<memory_refusal> {
  static constexpr auto names = make_enum_names<memory_refusal>({
      {memory_refusal::client_silent, "client_silent"},
      {memory_refusal::largest, "largest"},
      {memory_refusal::no_room, "no_room"},
  });
};

/// A connection with an incomplete request, as the manager sees it.
class request_reader {
 public:
  request_reader() = default;
  virtual ~request_reader() = default;
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  [[nodiscard]] virtual incomplete_request describe() const = 0;
  virtual void set_reading(bool enabled) = 0;
  virtual void refuse_for_memory(memory_refusal reason) = 0;
};

/// Keeps the buffers of all servers of a process within one budget: it applies the decisions of
/// `read_schedule` to their connections.
class buffer_manager {
 public:
  using refusal_counts = std::map<memory_refusal, std::uint64_t>;
  /// Called at most once a second while requests are refused, with the refusals since the last
  /// call.
  using reporter = std::function<void(const refusal_counts&)>;

  buffer_manager(timer_service& timers, std::size_t budget_bytes, reporter report = nullptr);

  [[nodiscard]] const std::shared_ptr<buffer_account>& account() const noexcept { return account_; }
  [[nodiscard]] std::uint64_t next_request_id() noexcept { return ++last_request_id_; }

  /// A reader is known from the first bytes of a request until its end.
  void add(request_reader& reader) { readers_.insert(&reader); }
  void remove(request_reader& reader) { readers_.erase(&reader); }
  /// Must be called after a reader has read something. Returns whether it may read on.
  [[nodiscard]] bool may_read(const request_reader& reader);
  /// Makes a review due soon if the budget is nearly used.
  void check();

  /// Takes one of the large receive buffers. Returns false if all are in use or memory is short.
  [[nodiscard]] bool take_large_buffer() noexcept;
  void return_large_buffer() noexcept { --large_buffers_; }
  [[nodiscard]] bool has_large_buffer() const noexcept;

  void count_refusal(memory_refusal reason);
  /// Refusals since the start.
  [[nodiscard]] const refusal_counts& refusals() const noexcept { return refusals_; }
  /// Function that returns the unsent output of links. It is read at each review.
  void set_link_output(std::function<std::size_t()> source) { link_output_ = std::move(source); }
  void update_link_output();
  /// Calls no function of its owner any more. Connections may exist longer than the owner.
  void stop();

 private:
  void review();
  void report();

  timer_service& timers_;
  reporter report_;
  std::shared_ptr<buffer_account> account_;
  read_schedule schedule_;
  std::set<request_reader*> readers_;
  std::function<std::size_t()> link_output_;
  buffer_charge link_charge_;
  refusal_counts refusals_;
  refusal_counts unreported_;
  std::uint64_t last_request_id_ = 0;
  std::size_t large_buffers_ = 0;  ///< Receive buffers that have been enlarged.
  timer_handle review_timer_;
  timer_handle report_timer_;
};

/// The account of a manager; null without one.
[[nodiscard]] inline std::shared_ptr<buffer_account> account_of(
    const std::shared_ptr<buffer_manager>& buffers) {
  return buffers == nullptr ? nullptr : buffers->account();
}

}  // namespace crocusdoor
