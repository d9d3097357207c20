// Runs the measures M3, M4 and M5 of the design page on a virtual clock.
// Usage: load_benchmark [--check] [measure [deployment [first seed]]]
// Prints a table row and a JSON line for each figure. With --check the exit status is 1 if any seed
// misses a bound.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_measures.h"

namespace crocusdoor::load_benchmark {

namespace {

constexpr std::uint64_t seed_count = 5;

/// The values of one figure, one for each seed.
struct figure_series {
  figure description;
  std::vector<double> values;

  [[nodiscard]] double median() const {
    std::vector<double> sorted = values;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
  }
  [[nodiscard]] double minimum() const { return *std::min_element(values.begin(), values.end()); }
  [[nodiscard]] double maximum() const { return *std::max_element(values.begin(), values.end()); }
  [[nodiscard]] bool within_bound() const {
    return description.larger_is_better ? minimum() >= description.bound
                                        : maximum() <= description.bound;
  }
};

std::vector<figure_series> run_seeds(const std::string& name, const deployment& site,
                                     const load_rules& rules, std::uint64_t first_seed) {
  std::vector<std::future<std::vector<figure>>> runs;
  for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
    runs.push_back(std::async(std::launch::async, measure, name, site, rules, seed));
  }
  std::vector<figure_series> result;
  for (auto& pending_run : runs) {
    const std::vector<figure> figures = pending_run.get();
    result.resize(figures.size());
    for (std::size_t i = 0; i < figures.size(); ++i) {
      result[i].description = figures[i];
      result[i].values.push_back(figures[i].value);
    }
  }
  return result;
}

void print(const std::string& name, const deployment& site, const figure_series* baseline,
           const figure_series& measured) {
  const bool met = measured.within_bound();
  std::printf("%-13s %-7s %-21s %10.3f %10.3f [%.3f..%.3f] %s %.2f %s\n", name.c_str(),
              site.name.c_str(), measured.description.name.c_str(),
              baseline != nullptr ? baseline->median() : NAN, measured.median(), measured.minimum(),
              measured.maximum(),
              measured.description.larger_is_better ? ">=" : "<=", measured.description.bound,
              met ? "met" : "MISSED");
  nlohmann::json line = {{"measure", name},
                         {"deployment", site.name},
                         {"figure", measured.description.name},
                         {"ours", measured.median()},
                         {"bound", measured.description.bound},
                         {"larger_is_better", measured.description.larger_is_better},
                         {"spread", {measured.minimum(), measured.maximum()}},
                         {"met", met}};
  if (baseline != nullptr) {
    line["baseline"] = baseline->median();
    line["baseline_spread"] = {baseline->minimum(), baseline->maximum()};
    line["ratio"] = baseline->median() == 0
                        ? nlohmann::json(nullptr)
                        : nlohmann::json(measured.median() / baseline->median());
  }
  std::printf("%s\n", line.dump().c_str());
}

// The bounds apply to the default rules only. A check therefore skips the baseline and its long
// queues.
bool run(const std::string& name, const deployment& site, bool check, std::uint64_t first_seed) {
  const auto with_defaults = run_seeds(name, site, default_rules(site), first_seed);
  const auto baseline = check ? std::vector<figure_series>()
                              : run_seeds(name, site, baseline_rules(site), first_seed);
  bool met = !with_defaults.empty();
  for (std::size_t i = 0; i < with_defaults.size(); ++i) {
    print(name, site, check ? nullptr : &baseline[i], with_defaults[i]);
    met = met && with_defaults[i].within_bound();
  }
  return met;
}

}  // namespace

}  // namespace crocusdoor::load_benchmark

int main(int count, char** values) {
  using namespace crocusdoor::load_benchmark;
  std::vector<std::string> arguments(values + 1, values + count);
  const bool check = !arguments.empty() && arguments.front() == "--check";
  if (check) {
    arguments.erase(arguments.begin());
  }
  std::vector<std::string> names{"M3", "M4", "M4-own-route", "M5"};
  if (!arguments.empty()) {
    names = {arguments.front()};
  }
  std::printf("%-13s %-7s %-21s %10s %10s [spread over %d seeds] bound\n", "measure", "sizes",
              "figure", "baseline", "ours", static_cast<int>(seed_count));
  const std::uint64_t first_seed = arguments.size() < 3 ? 1 : std::stoull(arguments[2]);
  bool met = true;
  for (const std::string& name : names) {
    for (const deployment& site : deployments()) {
      if (arguments.size() < 2 || arguments[1] == site.name) {
        met = run(name, site, check, first_seed) && met;
      }
    }
  }
  return check && !met ? 1 : 0;
}
