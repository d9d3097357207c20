// Runs random scenarios of the configuration model with many seeds: configuration_sweep FIRST LAST

#include "configuration_model.h"
#include "sweep.h"

namespace {

std::string problem_of(const crocusdoor::configuration_model& model) {
  const auto& late = model.late();
  if (!late.has_value()) {
    return "";
  }
  std::string text = late->instance.str() + " had version " + std::to_string(late->current) +
                     " instead of " + std::to_string(late->expected) + ", at " +
                     std::to_string(crocusdoor::to_ms(late->seen_at)) + " ms after:";
  for (const std::string& fault : model.faults()) {
    text += " " + fault + ";";
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  return crocusdoor::sweep<crocusdoor::configuration_model>(argc, argv, problem_of);
}
