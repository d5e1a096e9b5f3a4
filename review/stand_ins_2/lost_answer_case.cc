// The platform carries out an order for the upkeep of a machine, and its answer
// is lost. The repeated order meets the machine in its upkeep.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "log_store.h"
#include "net/http_client.h"
#include "partition_proxy.h"
#include "process.h"
#include "record.h"
#include "runner.h"

namespace plantainhead::review {
namespace {

using json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kProcesses = 3;
constexpr int kMachines = 2;
constexpr const char* kService = "desk";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"desk-queue","host":"a.example",
        "path_prefix":"/desk/","service":"desk","max_attempts":3,
        "stretch":2,"target_latency_ms":600}],
        "services":[{"name":"desk"}]})";
constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":256,
        "estimate_ms":300}]})";
constexpr const char* kJobId = "5c0e7a21d94b36f8";
constexpr milliseconds kTaskTime(300);
constexpr milliseconds kHeartbeat(1500);
constexpr seconds kSettle(7);
constexpr seconds kUpkeepTime(2);
constexpr seconds kWaveTime(30);
// The job is handed in when the time of the wave is over.
constexpr seconds kSubmitAfter(32);
constexpr seconds kCallTimeout(3);
constexpr milliseconds kQueryGap(500);
// `finish_s` is 14, and for 3 s the job must not have nothing running.
constexpr seconds kPatience(20);
constexpr seconds kMayStandStill(3);
constexpr seconds kLimit(90);

/// A machine of the service, and the runner that is its present life.
struct machine {
  std::string name;
  std::unique_ptr<runner> life;
  bool has_had_upkeep = false;
};

class lost_answer_case {
 public:
  lost_answer_case(const std::string& directory,
                   const std::string& record_file,
                   bool has_trouble)
      : record_(record_file), has_trouble_(has_trouble) {
    const std::string store_address = FreeAddress();
    store_ = std::make_unique<log_store>(&context_, store_address);
    store_->Put("keyed.op", "config", kConfiguration);
    for (int i = 1; i <= kMachines; ++i) {
      machines_.push_back({"m-" + std::to_string(i),
                           std::make_unique<runner>(&context_, NextId(),
                                                    FreeAddress(), kTaskTime)});
      Watch(machines_.back().life.get());
    }
    const std::string fleet_address = FreeAddress();
    fleet_server_ = std::make_unique<net::http_server>(
        &context_, fleet_address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) { Fleet(request, respond); });
    for (int i = 0; i < kProcesses; ++i) {
      fleet_.push_back(
          std::make_unique<partition_proxy>(&context_, fleet_address));
      processes_.push_back(
          std::make_unique<process>(directory, "front-" + std::to_string(i + 1),
                                    store_address, fleet_.back()->address()));
      clients_.push_back(std::make_unique<net::http_client>(
          &context_, processes_.back()->callers(), net::http_client_options()));
      if (has_trouble) {
        fleet_.back()->on_request =
            [this, proxy = fleet_.back().get()](std::string_view bytes) {
              if (!is_answer_lost_ &&
                  bytes.find("machine-upkeep") != std::string_view::npos) {
                is_answer_lost_ = true;
                proxy->LoseAnswerTo("machine-upkeep");
              }
            };
      }
    }
  }

  int Run() {
    Report();
    for (const auto& one : processes_) {
      one->Start();
    }
    After(kSettle, [this] { PublishWave(); });
    After(kSettle + kSubmitAfter, [this] { Submit(); });
    const auto limit = steady_clock::now() + kLimit;
    while (!IsOver() && steady_clock::now() < limit && !IsStopRequested()) {
      context_.run_for(milliseconds(50));
    }
    return Judge();
  }

 private:
  std::string NextId() { return "i-" + std::to_string(1000 + ++last_id_); }

  void After(milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(time);
    timer->async_wait(
        [timer, action = std::move(action)](
            const boost::system::error_code& /*error*/) { action(); });
  }

  // The runners' heartbeats.
  void Report() {
    for (const machine& one : machines_) {
      if (one.life->is_up()) {
        store_->Put("keyed.servers", one.life->id(), one.life->Entry(kService));
      }
    }
    After(kHeartbeat, [this] { Report(); });
  }

  void Watch(runner* one) {
    one->on_start = [this, one](const std::string& task, std::uint32_t run) {
      ++running_;
      record_.Line(one->id() + " starts " + task + " run " +
                   std::to_string(run));
    };
    one->on_end = [this, one](const std::string& task, std::uint32_t run,
                              const std::string& how) {
      --running_;
      idle_since_ = steady_clock::now();
      record_.Line(one->id() + " ends " + task + " run " + std::to_string(run) +
                   " as " + how);
    };
  }

  // The platform's interface to machines.
  void Fleet(const net::server_request& request,
             const net::responder& respond) {
    if (request.target.rfind("/plantainhead/machines", 0) == 0) {
      respond({200, {}, List()});
      return;
    }
    const json body = json::parse(request.body, nullptr, false);
    const std::string name = body.value("machine", "");
    unsigned status = 400;
    for (machine& one : machines_) {
      if (one.name == name) {
        const bool is_upkeep = request.target == "/plantainhead/machine-upkeep";
        status = is_upkeep ? BeginUpkeep(&one) : 409;
      }
    }
    record_.Line(request.target + " " + request.body + " -> " +
                 std::to_string(status));
    respond(
        {status,
         {},
         (status == 409 ? json{{"reason", "busy"}} : json::object()).dump()});
  }

  std::string List() const {
    json rows = json::array();
    for (const machine& one : machines_) {
      const bool is_up = one.life->is_up();
      json row = {
          {"machine", one.name},
          {"pool", kService},
          {"state", is_up ? "up" : "upkeep"},
          {"zone", "zone-1"},
          {"labels", json::array({"a", "r1-1"})},
          {"capacity", {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}}};
      if (is_up) {
        row["id"] = one.life->id();
      }
      rows.push_back(std::move(row));
    }
    return json{{"machines", rows}, {"next_token", nullptr}}.dump();
  }

  // "busy (not up, leaving)"; "200 if the operation is already done".
  unsigned BeginUpkeep(machine* one) {
    if (!one->life->is_up()) {
      return 409;
    }
    if (one->has_had_upkeep) {
      return 200;
    }
    one->has_had_upkeep = true;
    const std::string id = one->life->id();
    one->life->Crash();
    record_.Line(one->name + " is in upkeep, " + id + " has ended");
    After(kUpkeepTime, [this, one, id] {
      store_->Put("keyed.servers", id, std::nullopt);
      one->life->Restart(NextId());
      store_->Put("keyed.servers", one->life->id(), one->life->Entry(kService));
      record_.Line(one->name + " is up, its runner is " + one->life->id());
    });
    return 200;
  }

  void PublishWave() {
    json names = json::array();
    for (const machine& one : machines_) {
      names.push_back(one.name);
    }
    const std::string wave = json{
        {"wave", 1},
        {"machines", names},
        {"duration_s", kWaveTime.count()},
        {"maximum", 1}}.dump();
    store_->Put("keyed.op", "wave/1", wave);
    record_.Line("operator: op/wave/1 = " + wave);
  }

  net::http_client& AnyClient() {
    return *clients_[++calls_ % clients_.size()];
  }

  static net::client_request Request(net::method verb) {
    net::client_request request;
    request.verb = verb;
    request.target = std::string("/desk/") + kJobId;
    request.headers.emplace_back("Host", "a.example");
    request.headers.emplace_back("X-Plantainhead-Timeout-Ms", "3000");
    return request;
  }

  void Submit() {
    record_.Line("status/wave/1 is " +
                 store_->Newest("keyed.status", "wave/1").value_or("missing"));
    net::client_request request = Request(net::method::kPost);
    request.body = kJob;
    AnyClient().Send(request, kCallTimeout,
                     [this](const net::client_reply& reply) {
                       record_.Line(std::string("POST ") + kJobId + " -> " +
                                    std::to_string(reply.status));
                       if (reply.status == 200) {
                         accepted_at_ = steady_clock::now();
                         idle_since_ = *accepted_at_;
                         Query();
                       }
                     });
  }

  void Query() {
    AnyClient().Send(
        Request(net::method::kGet), kCallTimeout,
        [this](const net::client_reply& reply) {
          const json body = json::parse(reply.body, nullptr, false);
          const std::string state = reply.status == 200 && body.is_object()
                                        ? body.value("state", "")
                                        : std::to_string(reply.status);
          if (state != state_) {
            record_.Line(std::string("GET ") + kJobId + " -> " + state);
            state_ = state;
          }
          After(kQueryGap, [this] { Query(); });
        });
  }

  bool IsOver() const {
    return accepted_at_ && (state_ == "completed" ||
                            steady_clock::now() > *accepted_at_ + kPatience);
  }

  int Judge() {
    if (!accepted_at_ || (has_trouble_ && !is_answer_lost_)) {
      return Close("the case could not run", 2);
    }
    if (state_ == "completed") {
      return Close("LOST held", 0);
    }
    const auto idle = steady_clock::now() - idle_since_;
    if (running_ == 0 && idle > kMayStandStill) {
      return Close(
          "BROKEN: LOST: the accepted job is shown as " + state_ +
              " and has had nothing running for " +
              std::to_string(duration_cast<milliseconds>(idle).count()) +
              " ms, with both runners up and idle",
          1);
    }
    return Close("the case could not run", 2);
  }

  int Close(const std::string& verdict, int code) {
    record_.Line(verdict);
    std::cout << verdict << '\n';
    return code;
  }

  boost::asio::io_context context_;
  record record_;
  bool has_trouble_;
  std::unique_ptr<log_store> store_;
  std::vector<machine> machines_;
  std::unique_ptr<net::http_server> fleet_server_;
  std::vector<std::unique_ptr<partition_proxy>> fleet_;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<std::unique_ptr<net::http_client>> clients_;
  int last_id_ = 0;
  int running_ = 0;
  std::size_t calls_ = 0;
  std::string state_;
  std::optional<steady_clock::time_point> accepted_at_;
  steady_clock::time_point idle_since_;
  bool is_answer_lost_ = false;
};

}  // namespace
}  // namespace plantainhead::review

// Arguments: a temporary folder, the file of the record.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  plantainhead::review::HandleStopSignals();
  if (argc != 3) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return plantainhead::review::lost_answer_case(argv[1], argv[2], has_trouble)
        .Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
