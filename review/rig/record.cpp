#include "record.h"

#include <iomanip>

namespace review {

milliseconds record::elapsed() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - start_);
}

void record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << std::setw(7) << elapsed().count() << " " << text << "\n" << std::flush;
}

void record::ran(const std::string& attempt) {
  const std::lock_guard lock(mutex_);
  runs_.insert(attempt);
}

bool record::has_run(const std::string& attempt) {
  const std::lock_guard lock(mutex_);
  return runs_.contains(attempt);
}

}  // namespace review
