#include <fstream>
#include <sstream>

#include "stand_ins/caller.h"
#include "stand_ins/control_document.h"
#include "stand_ins/stand_in_main.h"

namespace {

using namespace crocusdoor;

std::string read_input(const std::string& name) {
  std::ostringstream text;
  if (name == "-") {
    text << std::cin.rdbuf();
  } else {
    std::ifstream file(name);
    text << file.rdbuf();
  }
  return text.str();
}

leaf::result<stand_ins::caller_plan> read_plan(const std::string& name) {
  BOOST_LEAF_AUTO(plan,
                  stand_ins::parse_control_document<stand_ins::caller_plan>(read_input(name)));
  if (plan.daemons.empty() || plan.mix.empty()) {
    return leaf::new_error(
        failure{error_code::invalid, "a plan needs at least one daemon and one request"});
  }
  return plan;
}

int send_all(const stand_ins::caller_plan& plan) {
  event_loop loop;
  stand_ins::caller sender(loop, plan, [&loop](const stand_ins::caller_statistics& statistics) {
    std::cout << stand_ins::to_json(statistics).dump(2) << "\n";
    loop.stop();
  });
  sender.start();
  loop.run();
  return 0;
}

int run(const std::vector<std::string>& arguments) {
  const std::vector<option_description> accepted = {{"help", "", "print this text"}};
  parsed_options options = parse_options(accepted, arguments);
  if (options.arguments.size() != 1 && !options.has("help")) {
    options.problems.emplace_back("expected one plan file, or - for standard input");
  }
  int exit_code = 0;
  if (!stand_ins::check_command_line(options, accepted, "crocusdoor_caller_stand_in PLAN",
                                     exit_code)) {
    return exit_code;
  }
  return handle_failure(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(plan, read_plan(options.arguments.front()));
        return send_all(plan);
      },
      [](const failure& error) {
        std::cerr << error.message << "\n";
        return 2;
      });
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
