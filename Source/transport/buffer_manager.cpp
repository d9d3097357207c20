#include "transport/buffer_manager.h"

#include <utility>
#include <vector>

#include "transport/connection_limit.h"

namespace crocusdoor {

namespace {

/// Time between two decisions while the budget is nearly used.
constexpr duration review_interval = std::chrono::milliseconds(50);
constexpr duration report_interval = std::chrono::seconds(1);
/// The large receive buffers together may hold this fraction of the budget unread.
constexpr std::size_t large_buffer_fraction = 8;

}  // namespace

buffer_manager::buffer_manager(timer_service& timers, std::size_t budget_bytes, reporter report)
    : timers_(timers),
      report_(std::move(report)),
      account_(std::make_shared<buffer_account>(budget_bytes)),
      link_charge_(account_, buffer_kind::links) {}

bool buffer_manager::may_read(const request_reader& reader) {
  check();
  if (!account_->limited()) {
    return true;
  }
  const incomplete_request request = reader.describe();
  return request.bytes <= read_schedule::small_request_bytes || schedule_.has_turn(request.id);
}

void buffer_manager::check() {
  if (account_->limited() && review_timer_ == nullptr) {
    review_timer_ = timers_.after(duration::zero(), [this] { review(); });
  }
}

void buffer_manager::review() {
  review_timer_ = nullptr;
  update_link_output();
  std::map<std::uint64_t, request_reader*> by_id;
  std::vector<incomplete_request> requests;
  for (request_reader* reader : readers_) {
    requests.push_back(reader->describe());
    by_id.emplace(requests.back().id, reader);
  }
  const read_decision decision = schedule_.decide(*account_, std::move(requests), timers_.now());
  for (const std::uint64_t id : decision.silent) {
    by_id.at(id)->refuse_for_memory(memory_refusal::client_silent);
    by_id.erase(id);
  }
  for (const std::uint64_t id : decision.largest) {
    by_id.at(id)->refuse_for_memory(memory_refusal::largest);
    by_id.erase(id);
  }
  bool all_read = true;
  for (const auto& [id, reader] : by_id) {
    const bool may_read = decision.may_read.contains(id);
    reader->set_reading(may_read);
    all_read = all_read && may_read;
  }
  if (account_->limited() || !all_read) {
    review_timer_ = timers_.after(review_interval, [this] { review(); });
  }
}

bool buffer_manager::has_large_buffer() const noexcept {
  const std::size_t limit = account_->budget() / large_buffer_fraction / large_receive_buffer_bytes;
  return large_buffers_ < limit;
}

bool buffer_manager::take_large_buffer() noexcept {
  const bool taken = !account_->limited() && has_large_buffer();
  large_buffers_ += taken ? 1 : 0;
  return taken;
}

void buffer_manager::count_refusal(memory_refusal reason) {
  ++refusals_[reason];
  ++unreported_[reason];
  if (report_timer_ == nullptr && report_) {
    report();
  }
}

void buffer_manager::report() {
  report_timer_ = nullptr;
  if (!unreported_.empty()) {
    report_(std::exchange(unreported_, {}));
    report_timer_ = timers_.after(report_interval, [this] { report(); });
  }
}

void buffer_manager::update_link_output() {
  if (link_output_) {
    link_charge_.set(link_output_());
  }
}

void buffer_manager::stop() {
  report_ = nullptr;
  link_output_ = nullptr;
  report_timer_ = nullptr;
  review_timer_ = nullptr;
}

}  // namespace crocusdoor
