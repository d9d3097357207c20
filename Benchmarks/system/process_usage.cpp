#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace crocusdoor::benchmark {

process_usage read_usage(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string line;
  std::getline(file, line);
  // Field 2, the command name, may contain spaces, so the numbered fields are read from field 3 on,
  // after its closing parenthesis.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string ignored;
  for (int field = 3; field < 14; ++field) {
    fields >> ignored;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  for (int field = 16; field < 24; ++field) {
    fields >> ignored;
  }
  double resident_pages = 0;
  fields >> resident_pages;
  process_usage usage;
  usage.cpu_s = (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_mb = resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

}  // namespace crocusdoor::benchmark
