#include "sidecar/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace crocusdoor {

namespace {

constexpr duration budget_period = std::chrono::seconds(1);

}  // namespace

decision_log::decision_log(const timer_service& clock, std::string instance,
                           const sidecar_log_settings& settings, int descriptor)
    : clock_(clock), instance_(std::move(instance)), settings_(settings), descriptor_(descriptor) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

bool decision_log::within_budget(topic subject, log_level level) {
  const time_point now = clock_.now();
  if (now - period_start_ >= budget_period) {
    period_start_ = now;
    state_lines_ = {};
    request_lines_ = {};
  }
  line_counts& counts = subject == topic::state ? state_lines_ : request_lines_;
  std::int32_t& lines = level == log_level::info ? counts.routine : counts.urgent;
  return lines++ < settings_.lines_per_s;
}

void decision_log::write(topic subject, log_level level, const char* event,
                         std::initializer_list<log_item> items) {
  if (level < settings_.minimum_level) {
    return;
  }
  if (!within_budget(subject, level)) {
    ++dropped_;
    return;
  }
  nlohmann::ordered_json line;
  line["at_ms"] = event_loop::wall_now().time_since_epoch().count();
  line["level"] = std::string(to_string(level));
  line["event"] = event;
  line["instance"] = instance_;
  for (const log_item& item : items) {
    line[item.key] = item.value;
  }
  if (dropped_ > dropped_reported_) {
    line["lines_dropped"] = dropped_ - dropped_reported_;
  }
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  const ssize_t written = ::write(descriptor_, text.data(), text.size());
  if (written == static_cast<ssize_t>(text.size())) {
    dropped_reported_ = dropped_;
  } else {
    ++dropped_;
  }
}

}  // namespace crocusdoor
