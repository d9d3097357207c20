#include "command_line/command.h"
#include "command_line/text_output.h"
#include "configuration/plan.h"

namespace crocusdoor::command_line {

namespace {

constexpr std::chrono::milliseconds poll_interval{200};
constexpr std::int64_t max_wait_ms = 3'600'000;

void print_conflict(const command_context& context, const json& body) {
  for (const json& change : entries_of(body, "changed_since")) {
    context.streams.err << "version " << number_of(change, "version") << " by "
                        << text_of(change, "operator") << ": " << text_of(change, "reason") << "\n";
    for (const json& sentence : entries_of(change, "sentences")) {
      context.streams.err << "  " << value_text("", sentence) << "\n";
    }
  }
}

exit_code report_refusal(const command_context& context, const api_response& response) {
  const exit_code result = context.report_failure(response);
  if (result == exit_code::conflict && !context.json_output) {
    print_conflict(context, response.body);
    context.streams.err << "Nothing was changed by this plan. Make a new plan.\n";
  } else if (result == exit_code::unreachable && response.outcome != http_outcome::not_sent) {
    context.streams.err << "It is not known whether the plan was confirmed. Confirm it again: a "
                           "plan takes effect at most once.\n";
  }
  return result;
}

/// Polls the status until the version is current on every live instance, or the limit has passed. A
/// failed status call does not end the wait.
exit_code wait_until_in_force(command_context& context, std::uint64_t version,
                              std::chrono::milliseconds wait_limit) {
  const time_point deadline = context.loop.now() + wait_limit;
  api_response status;
  do {
    status = context.api.call("GET", "/v1/status");
    const bool in_force = status.ok() && number_of(status.body, "version") >= version &&
                          flag_of(status.body, "in_force");
    if (in_force) {
      return exit_code::done;
    }
    context.api.pause(poll_interval);
  } while (context.loop.now() < deadline);
  if (!status.arrived()) {
    return context.report_failure(status);
  }
  context.streams.err << "Version " << version << " is confirmed but not in force everywhere after "
                      << wait_limit.count() << " ms; see \"crocusdoor status\".\n";
  return exit_code::refused;
}

exit_code confirm(command_context& context, const std::string& text,
                  std::chrono::milliseconds wait_limit) {
  const api_response response = context.api.call("POST", "/v1/confirmations", text);
  if (!response.ok()) {
    return report_refusal(context, response);
  }
  const std::uint64_t version = number_of(response.body, "version");
  const bool repeated = flag_of(response.body, "already_confirmed");
  json result = response.body;
  exit_code code = exit_code::done;
  if (context.options.has("wait")) {
    code = wait_until_in_force(context, version, wait_limit);
    result["in_force"] = code == exit_code::done;
  }
  if (context.json_output) {
    context.print_json(result);
    return code;
  }
  context.streams.out << (repeated ? "Already confirmed as version " : "Confirmed as version ")
                      << version << ".\n";
  if (context.options.has("wait") && code == exit_code::done) {
    context.streams.out << "In force on every live instance.\n";
  }
  return code;
}

exit_code run_confirm(command_context& context) {
  if (context.options.arguments.size() != 1) {
    return context.usage_error("expected one plan file, or - for standard input");
  }
  const auto wait_limit =
      std::chrono::milliseconds(context.options.number("wait-ms", 30'000, 1, max_wait_ms));
  if (!context.options.problems.empty()) {
    return context.usage_error(context.options.problems.front());
  }
  const std::string name = context.options.arguments.front();
  std::string text;
  const exit_code checked = handle_failure(
      [&]() -> leaf::result<exit_code> {
        BOOST_LEAF_ASSIGN(text, read_input(name, context.streams.in));
        BOOST_LEAF_CHECK(parse_plan(text));
        return exit_code::done;
      },
      [&](const failure& error) { return context.report_bad_input(name, error); });
  return checked == exit_code::done ? confirm(context, text, wait_limit) : checked;
}

}  // namespace

command confirm_command() {
  return {"confirm",
          "PLAN-FILE",
          "Put a plan into force.",
          {{"wait", "", "wait until every live instance holds the version"},
           {"wait-ms", "N", "longest wait (default 30000)"}},
          &run_confirm};
}

}  // namespace crocusdoor::command_line
