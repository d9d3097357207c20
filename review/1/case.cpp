// An upstream gives one in fifty of its answers a body without end. The platform kills a sidecar
// that exceeds its memory, and clients beside it lose requests that sound upstreams run.

#include <atomic>
#include <mutex>

#include "../rig/mesh.h"

namespace {

using namespace review;

constexpr const char* spoilt_service = "lookups";
constexpr const char* sound_service = "certificates";
constexpr std::size_t spoilt_machine = 1;
constexpr std::size_t lookup_machine = 0;
constexpr int endless_every = 50;
constexpr long memory_limit_kib = 110L * 1'024;
constexpr milliseconds start_limit{20'000};
constexpr milliseconds duration{5'500};
constexpr milliseconds restart_delay{500};
constexpr milliseconds memory_interval{5};
constexpr milliseconds lookup_interval{10};
constexpr milliseconds deadline{1'000};
constexpr int lookup_clients = 10;
constexpr int certificate_clients = 6;
constexpr int lost_allowed = 3;

/// Sends requests over kept connections. Counts those that were passed on from a kept connection
/// whose end came before the answer.
class certificate_client {
 public:
  certificate_client(record& log, endpoint outbound, int number)
      : log_(log), outbound_(std::move(outbound)), name_("certificate-" + std::to_string(number)) {}

  void run(const std::atomic<bool>& over) {
    for (int number = 0; !over; ++number) {
      send(name_ + "-" + std::to_string(number));
    }
  }
  [[nodiscard]] int lost() const { return lost_; }

 private:
  void send(const std::string& id) {
    const client_request request{"PUT", "m.example", "/certificates/" + id, id, deadline, "body"};
    if (link_ == nullptr) {
      link_ = connection::open(outbound_);
      served_ = 0;
    }
    if (link_ == nullptr) {
      std::this_thread::sleep_for(memory_interval);
      return;
    }
    link_->set_read_timeout(deadline * 2);
    http_message response;
    const auto sent_at = steady::now();
    if (link_->write(request.text()) && link_->read(response)) {
      ++served_;
      if (response.header("Connection") == "close") {
        link_ = nullptr;
      }
      return;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(steady::now() - sent_at);
    log_.line("client: " + id + " lost after " + std::to_string(waited.count()) + " ms, " +
              std::to_string(served_) + " requests of its connection were answered before");
    lost_ += served_ > 0 && waited < deadline && log_.has_run(id) ? 1 : 0;
    link_ = nullptr;
  }

  record& log_;
  endpoint outbound_;
  std::string name_;
  std::unique_ptr<connection> link_;
  int served_ = 0;
  int lost_ = 0;
};

/// Kills the sidecars that exceed their memory and starts them again, as the platform does.
void enforce_memory_limit(record& log, mesh& deployment) {
  for (std::size_t index = 0; index < deployment.size(); ++index) {
    const long used = deployment.node(index).memory_kib();
    if (used > memory_limit_kib) {
      log.line("platform: the sidecar of m" + std::to_string(index) + " uses " +
               std::to_string(used) + " KiB");
      deployment.node(index).kill();
      std::this_thread::sleep_for(restart_delay);
      deployment.node(index).start();
    }
  }
}

int play(record& log) {
  mesh deployment(log, {spoilt_service, spoilt_service, sound_service, sound_service});
  upstream_options pattern;
  pattern.work = milliseconds(150);
  const nlohmann::json routes = nlohmann::json::array(
      {route("lookup", "m.example", "/lookups/", "safe", deadline, spoilt_service),
       route("issue", "m.example", "/certificates/", "unsafe", deadline, sound_service)});
  deployment.start(configuration(1, routes, {spoilt_service, sound_service}), pattern);
  const client_request lookup{"GET", "m.example", "/lookups/start", "start", deadline, ""};
  if (!deployment.wait_until_serving(lookup, start_limit)) {
    return could_not_run;
  }
  deployment.spoil_target(spoilt_machine, with_trouble() ? endless_every : 0);
  std::this_thread::sleep_for(bounds::contact);
  std::atomic<bool> over = false;
  std::vector<std::thread> threads;
  threads.reserve(lookup_clients + certificate_clients);
  for (int number = 0; number < lookup_clients; ++number) {
    threads.emplace_back([&, number] {
      for (int sent = 0; !over; ++sent) {
        const std::string id = "lookup-" + std::to_string(number) + "-" + std::to_string(sent);
        (void)deployment.send(lookup_machine,
                              {"GET", "m.example", "/lookups/" + id, id, deadline, ""});
        std::this_thread::sleep_for(lookup_interval);
      }
    });
  }
  std::vector<certificate_client> clients;
  clients.reserve(certificate_clients);
  const endpoint outbound = deployment.host(spoilt_machine).address(ports::outbound);
  for (int number = 0; number < certificate_clients; ++number) {
    certificate_client& client = clients.emplace_back(log, outbound, number);
    threads.emplace_back([&client, &over] { client.run(over); });
  }
  const auto end = steady::now() + duration;
  while (steady::now() < end) {
    enforce_memory_limit(log, deployment);
    std::this_thread::sleep_for(memory_interval);
  }
  over = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  int lost = 0;
  for (const certificate_client& client : clients) {
    lost += client.lost();
  }
  log.line("requests passed on from kept connections and never answered: " + std::to_string(lost));
  return lost > lost_allowed ? rule_broken : rule_held;
}

}  // namespace

int main(int count, char** values) {
  return review::run_case(count, values, play);
}
