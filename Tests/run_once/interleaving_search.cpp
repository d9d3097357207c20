#include <algorithm>

#include "core/random_source.h"
#include "interleaving_model.h"

namespace crocusdoor::testing {

namespace {

class search {
 public:
  explicit search(const model_options& options) : options_(options) {}

  model_result run() {
    interleaving_world world(options_);
    world.start_first_owner();
    visit(world, options_.depth);
    std::reverse(result_.trace.begin(), result_.trace.end());
    result_.states = visited_.size();
    return result_;
  }

 private:
  /// Returns true if a violation ends the search.
  bool visit(const interleaving_world& world, std::size_t depth_left) {
    if (!visited_.insert(world.state_digest()).second) {
      return false;
    }
    result_.longest_path = std::max(result_.longest_path, options_.depth - depth_left);
    if (visited_.size() > options_.state_limit || depth_left == 0) {
      result_.complete = false;
      return false;
    }
    for (const model_step& step : world.steps()) {
      interleaving_world next = world;
      next.apply(step);
      ++result_.steps;
      for (const auto& [decision, count] : next.decisions()) {
        result_.decisions[decision] += static_cast<std::size_t>(count);
      }
      if (!next.violation().empty()) {
        result_.violation = next.violation();
        result_.trace.push_back(step.text());
        return true;
      }
      if (visit(next, depth_left - 1)) {
        result_.trace.push_back(step.text());
        return true;
      }
    }
    return false;
  }

  model_options options_;
  std::unordered_set<std::uint64_t> visited_;
  model_result result_;
};

}  // namespace

model_result explore(const model_options& options) {
  return search(options).run();
}

model_result random_run(const model_options& options, std::uint64_t seed) {
  random_source random(seed);
  interleaving_world world(options);
  world.start_first_owner();
  model_result result;
  while (result.steps < options.depth && world.violation().empty()) {
    const std::vector<model_step> steps = world.steps();
    if (steps.empty()) {
      break;
    }
    const model_step& step = steps[random.index(steps.size())];
    world.apply(step);
    result.trace.push_back(step.text());
    ++result.steps;
  }
  world.recover();
  result.violation = world.violation();
  for (const auto& [decision, count] : world.decisions()) {
    result.decisions[decision] = static_cast<std::size_t>(count);
  }
  return result;
}

}  // namespace crocusdoor::testing
