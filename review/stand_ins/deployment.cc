#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace plantainhead::review {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// The figures of the platform's settings in DEPLOY.md.
constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kCallBytes = 2097152;
constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kMoveTime(1500);
constexpr milliseconds kUpkeepTime(2000);
constexpr milliseconds kGrace(6000);
constexpr milliseconds kClientTimeout(3000);
// Below the ports that outgoing connections take, since a process that starts
// again needs its port.
constexpr int kFirstPort = 20000;
constexpr int kPortsOfRun = 60;
constexpr int kRuns = 190;
constexpr unsigned kLongestRunSeconds = 115;
constexpr std::size_t kServerBody = std::size_t{8} << 20U;

// The processes that were started; they are ended with this one.
constexpr std::size_t kMaxNodes = 16;
std::array<volatile pid_t, kMaxNodes> started{};

void EndAll(int /*signal*/) {
  for (const pid_t pid : started) {
    if (pid > 0) {
      kill(pid, SIGKILL);
    }
  }
  _exit(2);
}

void NoteStarted(pid_t former, pid_t pid) {
  for (volatile pid_t& one : started) {
    if (one == former) {
      one = pid;
      return;
    }
  }
}

std::string VerbName(net::method verb) {
  switch (verb) {
    case net::method::kPost:
      return "POST";
    case net::method::kDelete:
      return "DELETE";
    default:
      return "GET";
  }
}

// Each record is a length of four bytes and that many bytes.
bool HasOversizedRecord(const std::string& body) {
  for (std::size_t at = 0; at + 4 <= body.size();) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
    }
    if (length > kRecordBytes) {
      return true;
    }
    at += 4 + length;
  }
  return false;
}

}  // namespace

std::string FreeAddress() {
  static int next_port = kFirstPort + (::getpid() % kRuns) * kPortsOfRun;
  for (;;) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<unsigned short>(next_port++)},
                  error);
    if (!error) {
      return "127.0.0.1:" + std::to_string(next_port - 1);
    }
  }
}

deployment::deployment(const std::string& scheduler,
                       const std::string& directory,
                       const std::string& record_file)
    : log(record_file),
      store(&context),
      scheduler_(scheduler),
      directory_(directory),
      store_address_(FreeAddress()),
      cloud_address_(FreeAddress()) {
  for (const int ending : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
    signal(ending, EndAll);
  }
  alarm(kLongestRunSeconds);
  net::http_server_options options;
  options.body_limit = kServerBody;
  store_server_ = std::make_unique<net::http_server>(
      &context, store_address_, options,
      [this](const net::server_request& request,
             const net::responder& respond) { HandleStore(request, respond); });
  cloud_server_ = std::make_unique<net::http_server>(
      &context, cloud_address_, options,
      [this](const net::server_request& request,
             const net::responder& respond) { HandleCloud(request, respond); });
  cloud_proxy_ = std::make_unique<soak::fault_proxy>(&context, cloud_address_);
  Every(milliseconds(50), [this] { store.ExpireSilent(); });
  Every(kHeartbeat, [this] {
    for (const auto& one : runners) {
      if (one->is_up()) {
        store.Put("keyed.servers", one->id(), one->Report());
      }
    }
  });
}

deployment::~deployment() {
  for (const auto& one : nodes) {
    Kill(one.get());
  }
}

void deployment::Every(milliseconds gap, const std::function<void()>& action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(gap);
  timer->async_wait(
      [this, gap, action, timer](const boost::system::error_code& /*error*/) {
        action();
        Every(gap, action);
      });
}

void deployment::HandleStore(const net::server_request& request,
                             const net::responder& respond) {
  const bool is_append =
      request.target.rfind("/plantainhead/log-append", 0) == 0;
  if (is_append &&
      (request.body.size() > kCallBytes || HasOversizedRecord(request.body))) {
    log.Line("the store rejects an append of " +
             std::to_string(request.body.size()) + " bytes");
    respond({413, {}, "{}"});
    return;
  }
  appends += is_append ? 1 : 0;
  const bool is_late = is_append && !late_job.empty() &&
                       request.body.find(late_job) != std::string::npos;
  if (!is_late) {
    store.Handle(request, respond);
    return;
  }
  log.Line("the store will carry out an append of a job later");
  const auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(append_delay);
  timer->async_wait(
      [this, request, timer](const boost::system::error_code& /*error*/) {
        log.Line("the store carries out the append of a job");
        last_late_append_ms = log.Now();
        store.Handle(request, [](const net::server_response& /*response*/) {});
      });
}

void deployment::HandleCloud(const net::server_request& request,
                             const net::responder& respond) {
  if (request.verb == net::method::kGet) {
    json machines = json::array();
    for (const auto& one : runners) {
      const std::string& away = away_[one->machine()];
      const std::string state = !away.empty()  ? away
                                : one->is_up() ? "up"
                                               : "down";
      machines.push_back({{"machine", one->machine()},
                          {"pool", one->service()},
                          {"state", state},
                          {"zone", "zone-1"},
                          {"labels", one->Labels()},
                          {"capacity", one->Capacity()},
                          {"id", one->id()}});
    }
    respond({200, {}, json{{"machines", machines}, {"next_token", ""}}.dump()});
    return;
  }
  const json body = json::parse(request.body);
  log.Line("cloud: " + request.target + " " + request.body);
  for (const auto& one : runners) {
    if (one->machine() != body.value("machine", "")) {
      continue;
    }
    if (request.target == "/plantainhead/machine-upkeep") {
      Upkeep(one.get(), respond);
      return;
    }
    const std::string pool = body.value("pool", one->service());
    if (pool == one->service()) {
      respond({200, {}, "{}"});
      return;
    }
    if (!one->is_up()) {
      respond({409, {}, R"({"reason":"busy"})"});
      return;
    }
    away_[one->machine()] = "moving";
    BeginLater(one.get(), pool, kMoveTime);
    respond({200, {}, "{}"});
    return;
  }
  respond({400, {}, "{}"});
}

void deployment::Upkeep(runner* of, const net::responder& respond) {
  if (had_upkeep_.count(of->machine()) != 0 && of->is_up()) {
    respond({200, {}, "{}"});
    return;
  }
  if (!of->is_up()) {
    respond({409, {}, R"({"reason":"busy"})"});
    return;
  }
  had_upkeep_.insert(of->machine());
  away_[of->machine()] = "upkeep";
  BeginLater(of, of->service(), kUpkeepTime);
  if (loses_upkeep_answer) {
    loses_upkeep_answer = false;
    log.Line("cloud: the connection is reset before the answer");
    cloud_proxy_->ResetAll();
    return;
  }
  respond({200, {}, "{}"});
}

void deployment::BeginLater(runner* of,
                            const std::string& service,
                            milliseconds time) {
  store.Put("keyed.servers", of->id(), std::nullopt);
  of->Crash();
  const auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(time);
  timer->async_wait(
      [this, of, service, timer](const boost::system::error_code& /*error*/) {
        away_[of->machine()] = "";
        of->Begin(NextRunnerId(), service);
        store.Put("keyed.servers", of->id(), of->Report());
      });
}

void deployment::BeginWave(int duration_s) {
  json machines = json::array();
  for (const auto& one : runners) {
    machines.push_back(one->machine());
  }
  const json wave = {{"wave", 1},
                     {"machines", machines},
                     {"duration_s", duration_s},
                     {"maximum", 1}};
  log.Line("wave " + wave.dump());
  store.Put("keyed.op", "wave/1", wave.dump());
}

bool deployment::IsWaveCompleted() const {
  const auto status = store.Newest("keyed.status", "wave/1");
  return status && json::parse(*status).value("state", "") == "completed";
}

void deployment::Configure(const std::vector<std::string>& services,
                           const std::vector<route>& routes) {
  json config = {{"version", ++version_},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits", json::object()}};
  for (const std::string& service : services) {
    config["services"].push_back(
        {{"name", service}, {"enforces_capacity", false}});
  }
  for (const route& one : routes) {
    config["routes"].push_back({{"name", one.queue},
                                {"host", "clients.example"},
                                {"path_prefix", "/" + one.queue + "/"},
                                {"service", one.service},
                                {"priority", 0},
                                {"max_attempts", one.max_attempts},
                                {"stretch", 1.6},
                                {"target_latency_ms", 600}});
  }
  log.Line("configuration " + config.dump());
  store.Put("keyed.op", "config", config.dump());
}

std::string deployment::NextRunnerId() {
  return "i-" + std::to_string(++last_runner_);
}

runner& deployment::AddRunner(const std::string& service) {
  const std::string machine = "m-" + std::to_string(runners.size() + 1);
  runners.push_back(std::make_unique<runner>(&context, machine, FreeAddress(),
                                             &history, &log));
  runners.back()->Begin(NextRunnerId(), service);
  store.Put("keyed.servers", runners.back()->id(), runners.back()->Report());
  return *runners.back();
}

void deployment::Restart(runner* of) {
  const std::string former = of->id();
  of->Begin(NextRunnerId(), of->service());
  if (!former.empty()) {
    // The entry of the former life goes after three silent intervals.
    const auto timer = std::make_shared<boost::asio::steady_timer>(context);
    timer->expires_after(3 * kHeartbeat);
    timer->async_wait(
        [this, former, timer](const boost::system::error_code& /*error*/) {
          store.Put("keyed.servers", former, std::nullopt);
        });
  }
  store.Put("keyed.servers", of->id(), of->Report());
}

void deployment::StartNode(node* of) {
  if (of->pid > 0) {
    return;
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, of->log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The listening sockets of this process must not stay open in the others.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string program = scheduler_;
  std::array<char*, 3> arguments = {program.data(), of->settings.data(),
                                    nullptr};
  const int error = posix_spawn(&of->pid, program.c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    of->pid = 0;
    throw std::runtime_error("cannot start " + scheduler_);
  }
  NoteStarted(0, of->pid);
  log.Line("node " + of->name + " is started");
}

bool deployment::StartNodes(int count) {
  for (int i = 1; i <= count; ++i) {
    auto one = std::make_unique<node>();
    one->name = "front-" + std::to_string(i);
    one->settings = directory_ + "/" + one->name + ".yaml";
    one->log = directory_ + "/" + one->name + ".log";
    one->front = FreeAddress();
    one->ready = FreeAddress();
    std::ofstream(one->settings)
        << "name: \"" << one->name << "\"\n"
        << "availability-zone: \"zone-1\"\nprocessor: 0.25\nlisten:\n"
        << "  callers: \"" << one->front << "\"\n"
        << "  probes: \"" << one->ready << "\"\n"
        << "  peers: \"" << FreeAddress() << "\"\n"
        << "  metrics: \"" << FreeAddress() << "\"\n"
        << "store:\n  address: \"" << store_address_ << "\"\n"
        << "fleet:\n  address: \"" << cloud_proxy_->address() << "\"\n"
        << "lease:\n  most: 6000ms\n  holder: 3000ms\n"
        << "configuration:\n  apply: 2000ms\nstop:\n  grace: 6s\n";
    StartNode(one.get());
    nodes.push_back(std::move(one));
  }
  return RunUntil(
      [this] {
        for (const auto& one : nodes) {
          net::http_client client(&context, one->ready, {});
          net::client_request request;
          request.target = "/plantainhead/ready";
          unsigned status = 0;
          bool is_over = false;
          client.Send(request, milliseconds(500),
                      [&](const net::client_reply& reply) {
                        status = reply.status;
                        is_over = true;
                      });
          while (!is_over) {
            context.run_one();
          }
          if (status != 200) {
            return false;
          }
        }
        return true;
      },
      milliseconds(15000));
}

void deployment::Kill(node* of) {
  if (of->pid <= 0) {
    return;
  }
  kill(of->pid, SIGCONT);
  kill(of->pid, SIGKILL);
  waitpid(of->pid, nullptr, 0);
  NoteStarted(of->pid, 0);
  of->pid = 0;
  log.Line("node " + of->name + " is killed");
}

void deployment::Terminate(node* of) {
  log.Line("node " + of->name + " gets SIGTERM");
  kill(of->pid, SIGTERM);
  const bool has_ended = RunUntil(
      [of] { return waitpid(of->pid, nullptr, WNOHANG) == of->pid; }, kGrace);
  if (!has_ended) {
    Kill(of);
    return;
  }
  NoteStarted(of->pid, 0);
  of->pid = 0;
  log.Line("node " + of->name + " has ended");
}

node* deployment::Holder(std::uint32_t position) {
  net::server_request request;
  request.target = "/plantainhead/log-owners?group=plantain";
  json rows;
  store.Handle(request, [&rows](const net::server_response& response) {
    rows = json::parse(response.body)["parts"];
  });
  for (const json& row : rows) {
    for (const auto& one : nodes) {
      if (row[1] == position && row[2] == one->name) {
        return one.get();
      }
    }
  }
  return nullptr;
}

void deployment::RunFor(milliseconds time) {
  context.run_for(time);
}

bool deployment::RunUntil(const std::function<bool()>& is_true,
                          milliseconds time) {
  const auto until = steady_clock::now() + time;
  while (!is_true()) {
    if (steady_clock::now() >= until) {
      return false;
    }
    context.run_for(milliseconds(5));
  }
  return true;
}

answer deployment::Call(const node& to,
                        net::method verb,
                        const std::string& target,
                        const std::string& body) {
  net::http_client client(&context, to.front, {});
  net::client_request request;
  request.verb = verb;
  request.target = target;
  request.body = body;
  request.headers.emplace_back("Host", "clients.example");
  request.headers.emplace_back("X-Plantainhead-Timeout-Ms",
                               std::to_string(kClientTimeout.count()));
  answer got;
  bool is_over = false;
  client.Send(request, kClientTimeout, [&](const net::client_reply& reply) {
    got = {reply.status, reply.body};
    is_over = true;
  });
  while (!is_over) {
    context.run_one();
  }
  log.Line(VerbName(verb) + " " + target + " at " + to.name + " -> " +
           std::to_string(got.status) + " " + got.body);
  return got;
}

void deployment::SubmitInBackground(const node& to,
                                    const std::string& queue,
                                    const std::string& id,
                                    const json& job) {
  const auto client = std::make_shared<net::http_client>(
      &context, to.front, net::http_client_options());
  net::client_request request;
  request.verb = net::method::kPost;
  request.target = "/" + queue + "/" + id;
  request.body = job.dump();
  request.headers.emplace_back("Host", "clients.example");
  client->Send(request, kClientTimeout,
               [this, client, target = request.target,
                name = to.name](const net::client_reply& reply) {
                 log.Line("POST " + target + " at " + name + " -> " +
                          std::to_string(reply.status));
               });
}

bool deployment::Submit(const std::string& queue,
                        const std::string& id,
                        const json& job) {
  constexpr std::size_t kAttempts = 5;
  for (std::size_t i = 0; i < kAttempts; ++i) {
    const answer got = Call(*nodes[i % nodes.size()], net::method::kPost,
                            "/" + queue + "/" + id, job.dump());
    if (got.status / 100 == 2) {
      return true;
    }
    RunFor(milliseconds(300));
  }
  return false;
}

std::string deployment::StateOf(const std::string& queue,
                                const std::string& id,
                                milliseconds time) {
  const auto until = steady_clock::now() + time;
  for (std::size_t i = 0; steady_clock::now() < until; ++i) {
    const answer got = Call(*nodes[i % nodes.size()], net::method::kGet,
                            "/" + queue + "/" + id);
    if (got.status == 200) {
      return json::parse(got.body).value("state", "");
    }
    RunFor(milliseconds(200));
  }
  return "";
}

}  // namespace plantainhead::review
