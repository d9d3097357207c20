#include <getopt.h>
#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "platform/contract.h"
#include "platform/object_store.h"
#include "platform/rollout_client.h"
#include "sidecar/sidecar_daemon.h"
#include "sidecar/sidecar_settings.h"

namespace {

constexpr int exit_cannot_start = 1;
constexpr int exit_bad_input = 2;

constexpr const char* usage =
    "usage: crocusdoor-sidecar --settings FILE [--check]\n"
    "       crocusdoor-sidecar --help | --version\n"
    "\n"
    "  -s, --settings FILE   settings of this instance, JSON with comments\n"
    "  -c, --check           check the settings and exit\n"
    "  -h, --help            print this text\n"
    "  -V, --version         print the version\n"
    "\n"
    "exit codes: 0 stopped in order, 1 cannot start, 2 wrong usage or settings\n";

struct arguments {
  std::string settings_file;
  bool check_only = false;
  std::optional<int> exit_code;  ///< Set if the program exits without running the daemon.
};

arguments parse_arguments(int argc, char** argv) {
  constexpr option long_options[] = {{"settings", required_argument, nullptr, 's'},
                                     {"check", no_argument, nullptr, 'c'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {"version", no_argument, nullptr, 'V'},
                                     {nullptr, 0, nullptr, 0}};
  arguments result;
  int option_char = 0;
  while ((option_char = getopt_long(argc, argv, "s:chV", long_options, nullptr)) != -1) {
    switch (option_char) {
      case 's':
        result.settings_file = optarg;
        break;
      case 'c':
        result.check_only = true;
        break;
      case 'h':
        std::cout << usage;
        result.exit_code = 0;
        return result;
      case 'V':
        std::cout << "crocusdoor-sidecar " << CROCUSDOOR_VERSION << "\n";
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

crocusdoor::leaf::result<crocusdoor::sidecar_settings> read_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return crocusdoor::leaf::new_error(
        crocusdoor::failure{crocusdoor::error_code::not_found, "the file cannot be read"});
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return crocusdoor::parse_sidecar_settings(text);
}

void reload(crocusdoor::sidecar_daemon& daemon, const std::string& path) {
  crocusdoor::handle_failure(
      [&]() -> crocusdoor::leaf::result<void> {
        BOOST_LEAF_AUTO(options, read_settings(path));
        daemon.reload(options);
        return {};
      },
      [&](const crocusdoor::failure& error) {
        daemon.log().error("settings_refused", {{"path", path}, {"reason", error.message}});
      });
}

int run(const crocusdoor::sidecar_settings& options, const std::string& path) {
  crocusdoor::event_loop loop;
  try {
    crocusdoor::sidecar_daemon daemon(
        loop, options, crocusdoor::platform::make_contract(),
        std::make_unique<crocusdoor::platform::object_store>(loop, options.store),
        std::make_unique<crocusdoor::platform::rollout_client>(loop, options.store));
    loop.on_signal(SIGTERM, [&] { daemon.begin_stop(); });
    loop.on_signal(SIGINT, [&] { daemon.begin_stop(); });
    loop.on_signal(SIGHUP, [&] { reload(daemon, path); });
    daemon.start();
    loop.run();
  } catch (const std::exception& error) {
    std::cerr << "cannot start: " << error.what() << "\n";
    return exit_cannot_start;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments parsed = parse_arguments(argc, argv);
  if (parsed.exit_code.has_value()) {
    return *parsed.exit_code;
  }
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::WARNING;
  google::InitGoogleLogging(argv[0]);
  return crocusdoor::handle_failure(
      [&]() -> crocusdoor::leaf::result<int> {
        BOOST_LEAF_AUTO(options, read_settings(parsed.settings_file));
        if (parsed.check_only) {
          std::cout << parsed.settings_file << ": valid\n";
          return 0;
        }
        return run(options, parsed.settings_file);
      },
      [&](const crocusdoor::failure& error) {
        std::cerr << parsed.settings_file << ":\n" << error.message << "\n";
        return exit_bad_input;
      });
}
