#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/// A stand-in of the platform's metadata store. Each machine reaches it at an address of its own,
/// so that it can turn single machines away.
class store {
 public:
  store(record& log, const std::vector<endpoint>& addresses);
  ~store();
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  /// Writes the configuration as an operator does; the return is the acknowledgement.
  void write_configuration(const nlohmann::json& configuration);
  /// Answers these machines with 503 and serves the others. Their waiting watches are cut off.
  void turn_away(const std::set<std::size_t>& machines);
  /// Machines whose watches are waiting.
  [[nodiscard]] std::set<std::size_t> watching();

 private:
  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool deleted = false;
  };

  std::string answer(std::size_t machine, const http_message& request);
  std::string list(const std::string& kind);
  std::string watch(std::size_t machine, const std::string& kind, std::uint64_t after,
                    milliseconds wait);
  std::string write(const std::string& method, const std::string& kind, const std::string& name,
                    const nlohmann::json& body);
  nlohmann::json& put(const std::string& kind, const std::string& name,
                      const nlohmann::json& content);

  record& log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> kinds_;
  std::vector<event> events_;
  std::set<std::size_t> turned_away_;
  std::multiset<std::size_t> watching_;
  std::vector<std::unique_ptr<http_server>> servers_;
};

}  // namespace review
