#include <unistd.h>

#include "stand_ins/stand_in_main.h"
#include "stand_ins/target_server.h"

namespace {

using namespace crocusdoor;

constexpr int crash_exit_code = 86;

std::vector<option_description> accepted_options() {
  return {{"port", "N", "port on 127.0.0.1; 0 takes a free one (default)"},
          {"slots", "N", "requests that run at the same time (default 1)"},
          {"service", "NAME", "name of the service"},
          {"name", "NAME", "name of the target"},
          {"service-time-ms", "MEAN", "mean service time (default 0)"},
          {"straggler-percent", "N", "share of requests that run 50 times longer"},
          {"cold-start-ms", "N", "time after the start in which work is 10 times slower"},
          {"seed", "N", "seed of the service times"},
          {"help", "", "print this text"}};
}

int run(const std::vector<std::string>& arguments) {
  const std::vector<option_description> accepted = accepted_options();
  parsed_options options = parse_options(accepted, arguments);
  constexpr std::int64_t hour_ms = 3'600'000;
  const auto port = options.number("port", 0, 0, 65'535);
  stand_ins::target_options target;
  target.service = options.value("service", "service");
  target.name = options.value("name", target.service + "-" + std::to_string(port));
  target.slots = static_cast<std::int32_t>(options.number("slots", 1, 1, 10'000));
  target.service_time = std::chrono::milliseconds(options.number("service-time-ms", 0, 0, hour_ms));
  target.straggler_percent =
      static_cast<std::int32_t>(options.number("straggler-percent", 0, 0, 100));
  target.cold_start = std::chrono::milliseconds(options.number("cold-start-ms", 0, 0, hour_ms));
  target.seed = static_cast<std::uint64_t>(options.number("seed", 1, 0, 1'000'000'000));
  target.on_crash = [] { _exit(crash_exit_code); };
  int exit_code = 0;
  if (!stand_ins::check_command_line(options, accepted,
                                     "crocusdoor_target_stand_in --port N --slots N --service NAME",
                                     exit_code)) {
    return exit_code;
  }
  event_loop loop;
  const stand_ins::target_server server(loop, {"127.0.0.1", static_cast<std::uint16_t>(port)},
                                        target);
  stand_ins::serve(loop, server.port());
  return 0;
}

}  // namespace

int main(int count, char** values) {
  try {
    return run({values + 1, values + count});
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
