#include "command_line/options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>

namespace crocusdoor {

namespace {

constexpr std::size_t help_column = 32;

std::vector<option> getopt_table(const std::vector<option_description>& accepted) {
  std::vector<option> table;
  for (std::size_t i = 0; i < accepted.size(); ++i) {
    const int argument = accepted[i].value_name.empty() ? no_argument : required_argument;
    table.push_back({accepted[i].name.c_str(), argument, nullptr, static_cast<int>(i) + 1});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

}  // namespace

std::string parsed_options::value(const std::string& name, const std::string& fallback) const {
  const auto found = values.find(name);
  return found == values.end() ? fallback : found->second.back();
}

std::int64_t parsed_options::number(const std::string& name, std::int64_t fallback,
                                    std::int64_t minimum, std::int64_t maximum) {
  const auto found = values.find(name);
  if (found == values.end()) {
    return fallback;
  }
  const std::string& text = found->second.back();
  std::int64_t result = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), result);
  const bool is_number = error == std::errc{} && end == text.data() + text.size();
  if (!is_number || result < minimum || result > maximum) {
    problems.push_back("--" + name + ": expected a whole number from " + std::to_string(minimum) +
                       " to " + std::to_string(maximum) + ", found \"" + text + "\"");
    return fallback;
  }
  return result;
}

parsed_options parse_options(const std::vector<option_description>& accepted,
                             const std::vector<std::string>& arguments, option_order order) {
  const std::vector<option> table = getopt_table(accepted);
  std::vector<std::string> storage = arguments;
  storage.insert(storage.begin(), "program");
  std::vector<char*> pointers;
  pointers.reserve(storage.size() + 1);
  for (std::string& text : storage) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);

  parsed_options result;
  const int count = static_cast<int>(storage.size());
  // With a leading colon, getopt_long returns ':' for a missing value and '?' for an unknown
  // option.
  const char* short_options = order == option_order::before_arguments ? "+:" : ":";
  optind = 0;
  opterr = 0;
  int found = 0;
  while ((found = getopt_long(count, pointers.data(), short_options, table.data(), nullptr)) !=
         -1) {
    if (found == '?') {
      result.problems.push_back(std::string("unknown option or unexpected value: ") +
                                pointers[static_cast<std::size_t>(optind - 1)]);
    } else if (found == ':') {
      result.problems.push_back(std::string(pointers[static_cast<std::size_t>(optind - 1)]) +
                                " needs a value");
    } else {
      const option_description& description = accepted[static_cast<std::size_t>(found - 1)];
      result.values[description.name].emplace_back(optarg != nullptr ? optarg : "");
    }
  }
  for (int i = optind; i < count; ++i) {
    result.arguments.emplace_back(pointers[static_cast<std::size_t>(i)]);
  }
  return result;
}

std::string option_help(const std::vector<option_description>& accepted) {
  std::string text;
  for (const option_description& description : accepted) {
    std::string line = "  --" + description.name;
    if (!description.value_name.empty()) {
      line += " " + description.value_name;
    }
    const std::size_t padding = line.size() < help_column ? help_column - line.size() : 1;
    text += line + std::string(padding, ' ') + description.help + "\n";
  }
  return text;
}

}  // namespace crocusdoor
