#include "mesh.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <utility>

namespace review {

namespace {

constexpr const char* program = "target/platform/crocusdoor-sidecar";
constexpr const char* settings_template = "deploy/settings.template";
constexpr milliseconds poll_interval{50};
constexpr milliseconds answer_slack{500};
constexpr int status_ok = 200;
constexpr std::size_t first_host = 10;

/// Fills in the placeholders of the template, as the platform does.
std::string fill_in(std::string text, const std::map<std::string, std::string>& fields) {
  for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
    const std::size_t end = text.find("}}", begin);
    std::string name = text.substr(begin + 2, end - begin - 2);
    const bool as_json = name.ends_with("|json");
    name = name.substr(0, name.find('|'));
    const std::string& value = fields.at(name);
    text.replace(begin, end + 2 - begin, as_json ? nlohmann::json(value).dump() : value);
  }
  return text;
}

/// First three bytes of the loopback addresses of one run.
std::string free_network() {
  std::random_device device;
  std::uniform_int_distribution<int> byte(1, 250);
  return "127." + std::to_string(byte(device)) + "." + std::to_string(byte(device)) + ".";
}

}  // namespace

sidecar::sidecar(record& log, const machine& host, std::string folder)
    : log_(log), host_(host), folder_(std::move(folder)) {}

sidecar::~sidecar() {
  kill();
}

void sidecar::write_settings() const {
  std::ifstream file(settings_template);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto address = [this](std::uint16_t port) { return host_.address(port).text(); };
  std::ofstream(folder_ + "/" + host_.name + ".conf")
      << fill_in(text, {{"nodeName", host_.name},
                        {"zone", host_.zone},
                        {"region", "region-a"},
                        {"ip", host_.ip},
                        {"portRange.0", std::to_string(ports::first_peer)},
                        {"bindAddresses.outbound", address(ports::outbound)},
                        {"bindAddresses.ready", address(ports::ready)},
                        {"bindAddresses.control", address(ports::control)},
                        {"appAddr", address(ports::upstream)},
                        {"service", host_.service},
                        {"provider.address", address(ports::store)},
                        {"bounds.drainMs", std::to_string(bounds::drain.count())},
                        {"bounds.graceS", std::to_string(bounds::grace.count() / 1'000)},
                        {"bounds.retryBudgetRatio", "0.2"},
                        {"bounds.budgetSlack", "56"},
                        {"bounds.budgetWindowS", "10"}});
}

void sidecar::start() {
  write_settings();
  const std::string settings = folder_ + "/" + host_.name + ".conf";
  const std::string output = folder_ + "/" + host_.name + ".log";
  process_ = ::fork();
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log_file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log_file, STDOUT_FILENO);
    ::dup2(log_file, STDERR_FILENO);
    ::execl(program, program, "--settings", settings.c_str(), nullptr);
    ::_exit(could_not_run);
  }
  log_.line(host_.name + ": sidecar started");
}

void sidecar::signal(int number) {
  if (process_ > 0) {
    ::kill(process_, number);
    log_.line(host_.name + ": signal " + std::to_string(number));
  }
}

void sidecar::kill() {
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
    log_.line(host_.name + ": sidecar killed");
  }
}

long sidecar::memory_kib() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  std::string word;
  long kib = 0;
  while (process_ > 0 && status >> word) {
    if (word == "VmRSS:") {
      status >> kib;
      break;
    }
  }
  return kib;
}

bool sidecar::ended() {
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = 0;
    log_.line(host_.name + ": sidecar ended by itself");
  }
  return process_ == 0;
}

bool sidecar::ready() const {
  const std::string request = request_text("GET", "/readyz", {{"Host", host_.ip}});
  return exchange(host_.address(ports::ready), request, answer_slack).status() == status_ok;
}

std::string client_request::text() const {
  std::map<std::string, std::string> headers = {
      {"Host", host}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(deadline.count())}};
  if (!user.empty()) {
    headers["X-User"] = user;
  }
  return request_text(method, path, headers, body);
}

mesh::mesh(record& log, const std::vector<std::string>& services) : log_(log) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "crocusdoor-review-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = folder;
  const std::string network = free_network();
  std::vector<endpoint> store_addresses;
  for (std::size_t index = 0; index < services.size(); ++index) {
    const std::string number = std::to_string(index);
    machines_.push_back(
        {"m" + number, network + std::to_string(first_host + index), services[index], "zone-a"});
    store_addresses.push_back(machines_.back().address(ports::store));
  }
  store_ = std::make_unique<review::store>(log_, store_addresses);
}

mesh::~mesh() {
  upstreams_.clear();
  sidecars_.clear();
  store_.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void mesh::start(const nlohmann::json& configuration, const upstream_options& pattern) {
  store_->write_configuration(configuration);
  pattern_ = pattern;
  upstreams_.resize(machines_.size());
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    sidecars_.push_back(std::make_unique<sidecar>(log_, host(index), folder_));
    sidecars_.back()->start();
    start_target(index, "i-" + host(index).name, true);
  }
}

void mesh::crash_target(std::size_t index) {
  upstreams_.at(index).reset();
  log_.line(host(index).name + ": upstream crashed");
}

void mesh::start_target(std::size_t index, const std::string& id, bool sends_heartbeats) {
  upstream_options options = pattern_;
  options.id = id;
  options.service = host(index).service;
  options.zone = host(index).zone;
  options.address = host(index).address(ports::upstream);
  options.control = host(index).address(ports::control);
  options.sends_heartbeats = sends_heartbeats;
  upstreams_.at(index) = std::make_unique<upstream>(log_, options);
  log_.line(host(index).name + ": upstream " + id + " started");
}

void mesh::spoil_target(std::size_t index, int endless_every) {
  crash_target(index);
  const int sound = std::exchange(pattern_.endless_every, endless_every);
  start_target(index, "i-spoilt", true);
  pattern_.endless_every = sound;
}

bool mesh::wait_until_serving(const client_request& request, milliseconds limit) {
  const auto end = steady::now() + limit;
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    int probes = 0;
    for (;;) {
      client_request probe = request;
      probe.id = "start-" + std::to_string(index) + "-" + std::to_string(++probes);
      if (node(index).ready() && send(index, probe).status() == status_ok) {
        break;
      }
      if (steady::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(poll_interval);
    }
  }
  return true;
}

http_message mesh::send(std::size_t machine, const client_request& request) {
  const std::string sender = "client at " + host(machine).name + ": " + request.id;
  log_.line(sender + " sent");
  http_message response = exchange(host(machine).address(ports::outbound), request.text(),
                                   request.deadline + answer_slack);
  log_.line(sender + " answered " + std::to_string(response.status()));
  return response;
}

nlohmann::json configuration(int version, const nlohmann::json& routes,
                             const std::set<std::string>& services) {
  nlohmann::json described = nlohmann::json::array();
  for (const std::string& service : services) {
    described.push_back({{"name", service},
                         {"healthPath", "/healthz"},
                         {"maxConnections", 110},
                         {"protocol", "h1"},
                         {"tls", false}});
  }
  return {{"version", version},
          {"routes", routes},
          {"services", described},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 67'108'864},
            {"headerTimeoutMs", 3'000},
            {"idleTimeoutMs", 15'000}}}};
}

nlohmann::json route(const std::string& name, const std::string& host, const std::string& prefix,
                     const std::string& type, milliseconds timeout, const std::string& service) {
  return {{"name", name},           {"host", host},  {"pathPrefix", prefix},
          {"routeType", type},      {"attempts", 2}, {"timeoutMs", timeout.count()},
          {"targetLatencyMs", 250}, {"priority", 1}, {"service", service}};
}

bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int run_case(int count, char** values, int (*play)(record&)) {
  if (count != 2) {
    std::cerr << "usage: " << values[0] << " RECORD\n";
    return could_not_run;
  }
  try {
    record log(values[1]);
    const int result = play(log);
    log.line("result " + std::to_string(result));
    return result;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return could_not_run;
  }
}

}  // namespace review
