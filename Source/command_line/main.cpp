#include <exception>
#include <iostream>

#include "command_line/command.h"

int main(int count, char** values) {
  using namespace crocusdoor;
  try {
    event_loop loop;
    return static_cast<int>(command_line::run_command_line({values + 1, values + count}, loop,
                                                           {std::cin, std::cout, std::cerr}));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(command_line::exit_code::unreachable);
  }
}
