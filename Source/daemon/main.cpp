#include <getopt.h>
#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "daemon/event_log.h"
#include "daemon/mesh_daemon.h"
#include "daemon/settings.h"
#include "transport/event_loop.h"

namespace {

constexpr int exit_bad_input = 2;
constexpr int exit_cannot_start = 1;

constexpr const char* usage =
    "usage: crocusdoord --settings FILE [--check]\n"
    "       crocusdoord --print-defaults | --help | --version\n"
    "\n"
    "  -s, --settings FILE   settings of this instance, JSON with comments\n"
    "  -c, --check           check the settings and exit\n"
    "  -p, --print-defaults  print a commented settings file with all defaults\n"
    "  -h, --help            print this text\n"
    "  -V, --version         print the version\n"
    "\n"
    "exit codes: 0 stopped after a drain, 1 cannot start, 2 wrong usage or settings\n";

struct arguments {
  std::string settings_file;
  bool check_only = false;
  int exit_code = -1;  ///< Not negative if the program ends after parsing the arguments.
};

arguments parse_arguments(int argc, char** argv) {
  constexpr option long_options[] = {
      {"settings", required_argument, nullptr, 's'}, {"check", no_argument, nullptr, 'c'},
      {"print-defaults", no_argument, nullptr, 'p'}, {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},        {nullptr, 0, nullptr, 0}};
  arguments result;
  int option_character = 0;
  while ((option_character = getopt_long(argc, argv, "s:cphV", long_options, nullptr)) != -1) {
    switch (option_character) {
      case 's':
        result.settings_file = optarg;
        break;
      case 'c':
        result.check_only = true;
        break;
      case 'p':
        std::cout << crocusdoor::default_settings_text();
        result.exit_code = 0;
        return result;
      case 'h':
        std::cout << usage;
        result.exit_code = 0;
        return result;
      case 'V':
        std::cout << "crocusdoord " << CROCUSDOOR_VERSION << "\n";
        result.exit_code = 0;
        return result;
      default:
        std::cerr << usage;
        result.exit_code = exit_bad_input;
        return result;
    }
  }
  if (result.settings_file.empty() || optind < argc) {
    std::cerr << usage;
    result.exit_code = exit_bad_input;
  }
  return result;
}

void start_logging(const crocusdoor::settings& options, const char* program) {
  FLAGS_logtostderr = options.log.directory.empty();
  FLAGS_log_dir = options.log.directory;
  FLAGS_minloglevel = static_cast<int>(options.log.minimum_level);
  google::InitGoogleLogging(program);
}

int run(const crocusdoor::settings& options) {
  crocusdoor::event_loop loop;
  try {
    crocusdoor::mesh_daemon daemon(loop, options);
    loop.on_signal(SIGTERM, [&] { daemon.begin_drain(); });
    loop.on_signal(SIGINT, [&] { daemon.begin_drain(); });
    daemon.start();
    loop.run();
  } catch (const std::exception& error) {
    LOG_EVENT(ERROR, "cannot_start") << crocusdoor::field("reason", error.what());
    return exit_cannot_start;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments command_line = parse_arguments(argc, argv);
  if (command_line.exit_code >= 0) {
    return command_line.exit_code;
  }
  std::ifstream file(command_line.settings_file);
  if (!file) {
    std::cerr << command_line.settings_file << ": cannot be read\n";
    return exit_bad_input;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return crocusdoor::handle_failure(
      [&]() -> crocusdoor::leaf::result<int> {
        BOOST_LEAF_AUTO(options, crocusdoor::parse_settings(text));
        if (command_line.check_only) {
          std::cout << command_line.settings_file << ": valid\n";
          return 0;
        }
        start_logging(options, argv[0]);
        return run(options);
      },
      [&](const crocusdoor::failure& error) {
        std::cerr << command_line.settings_file << ":\n" << error.message << "\n";
        return exit_bad_input;
      });
}
