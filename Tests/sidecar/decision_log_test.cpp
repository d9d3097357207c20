#include "sidecar/decision_log.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <sstream>

namespace crocusdoor {

namespace {

/// A pipe whose reading end is read only by calls of `read_lines`.
class on_demand_reader {
 public:
  on_demand_reader() { REQUIRE(::pipe(ends_.data()) == 0); }
  ~on_demand_reader() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  on_demand_reader(const on_demand_reader&) = delete;
  on_demand_reader& operator=(const on_demand_reader&) = delete;

  [[nodiscard]] int writing_end() const { return ends_[1]; }

  std::vector<nlohmann::json> read_lines() {
    std::string text(1'000'000, '\0');
    const ssize_t size = ::read(ends_[0], text.data(), text.size());
    std::istringstream stream(text.substr(0, static_cast<std::size_t>(std::max<ssize_t>(size, 0))));
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace

TEST_CASE("a log line is one JSON object with stable keys", "[sidecar]") {
  event_loop loop;
  on_demand_reader reader;
  decision_log log(loop, "one", {log_level::info, 50}, reader.writing_end());
  log.info("request_ended", {{"request", "a\"\n\xff"}, {"status", 503}});
  const auto lines = reader.read_lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "request_ended");
  CHECK(lines[0]["instance"] == "one");
  CHECK(lines[0]["level"] == "info");
  CHECK(lines[0]["status"] == 503);
}

TEST_CASE("logging stays within its line limit and never blocks", "[sidecar]") {
  event_loop loop;
  on_demand_reader reader;
  SECTION("routine lines beyond the limit are dropped and counted, warnings are kept") {
    decision_log log(loop, "one", {log_level::info, 5}, reader.writing_end());
    for (int i = 0; i < 100; ++i) {
      log.info("routine", {});
    }
    log.warning("urgent", {});
    const auto lines = reader.read_lines();
    CHECK(lines.size() == 6);
    CHECK(lines.back()["event"] == "urgent");
    CHECK(lines.back()["lines_dropped"] == 95);
  }
  SECTION("lines about requests do not displace lines about the state of the process") {
    decision_log log(loop, "one", {log_level::info, 5}, reader.writing_end());
    for (int i = 0; i < 100; ++i) {
      log.request(log_level::info, "request_ended", {});
      log.request(log_level::warning, "request_ended", {});
    }
    log.info("configuration_adopted", {});
    const auto lines = reader.read_lines();
    CHECK(lines.size() == 11);
    CHECK(lines.back()["event"] == "configuration_adopted");
  }
  SECTION("lines are dropped while the reader does not read") {
    decision_log log(loop, "one", {log_level::info, 100'000}, reader.writing_end());
    const std::string filler(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) {
      log.info("routine", {{"filler", filler}});
    }
    CHECK(log.dropped() > 0);
  }
  SECTION("lines below the level are not written") {
    decision_log log(loop, "one", {log_level::error, 50}, reader.writing_end());
    log.warning("routine", {});
    log.error("urgent", {});
    CHECK(reader.read_lines().size() == 1);
  }
}

}  // namespace crocusdoor
