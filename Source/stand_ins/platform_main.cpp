#include "stand_ins/platform_server.h"
#include "stand_ins/stand_in_main.h"

namespace {

using namespace crocusdoor;

int run(const std::vector<std::string>& arguments) {
  const std::vector<option_description> accepted = {
      {"port", "N", "port on 127.0.0.1; 0 takes a free one (default)"},
      {"help", "", "print this text"}};
  parsed_options options = parse_options(accepted, arguments);
  const auto port = options.number("port", 0, 0, 65'535);
  int exit_code = 0;
  if (!stand_ins::check_command_line(options, accepted, "crocusdoor_platform_stand_in --port N",
                                     exit_code)) {
    return exit_code;
  }
  event_loop loop;
  const stand_ins::platform_server server(loop, {"127.0.0.1", static_cast<std::uint16_t>(port)});
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
