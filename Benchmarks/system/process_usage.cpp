#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace crocusdoor::benchmark {

process_usage read_usage(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  std::getline(file, text);
  // The command name may hold spaces; the numbered fields follow its closing parenthesis.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int field = 3; field < 14; ++field) {
    fields >> skipped;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  for (int field = 16; field < 24; ++field) {
    fields >> skipped;
  }
  double resident_pages = 0;
  fields >> resident_pages;
  process_usage usage;
  usage.cpu_s = (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_mb = resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

}  // namespace crocusdoor::benchmark
