// A scheduler that orders upkeep of machines is cut off and killed while an
// order is on its way. Another one takes the fleet over and orders the same
// machine. Then the cut heals, and the first order arrives.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "fleet_platform.h"
#include "log_store.h"
#include "partition_proxy.h"
#include "process.h"
#include "record.h"

namespace plantainhead::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kProcesses = 3;
constexpr int kMachines = 4;
constexpr const char* kSparePool = "spare-pool";
constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"desk-queue","host":"a.example",
        "path_prefix":"/desk/","service":"desk","max_attempts":3,
        "stretch":2}],
        "services":[{"name":"desk"},{"name":"spare-pool","spare":true}]})";
constexpr seconds kSettle(7);
// Shorter than the longest cut of a machine that the pages name (12 s).
constexpr seconds kCut(10);
constexpr milliseconds kKillDelay(200);
constexpr seconds kRestartDelay(1);
constexpr seconds kAfterCut(6);
constexpr seconds kLimit(60);

struct member {
  std::unique_ptr<partition_proxy> store;
  std::unique_ptr<partition_proxy> fleet;
  std::unique_ptr<process> scheduler;
  bool is_down = false;
};

class stale_order_case {
 public:
  stale_order_case(const std::string& directory,
                   const std::string& record_file,
                   bool has_trouble)
      : record_(record_file), has_trouble_(has_trouble) {
    const std::string store_address = FreeAddress();
    store_ = std::make_unique<log_store>(&context_, store_address);
    store_->Put("keyed.op", "config", kConfiguration);
    std::set<std::string> machines;
    for (int i = 1; i <= kMachines; ++i) {
      machines.insert("m-" + std::to_string(i));
    }
    const std::string fleet_address = FreeAddress();
    fleet_ = std::make_unique<fleet_platform>(&context_, fleet_address,
                                              machines, kSparePool);
    fleet_->on_order = [this](const machine_order& order) { OnOrder(order); };
    for (int i = 0; i < kProcesses; ++i) {
      auto one = std::make_shared<member>();
      one->store = std::make_unique<partition_proxy>(&context_, store_address);
      one->fleet = std::make_unique<partition_proxy>(&context_, fleet_address);
      one->scheduler = std::make_unique<process>(
          directory, "front-" + std::to_string(i + 1), one->store->address(),
          one->fleet->address());
      one->fleet->on_request = [this, one = one.get()](std::string_view bytes) {
        if (bytes.find("machine-upkeep") != std::string_view::npos) {
          OnOrderSent(one);
        }
      };
      members_.push_back(std::move(one));
    }
  }

  int Run() {
    for (const auto& one : members_) {
      one->scheduler->Start();
    }
    Tend();
    After(kSettle, [this] { PublishWave(); });
    const auto limit = steady_clock::now() + kLimit;
    while (!is_over_ && steady_clock::now() < limit && !IsStopRequested()) {
      context_.run_for(milliseconds(50));
    }
    return Report();
  }

 private:
  void After(milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(time);
    timer->async_wait(
        [timer, action = std::move(action)](
            const boost::system::error_code& /*error*/) { action(); });
  }

  void Tend() {
    for (const auto& one : members_) {
      one->scheduler->HasEnded();
      if (!one->scheduler->is_running() && !one->is_down) {
        one->scheduler->Start();
      }
    }
    const auto status = store_->Newest("keyed.status", "wave/1");
    const bool is_completed =
        status && status->find("completed") != std::string::npos;
    if (is_completed && !is_completed_) {
      is_completed_ = true;
      record_.Line("status/wave/1 is " + *status);
    }
    if (is_completed && (!has_trouble_ || is_healed_)) {
      is_over_ = true;
    }
    After(milliseconds(100), [this] { Tend(); });
  }

  void PublishWave() {
    nlohmann::json machines = nlohmann::json::array();
    for (int i = 1; i <= kMachines; ++i) {
      machines.push_back("m-" + std::to_string(i));
    }
    const std::string wave = nlohmann::json{
        {"wave", 1},
        {"machines", machines},
        {"duration_s", 40},
        {"maximum", 1}}.dump();
    store_->Put("keyed.op", "wave/1", wave);
    record_.Line("operator: op/wave/1 = " + wave);
  }

  // Called before the platform receives the order.
  void OnOrderSent(member* sender) {
    if (!has_trouble_ || has_cut_ || orders_.empty()) {
      return;
    }
    has_cut_ = true;
    record_.Line(sender->scheduler->name() +
                 " has sent an order; its links to the store and to the "
                 "machines' platform are cut");
    sender->store->BeginPartition();
    sender->fleet->BeginPartition();
    After(kKillDelay, [this, sender] {
      record_.Line(sender->scheduler->name() + " is killed (SIGKILL)");
      sender->is_down = true;
      sender->scheduler->Signal(SIGKILL);
    });
    After(kKillDelay + kRestartDelay, [this, sender] {
      record_.Line(sender->scheduler->name() + " is started again");
      sender->is_down = false;
    });
    After(kCut, [this, sender] {
      record_.Line("the cut of " + sender->scheduler->name() + " is over");
      sender->store->EndPartition();
      sender->fleet->EndPartition();
      After(kAfterCut, [this] { is_healed_ = true; });
    });
  }

  void OnOrder(const machine_order& order) {
    record_.Line("upkeep of " + order.machine + " by " + order.holder +
                 ", fencing token " + std::to_string(order.token) + " -> " +
                 std::to_string(order.status));
    for (const machine_order& earlier : orders_) {
      if (earlier.machine != order.machine) {
        continue;
      }
      if (order.token < earlier.token) {
        Break(order.machine + ": token " + std::to_string(order.token) +
              " after token " + std::to_string(earlier.token));
      }
      if (order.token == earlier.token && order.holder != earlier.holder) {
        Break(order.machine + ": two holders with token " +
              std::to_string(order.token));
      }
    }
    orders_.push_back(order);
  }

  void Break(const std::string& what) {
    is_broken_ = true;
    record_.Line("BROKEN: ONE: " + what);
  }

  int Report() {
    if (is_broken_) {
      std::cout << "ONE is broken\n";
      return 1;
    }
    const bool has_run = has_trouble_ ? is_healed_ : is_completed_;
    record_.Line(has_run ? "ONE held" : "the case could not run");
    std::cout << (has_run ? "ONE held\n" : "the case could not run\n");
    return has_run ? 0 : 2;
  }

  boost::asio::io_context context_;
  record record_;
  bool has_trouble_;
  std::unique_ptr<log_store> store_;
  std::unique_ptr<fleet_platform> fleet_;
  std::vector<std::shared_ptr<member>> members_;
  std::vector<machine_order> orders_;
  bool has_cut_ = false;
  bool is_healed_ = false;
  bool is_completed_ = false;
  bool is_broken_ = false;
  bool is_over_ = false;
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
    return plantainhead::review::stale_order_case(argv[1], argv[2], has_trouble)
        .Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
