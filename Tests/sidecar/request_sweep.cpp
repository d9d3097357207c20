// Runs random scenarios of the request model with many seeds: request_sweep FIRST LAST

#include "request_model.h"
#include "sweep.h"

namespace {

std::string problem_of(const crocusdoor::request_model& model) {
  const auto& violation = model.violation();
  return violation.has_value() ? violation->description + ", at " +
                                     std::to_string(crocusdoor::to_ms(violation->seen_at)) + " ms"
                               : std::string();
}

}  // namespace

int main(int argc, char** argv) {
  return crocusdoor::sweep<crocusdoor::request_model>(argc, argv, problem_of);
}
