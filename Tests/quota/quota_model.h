#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "quota/quota_account.h"
#include "quota/quota_pool.h"

namespace crocusdoor {

/// Daemons that exchange reports and grants over links that delay and lose messages, on a virtual
/// clock. Checks after each admitted request that no window has more of them than the limit.
class quota_model {
 public:
  quota_model(std::size_t daemons, std::vector<mesh_workspace> workspaces, std::uint64_t seed);

  /// Requests of a workspace at each of the first `daemons`, a second.
  struct demand {
    std::size_t workspace = 0;
    std::size_t daemons = 0;
    double rate_per_s = 0;
  };
  struct result {
    int requests = 0;
    int admitted = 0;
    [[nodiscard]] double share() const { return static_cast<double>(admitted) / requests; }
  };

  /// Lets time pass with these demands. `disturb` is called each 100 ms.
  void run(duration span, const std::vector<demand>& demands,
           const std::function<void()>& disturb = nullptr);

  void kill(std::size_t daemon);
  void start(std::size_t daemon);
  /// Puts a daemon into a group; only daemons of the same group reach each other.
  void set_group(std::size_t daemon, int group);
  /// Changes the configuration; each daemon adopts it within `spread`.
  void configure(std::vector<mesh_workspace> workspaces, duration spread);

  /// Counts the results of each workspace from here on.
  void reset_results() { results.clear(); }

  random_source random;
  time_point now{std::chrono::seconds(1'000)};
  duration delay = std::chrono::milliseconds(1);
  duration jitter = std::chrono::milliseconds(2);
  double loss = 0;
  std::map<std::size_t, result> results;
  int over_limit = 0;  ///< Admitted requests that exceeded the limit of a window.
  int messages = 0;

 private:
  struct waiting_request {
    std::size_t workspace = 0;
    time_point until;
  };
  struct node {
    bool alive = false;
    int group = 0;
    std::uint64_t process = 0;
    std::uint64_t version = 0;
    std::unique_ptr<quota_account> account;
    std::unique_ptr<quota_pool> pool;
    std::vector<instance_name> coordinators;
    std::deque<waiting_request> waiting;
  };

  void adopt(node& self);
  void request(std::size_t daemon, std::size_t workspace);
  void admitted(std::size_t workspace);
  void serve_waiting(node& self);
  void report(std::size_t daemon);
  void send(std::size_t from, std::size_t to, std::function<void(node&)> deliver);
  void choose_coordinators();
  [[nodiscard]] static instance_name name_of(std::size_t daemon);

  std::vector<node> nodes_;
  std::map<instance_name, std::size_t> indices_;
  std::vector<mesh_workspace> workspaces_;
  std::vector<double> limits_;
  time_point limits_from_{};  ///< Windows that begin earlier are not checked.
  std::uint64_t version_ = 1;
  std::uint64_t processes_ = 0;
  std::map<std::size_t, std::deque<time_point>> admitted_;
  std::multimap<time_point, std::function<void()>> events_;
};

}  // namespace crocusdoor
