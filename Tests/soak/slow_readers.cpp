// Plays clients that read their answers slowly against real sidecar processes on loopback, and
// counts the answers that are cut. Built and run by scripts/soak-slow-readers.

#include <arpa/inet.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "../../review/rig/mesh.h"

namespace {

using review::endpoint;
using review::milliseconds;
using review::steady;

constexpr const char* service = "postings";
constexpr const char* host = "postings.example";
constexpr const char* path = "/postings/";
constexpr milliseconds start_limit{20'000};
constexpr milliseconds poll_interval{50};
/// A client waits this long after a refusal. A stopping sidecar refuses at once, and clients
/// without this pause sent it half a million requests in 25 s, which took the processor from the
/// others.
constexpr milliseconds refusal_pause{100};
/// Added to the duration, the start and the deadline, after which the run is ended by SIGALRM.
constexpr std::chrono::seconds time_limit_slack{30};
/// A client reads this much of an answer before its pause, and then pieces of the second size.
constexpr std::size_t first_read_bytes = 1'000;
constexpr std::size_t read_bytes = 16'000;
constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int first_server_error = 500;

/// What is played.
struct soak_options {
  int sidecars = 6;
  int clients = 4;  ///< At each sidecar.
  std::size_t response_bytes = 400'000;
  milliseconds pause{1'500};  ///< Of a client, after the first bytes of an answer.
  review::link_options link{1'460, 16'384};
  milliseconds work{20};  ///< Of an upstream for each request.
  milliseconds deadline{6'000};
  int new_percent = 50;  ///< Share of the clients with a new connection for each request.
  bool stops = false;    ///< Whether sidecars are stopped in turn.
  milliseconds stop_distance{900};
  std::chrono::seconds grace{6};
  std::chrono::seconds duration{25};
  std::uint32_t seed = 1;
  std::string record = "build-soak/slow-readers.txt";
};

milliseconds since(steady::time_point begin) {
  return std::chrono::duration_cast<milliseconds>(steady::now() - begin);
}

/// The starts of one sidecar and their SIGTERMs. Its clients read them on threads of their own.
class process_starts {
 public:
  void note_start() {
    const std::lock_guard lock(mutex_);
    stops_.emplace_back();
  }

  void note_stop() {
    const std::lock_guard lock(mutex_);
    stops_.back() = steady::now();
  }

  /// Number of the newest start.
  [[nodiscard]] std::size_t newest() const {
    const std::lock_guard lock(mutex_);
    return stops_.size() - 1;
  }

  /// Time from the SIGTERM of a start until `time`; empty if it had got none by then.
  [[nodiscard]] std::optional<milliseconds> since_stop(std::size_t start,
                                                       steady::time_point time) const {
    const std::lock_guard lock(mutex_);
    const auto& stopped_at = stops_.at(start);
    if (!stopped_at.has_value() || *stopped_at > time) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(time - *stopped_at);
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::optional<steady::time_point>> stops_;
};

/// The bytes of one answer, whose length its head tells.
class answer {
 public:
  void append(const std::string& bytes) {
    bytes_ += bytes;
    if (body_begin_ != 0) {
      return;
    }
    const std::size_t head_end = bytes_.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      body_begin_ = head_end + 4;
      const std::string length = header("Content-Length");
      std::from_chars(length.data(), length.data() + length.size(), body_size_);
    }
  }

  [[nodiscard]] bool complete() const {
    return body_begin_ != 0 && bytes_.size() >= body_begin_ + body_size_;
  }

  [[nodiscard]] std::size_t size() const { return bytes_.size(); }
  [[nodiscard]] bool has_more_than_one() const { return bytes_.size() > body_begin_ + body_size_; }
  [[nodiscard]] std::string body() const { return bytes_.substr(body_begin_, body_size_); }

  [[nodiscard]] int status() const {
    int result = 0;
    const std::size_t space = bytes_.find(' ');
    if (body_begin_ != 0 && space < body_begin_) {
      std::from_chars(bytes_.data() + space + 1, bytes_.data() + body_begin_, result);
    }
    return result;
  }

  [[nodiscard]] std::string header(const std::string& name) const {
    std::istringstream head(bytes_.substr(0, body_begin_));
    for (std::string line; std::getline(head, line);) {
      if (line.size() > name.size() && line[name.size()] == ':' &&
          strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
        const std::size_t begin = line.find_first_not_of(' ', name.size() + 1);
        return line.substr(begin, line.find_last_not_of('\r') + 1 - begin);
      }
    }
    return {};
  }

 private:
  std::string bytes_;
  std::size_t body_begin_ = 0;
  std::size_t body_size_ = 0;
};

/// Connects as the rig does, but keeps the descriptor, which the rig's connection does not show.
int connect_to(const endpoint& remote, const review::link_options& link) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(int));
  if (link.segment_bytes > 0) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &link.segment_bytes, sizeof(int));
  }
  if (link.receive_buffer_bytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &link.receive_buffer_bytes, sizeof(int));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(remote.port);
  inet_pton(AF_INET, remote.ip.c_str(), &address.sin_addr);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

/// Waits without reading. Returns when the connection ended, if it did meanwhile.
std::optional<steady::time_point> wait_unread(int descriptor, milliseconds pause) {
  const auto end = steady::now() + pause;
  pollfd watched{descriptor, POLLRDHUP, 0};
  std::optional<steady::time_point> ended_at;
  if (pause > milliseconds::zero() && ::poll(&watched, 1, static_cast<int>(pause.count())) > 0) {
    ended_at = steady::now();
  }
  std::this_thread::sleep_until(end);
  return ended_at;
}

enum class request_end {
  not_written,  ///< The connection ended before the whole request was written.
  whole,        ///< The answer of an upstream.
  own,          ///< An answer of the sidecar itself, read as a whole.
  unexpected,   ///< Another answer, or one whose length, content or seal is wrong.
  deadline,     ///< The deadline passed before the answer was complete.
  cut,          ///< The connection ended before that.
};

/// What became of one request.
struct request_result {
  std::string id;
  request_end end = request_end::not_written;
  bool kept_connection = false;  ///< Whether the connection had carried a request before.
  std::string answer_text;       ///< Status and text, unless the answer is an upstream's.
  std::size_t bytes = 0;         ///< Received.
  int error = 0;                 ///< errno at the end of the connection; 0 for an orderly end.
  std::optional<milliseconds> since_stop;  ///< From SIGTERM until the connection ended.
};

/// Sends requests to one sidecar, one after another, and reads the beginning of each answer,
/// nothing during a pause, and then the rest.
class slow_client {
 public:
  slow_client(const soak_options& options, const endpoint& remote, const process_starts& starts,
              std::string name, bool keeps_connection, std::uint32_t seed)
      : options_(options),
        remote_(remote),
        starts_(starts),
        name_(std::move(name)),
        keeps_connection_(keeps_connection),
        random_(seed) {}

  /// Sends requests until `end`.
  void run(steady::time_point end) {
    while (steady::now() < end) {
      if (connect()) {
        results_.push_back(play_request());
        if (results_.back().end == request_end::own) {
          std::this_thread::sleep_for(refusal_pause);
        }
      } else {
        std::this_thread::sleep_for(poll_interval);
      }
    }
    link_.reset();
  }

  [[nodiscard]] const std::vector<request_result>& results() const { return results_; }

 private:
  bool connect() {
    if (link_ == nullptr) {
      descriptor_ = connect_to(remote_, options_.link);
      if (descriptor_ < 0) {
        return false;
      }
      link_ = std::make_unique<review::connection>(descriptor_);
      requests_on_link_ = 0;
      start_ = starts_.newest();
    }
    return true;
  }

  request_result play_request() {
    request_result result;
    result.id = name_ + "-" + std::to_string(results_.size());
    result.kept_connection = requests_on_link_++ > 0;
    const review::client_request request{
        "POST", host, path + result.id, result.id, options_.deadline, result.id};
    if (!link_->write(request.text())) {
      link_.reset();
      return result;
    }
    const auto sent_at = steady::now();
    answer received;
    result.end = read_answer(received, result, sent_at);
    result.bytes = received.size();
    if (received.complete()) {
      judge(received, result);
    }
    if (!received.complete() || !keeps_connection_ || received.has_more_than_one() ||
        strcasecmp(received.header("Connection").c_str(), "close") == 0) {
      link_.reset();
    }
    return result;
  }

  request_end read_answer(answer& received, request_result& result, steady::time_point sent_at) {
    std::string bytes;
    bool paused = false;
    std::optional<steady::time_point> ended_at;
    while (!received.complete()) {
      const milliseconds left = options_.deadline - since(sent_at);
      if (left <= milliseconds::zero()) {
        return request_end::deadline;
      }
      link_->set_read_timeout(left);
      errno = 0;
      const auto size = link_->read_some(bytes, paused ? read_bytes : first_read_bytes);
      const int error = errno;
      if (size < 0 && (error == EAGAIN || error == EINTR)) {
        continue;
      }
      if (size <= 0) {
        result.error = size < 0 ? error : 0;
        result.since_stop = starts_.since_stop(start_, ended_at.value_or(steady::now()));
        return since(sent_at) >= options_.deadline ? request_end::deadline : request_end::cut;
      }
      received.append(bytes);
      if (!paused && !received.complete()) {
        ended_at =
            wait_unread(descriptor_, std::min(next_pause(), options_.deadline - since(sent_at)));
      }
      paused = true;
    }
    return request_end::whole;
  }

  void judge(const answer& received, request_result& result) const {
    const int status = received.status();
    const std::string seal = received.header("X-Response-Seal");
    if (status == status_ok && seal == "seal-" + result.id && !received.has_more_than_one() &&
        received.body() == std::string(options_.response_bytes, 'r')) {
      result.end = request_end::whole;
      return;
    }
    const bool refused = status >= first_server_error || status == status_too_many_requests;
    result.end = refused && seal.empty() ? request_end::own : request_end::unexpected;
    const std::string body = received.body();
    result.answer_text = std::to_string(status) + " " + body.substr(0, body.find('\n'));
  }

  /// 50% to 150% of the pause of the options.
  milliseconds next_pause() {
    std::uniform_int_distribution<milliseconds::rep> share(50, 150);
    return options_.pause * share(random_) / 100;
  }

  const soak_options& options_;
  endpoint remote_;
  const process_starts& starts_;
  std::string name_;
  bool keeps_connection_;
  std::mt19937 random_;
  std::unique_ptr<review::connection> link_;
  int descriptor_ = -1;  ///< Of the connection; closed by it.
  std::size_t requests_on_link_ = 0;
  std::size_t start_ = 0;  ///< The start of the sidecar that accepted the connection.
  std::vector<request_result> results_;
};

/// Stops the sidecars in turn, and starts each again that has ended. All calls come from one
/// thread: a sidecar gets SIGKILL when the thread that started it ends.
class rolling_stops {
 public:
  rolling_stops(const soak_options& options, review::mesh& deployment,
                std::vector<process_starts>& starts)
      : options_(options),
        deployment_(deployment),
        starts_(starts),
        nodes_(deployment.size()),
        random_(options.seed),
        next_at_(steady::now() + options.stop_distance) {}

  /// Does what is due. No sidecar is stopped unless `may_stop`.
  void step(bool may_stop) {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      watch(index);
    }
    if (options_.stops && may_stop && steady::now() >= next_at_) {
      stop_next();
    }
  }

  [[nodiscard]] int stops() const { return stops_; }
  /// Stops that lasted until SIGKILL.
  [[nodiscard]] int kills() const { return kills_; }
  /// Sidecars that ended without SIGTERM.
  [[nodiscard]] int failures() const { return failures_; }

 private:
  enum class node_phase { serving, stopping, starting };
  struct node {
    node_phase phase = node_phase::serving;
    steady::time_point stopped_at;
  };

  void watch(std::size_t index) {
    node& watched = nodes_[index];
    review::sidecar& process = deployment_.node(index);
    if (watched.phase == node_phase::stopping && since(watched.stopped_at) >= options_.grace &&
        !process.ended()) {
      ++kills_;
      process.kill();
    }
    if (process.ended()) {
      failures_ += watched.phase == node_phase::stopping ? 0 : 1;
      starts_[index].note_start();
      process.start();
      watched.phase = node_phase::starting;
    } else if (watched.phase == node_phase::starting && process.ready()) {
      watched.phase = node_phase::serving;
    }
  }

  /// Stops the next sidecar of the order, unless it is not ready yet.
  void stop_next() {
    if (order_.empty()) {
      for (std::size_t index = 0; index < nodes_.size(); ++index) {
        order_.push_back(index);
      }
      std::shuffle(order_.begin(), order_.end(), random_);
    }
    const std::size_t index = order_.back();
    if (nodes_[index].phase != node_phase::serving) {
      return;
    }
    order_.pop_back();
    starts_[index].note_stop();
    deployment_.node(index).signal(SIGTERM);
    nodes_[index] = {node_phase::stopping, steady::now()};
    next_at_ = steady::now() + options_.stop_distance;
    ++stops_;
  }

  const soak_options& options_;
  review::mesh& deployment_;
  std::vector<process_starts>& starts_;
  std::vector<node> nodes_;
  std::mt19937 random_;
  steady::time_point next_at_;
  std::vector<std::size_t> order_;
  int stops_ = 0;
  int kills_ = 0;
  int failures_ = 0;
};

/// Smallest and largest of some numbers.
class value_range {
 public:
  void add(std::int64_t value) {
    least_ = empty_ ? value : std::min(least_, value);
    most_ = empty_ ? value : std::max(most_, value);
    empty_ = false;
  }
  [[nodiscard]] bool empty() const { return empty_; }
  [[nodiscard]] std::string text() const {
    return std::to_string(least_) + ".." + std::to_string(most_);
  }

 private:
  bool empty_ = true;
  std::int64_t least_ = 0;
  std::int64_t most_ = 0;
};

/// Cut answers whose connections ended in the same way.
struct cut_group {
  int cut = 0;
  int run = 0;  ///< Of these, run by an upstream.
  value_range bytes;
  value_range since_stop_ms;
};

std::string error_name(int error) {
  if (error == 0) {
    return "orderly end";
  }
  const char* name = strerrorname_np(error);
  return name == nullptr ? "errno " + std::to_string(error) : name;
}

std::string connection_kind(const request_result& result) {
  return result.kept_connection ? "kept" : "new";
}

/// Counts the results of all clients.
class soak_summary {
 public:
  explicit soak_summary(review::record& log) : log_(log) {}

  /// Call it when all upstreams have begun to run what they run.
  void add(const request_result& result) {
    const bool run = log_.has_run(result.id);
    run_ += run ? 1 : 0;
    sent_ += result.end == request_end::not_written ? 0 : 1;
    if (result.end == request_end::own || result.end == request_end::unexpected) {
      ++(result.end == request_end::own ? own_ : unexpected_)[result.answer_text];
    } else if (result.end == request_end::cut) {
      add_cut(result, run);
    } else {
      ++ends_[result.end];
    }
  }

  /// Requests that an upstream has run.
  [[nodiscard]] int run() const { return run_; }
  /// Cut answers of requests that an upstream has run.
  [[nodiscard]] int run_and_cut() const { return run_and_cut_; }

  [[nodiscard]] std::string text() const {
    std::ostringstream line;
    line << "sent " << sent_ << ", whole " << count(request_end::whole) << ", own answers "
         << texts(own_) << ", unexpected answers " << texts(unexpected_) << ", deadline "
         << count(request_end::deadline) << ", not written " << count(request_end::not_written)
         << ", crossed a close " << crossed_ << ", cut " << cut_ << " (run " << run_and_cut_ << ")";
    for (const auto& [name, group] : groups_) {
      line << " [" << name << ": " << group.cut << ", run " << group.run << ", bytes "
           << group.bytes.text();
      if (!group.since_stop_ms.empty()) {
        line << ", ms after SIGTERM " << group.since_stop_ms.text();
      }
      line << "]";
    }
    return line.str();
  }

 private:
  void add_cut(const request_result& result, bool run) {
    const bool crossed = result.kept_connection && result.bytes == 0 && !run;
    std::string line = result.id + (crossed ? ": crossed a close, " : ": cut, ") +
                       error_name(result.error) + ", " + connection_kind(result) + " connection, " +
                       std::to_string(result.bytes) + " bytes, " + (run ? "run" : "not run");
    if (result.since_stop.has_value()) {
      line += ", " + std::to_string(result.since_stop->count()) + " ms after SIGTERM";
    }
    log_.line(line);
    if (crossed) {
      ++crossed_;
      return;
    }
    ++cut_;
    run_and_cut_ += run ? 1 : 0;
    cut_group& group = groups_[error_name(result.error) + ", " + connection_kind(result) +
                               (result.since_stop.has_value() ? ", stopping" : ", not stopping")];
    ++group.cut;
    group.run += run ? 1 : 0;
    group.bytes.add(static_cast<std::int64_t>(result.bytes));
    if (result.since_stop.has_value()) {
      group.since_stop_ms.add(result.since_stop->count());
    }
  }

  [[nodiscard]] int count(request_end end) const {
    const auto found = ends_.find(end);
    return found == ends_.end() ? 0 : found->second;
  }

  /// The sum, and the counts of the texts.
  static std::string texts(const std::map<std::string, int>& counts) {
    int sum = 0;
    std::string listed;
    for (const auto& [text, number] : counts) {
      sum += number;
      listed += (listed.empty() ? "" : "; ") + text + ": " + std::to_string(number);
    }
    return std::to_string(sum) + (listed.empty() ? "" : " {" + listed + "}");
  }

  review::record& log_;
  int sent_ = 0;
  int run_ = 0;
  int cut_ = 0;
  int run_and_cut_ = 0;
  int crossed_ = 0;
  std::map<request_end, int> ends_;
  std::map<std::string, int> own_;
  std::map<std::string, int> unexpected_;
  std::map<std::string, cut_group> groups_;
};

/// A working folder with a settings template of its own, since the rig has no option for graceS and
/// reads the template and the program relative to the working folder.
class grace_folder {
 public:
  explicit grace_folder(std::chrono::seconds grace) {
    std::string name = (std::filesystem::temp_directory_path() / "crocusdoor-soak-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary folder");
    }
    folder_ = name;
    std::ifstream file("deploy/settings.template");
    std::string text(std::istreambuf_iterator<char>(file), {});
    const std::string placeholder = "{{bounds.graceS}}";
    const std::size_t position = text.find(placeholder);
    if (position == std::string::npos) {
      throw std::runtime_error("deploy/settings.template has no " + placeholder);
    }
    text.replace(position, placeholder.size(), std::to_string(grace.count()));
    std::filesystem::create_directory(folder_ / "deploy");
    std::ofstream(folder_ / "deploy/settings.template") << text;
    std::filesystem::create_directory_symlink(std::filesystem::absolute("target"),
                                              folder_ / "target");
    std::filesystem::current_path(folder_);
  }
  ~grace_folder() {
    std::error_code ignored;
    std::filesystem::current_path("/", ignored);
    std::filesystem::remove_all(folder_, ignored);
  }
  grace_folder(const grace_folder&) = delete;
  grace_folder& operator=(const grace_folder&) = delete;

 private:
  std::filesystem::path folder_;
};

int runs_of_upstreams(review::mesh& deployment) {
  int result = 0;
  for (std::size_t index = 0; index < deployment.size(); ++index) {
    result += deployment.target(index).runs();
  }
  return result;
}

std::vector<std::unique_ptr<slow_client>> make_clients(const soak_options& options,
                                                       const review::mesh& deployment,
                                                       const std::vector<process_starts>& starts) {
  std::vector<std::unique_ptr<slow_client>> result;
  std::mt19937 seeds(options.seed);
  for (std::size_t index = 0; index < deployment.size(); ++index) {
    const review::machine& near = deployment.host(index);
    for (int number = 0; number < options.clients; ++number) {
      // Spreads the clients with new connections evenly over the numbers.
      const bool opens_anew =
          (number + 1) * options.new_percent / 100 > number * options.new_percent / 100;
      result.push_back(
          std::make_unique<slow_client>(options, near.address(review::ports::outbound),
                                        starts[index], near.name + "-c" + std::to_string(number),
                                        !opens_anew, static_cast<std::uint32_t>(seeds())));
    }
  }
  return result;
}

/// Runs the clients until `end` and their last answers, and the stops meanwhile.
void run_clients(const std::vector<std::unique_ptr<slow_client>>& clients, rolling_stops& stops,
                 steady::time_point end) {
  std::atomic<std::size_t> running = clients.size();
  std::vector<std::thread> threads;
  threads.reserve(clients.size());
  for (const auto& client : clients) {
    threads.emplace_back([&client, &running, end] {
      client->run(end);
      --running;
    });
  }
  while (running > 0) {
    stops.step(steady::now() < end);
    std::this_thread::sleep_for(poll_interval / 2);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

/// Plays once and prints the summary.
int play(const soak_options& options, review::record& log) {
  review::mesh deployment(log, std::vector<std::string>(options.sidecars, service));
  review::upstream_options pattern;
  pattern.work = options.work;
  pattern.response_bytes = options.response_bytes;
  deployment.start(
      review::configuration(1,
                            nlohmann::json::array({review::route("postings", host, path, "unsafe",
                                                                 options.deadline, service)}),
                            {service}),
      pattern);
  if (!deployment.wait_until_serving(
          {"POST", host, std::string(path) + "start", "start", options.deadline, ""},
          start_limit)) {
    std::cerr << "the sidecars did not become ready\n";
    return review::could_not_run;
  }
  std::this_thread::sleep_for(review::bounds::contact);
  std::vector<process_starts> starts(deployment.size());
  for (process_starts& started : starts) {
    started.note_start();
  }
  const int runs_before = runs_of_upstreams(deployment);
  const auto clients = make_clients(options, deployment, starts);
  rolling_stops stops(options, deployment, starts);
  run_clients(clients, stops, steady::now() + options.duration);

  soak_summary summary(log);
  for (const auto& client : clients) {
    for (const request_result& result : client->results()) {
      summary.add(result);
    }
  }
  std::ostringstream line;
  line << "slow readers: seed " << options.seed << ", " << options.duration.count() << " s, stops "
       << stops.stops() << " (SIGKILL " << stops.kills() << "), ended unasked " << stops.failures()
       << "; " << summary.text() << "; upstream runs "
       << runs_of_upstreams(deployment) - runs_before << " of " << summary.run() << " requests";
  log.line(line.str());
  std::cout << line.str() << std::endl;
  return summary.run_and_cut() > 0 ? review::rule_broken : review::rule_held;
}

constexpr const char* usage =
    "usage: slow-readers [options]\n"
    "  --sidecars N           sidecars [6]\n"
    "  --clients N            clients at each sidecar [4]\n"
    "  --response-bytes N     size of an answer's body [400000]\n"
    "  --pause MS             pause after the first bytes of an answer, 50% to 150% of it [1500]\n"
    "  --receive-buffer N     receive buffer of a client in bytes [16384]\n"
    "  --segment N            size of a TCP segment in bytes [1460]\n"
    "  --work MS              work time of an upstream for a request [20]\n"
    "  --deadline MS          deadline of a request [6000]\n"
    "  --new-connections PERCENT  share of the clients with a connection for each request [50]\n"
    "  --stops                stop the sidecars in turn with SIGTERM [no]\n"
    "  --stop-distance MS     least time between two stops [900]\n"
    "  --grace S              graceS of the sidecars [6]\n"
    "  --duration S           time in which requests are sent [25]\n"
    "  --seed N               seed of the pauses and of the order of the stops [1]\n"
    "  --record FILE          what was run and cut, line by line [build-soak/slow-readers.txt]\n"
    "Exit status: 1 if an answer was cut that an upstream had run, 2 if the play could not run.\n";

/// Thrown for options that cannot be played.
struct usage_error {};

int number(const char* text, int least, int most) {
  int result = 0;
  const char* end = text + std::strlen(text);
  const auto [stopped, error] = std::from_chars(text, end, result);
  if (error != std::errc() || stopped != end || result < least || result > most) {
    throw usage_error();
  }
  return result;
}

soak_options read_options(int count, char** values) {
  constexpr int most_ms = 600'000;
  constexpr int most_bytes = 60'000'000;
  const option known[] = {{"sidecars", required_argument, nullptr, 'n'},
                          {"clients", required_argument, nullptr, 'c'},
                          {"response-bytes", required_argument, nullptr, 'b'},
                          {"pause", required_argument, nullptr, 'p'},
                          {"receive-buffer", required_argument, nullptr, 'r'},
                          {"segment", required_argument, nullptr, 'm'},
                          {"work", required_argument, nullptr, 'w'},
                          {"deadline", required_argument, nullptr, 'd'},
                          {"new-connections", required_argument, nullptr, 'k'},
                          {"stops", no_argument, nullptr, 's'},
                          {"stop-distance", required_argument, nullptr, 'i'},
                          {"grace", required_argument, nullptr, 'g'},
                          {"duration", required_argument, nullptr, 't'},
                          {"seed", required_argument, nullptr, 'x'},
                          {"record", required_argument, nullptr, 'o'},
                          {nullptr, 0, nullptr, 0}};
  soak_options result;
  for (int key = 0; (key = ::getopt_long(count, values, "", known, nullptr)) != -1;) {
    switch (key) {
      case 'n':
        result.sidecars = number(optarg, 1, 50);
        break;
      case 'c':
        result.clients = number(optarg, 1, 100);
        break;
      case 'b':
        result.response_bytes = number(optarg, 0, most_bytes);
        break;
      case 'p':
        result.pause = milliseconds(number(optarg, 0, most_ms));
        break;
      case 'r':
        result.link.receive_buffer_bytes = number(optarg, 0, most_bytes);
        break;
      case 'm':
        result.link.segment_bytes = number(optarg, 0, 65'535);
        break;
      case 'w':
        result.work = milliseconds(number(optarg, 0, most_ms));
        break;
      case 'd':
        result.deadline = milliseconds(number(optarg, 1, most_ms));
        break;
      case 'k':
        result.new_percent = number(optarg, 0, 100);
        break;
      case 's':
        result.stops = true;
        break;
      case 'i':
        result.stop_distance = milliseconds(number(optarg, 0, most_ms));
        break;
      case 'g':
        result.grace = std::chrono::seconds(number(optarg, 1, 600));
        break;
      case 't':
        result.duration = std::chrono::seconds(number(optarg, 1, 3'600));
        break;
      case 'x':
        result.seed = static_cast<std::uint32_t>(number(optarg, 0, 2'000'000'000));
        break;
      case 'o':
        result.record = optarg;
        break;
      default:
        throw usage_error();
    }
  }
  if (optind != count) {
    throw usage_error();
  }
  return result;
}

/// Ends the run by SIGALRM if it lasts too long; its sidecars get SIGKILL then.
void limit_time(const soak_options& options) {
  const milliseconds limit = start_limit + review::bounds::contact + options.duration +
                             options.deadline + time_limit_slack;
  ::alarm(static_cast<unsigned>(std::chrono::duration_cast<std::chrono::seconds>(limit).count()));
}

}  // namespace

int main(int count, char** values) {
  try {
    const soak_options options = read_options(count, values);
    limit_time(options);
    review::record log(options.record);
    const grace_folder folder(options.grace);
    return play(options, log);
  } catch (const usage_error&) {
    std::cerr << usage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return review::could_not_run;
}
