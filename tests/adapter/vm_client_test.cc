#include "platform/vm_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "free_address.h"
#include "net/http_server.h"
#include "run_until.h"

namespace plantainhead::adapter {
namespace {

using core::jobs::hold_parameters;
using core::jobs::run_ref;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FreeAddress;
using testing::RunUntil;

constexpr std::int64_t kFirstIncarnation = 1000;
constexpr std::int64_t kNextIncarnation = 2000;
constexpr std::uint64_t kFencingToken = 7;

/// A VM at one address that restarts under its id. It records the bodies of the
/// calls that its current incarnation receives.
class restarting_vm {
 public:
  restarting_vm() { Start(kFirstIncarnation); }

  void Start(std::int64_t incarnation) {
    server.reset();
    received.clear();
    server = std::make_unique<net::http_server>(
        &context, address, net::http_server_options(),
        [this, incarnation](const net::server_request& request,
                            const net::responder& respond) {
          received.push_back(request.target + " " + request.body);
          respond({200,
                   {},
                   R"({"clock_ms":5,"running":[],"finished":[],"born":)" +
                       std::to_string(incarnation) + "}"});
        });
  }

  bool HasReceived(const std::string& text) const {
    return std::any_of(received.begin(), received.end(),
                       [&text](const std::string& call) {
                         return call.find(text) != std::string::npos;
                       });
  }

  /// Sends a hold and returns its outcome.
  hold_outcome Hold(const hold_parameters& hold) {
    std::optional<hold_outcome> outcome;
    client.Hold(hold, kFencingToken, seconds(10), {},
                [&](const hold_reply& reply) { outcome = reply.outcome; });
    REQUIRE(RunUntil(&context, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  boost::asio::io_context context;
  std::string address = FreeAddress();
  std::unique_ptr<net::http_server> server;
  std::vector<std::string> received;
  std::vector<core::jobs::vm_incarnation> unexpected;
  vm_client client{&context, "vm-1", address,
                   [this](milliseconds /*age*/, const hold_reply& reply) {
                     unexpected.push_back(reply.listing.incarnation);
                   }};
};

hold_parameters HoldWithLease(std::int64_t incarnation) {
  hold_parameters hold;
  hold.incarnation = incarnation;
  hold.lease_until = milliseconds(60'000);
  return hold;
}

// Guards against calls that are made for one incarnation of a VM and are
// carried out by the next one: a task that runs twice, a lease that lasts
// longer than its owner assumes, and an end that is lost unread.
TEST_CASE("A VM that has restarted does not receive earlier calls") {
  restarting_vm vm;
  REQUIRE(vm.Hold(HoldWithLease(kFirstIncarnation)) == hold_outcome::kListed);
  vm.Start(kNextIncarnation);

  SECTION("such as a start") {
    std::optional<core::jobs::start_result> result;
    core::jobs::start_order order;
    order.target = {"vm-1", {"job", 0, 0, 0}, 1};
    order.incarnation = kFirstIncarnation;
    order.job = std::make_shared<core::jobs::job_spec>();
    vm.client.Start(order, kFencingToken, seconds(10), {},
                    [&](core::jobs::start_result got) { result = got; });
    REQUIRE(RunUntil(&vm.context, [&] { return result.has_value(); }));
    CHECK(*result == core::jobs::start_result::kNotSent);
    CHECK_FALSE(vm.HasReceived("run-start"));
  }

  SECTION("or a stop") {
    std::optional<bool> is_confirmed;
    vm.client.Stop({{"vm-1", {"job", 0, 0, 0}, 1}, kFirstIncarnation},
                   kFencingToken, seconds(10),
                   [&](bool confirmed) { is_confirmed = confirmed; });
    REQUIRE(RunUntil(&vm.context, [&] { return is_confirmed.has_value(); }));
    CHECK_FALSE(*is_confirmed);
    CHECK_FALSE(vm.HasReceived("run-stop"));
  }

  SECTION("or a hold that extends the lease") {
    CHECK(vm.Hold(HoldWithLease(kFirstIncarnation)) ==
          hold_outcome::kUnanswered);
    CHECK_FALSE(vm.HasReceived("deadline_ms"));
  }

  SECTION("or a hold that acknowledges ends") {
    hold_parameters hold;
    hold.incarnation = kFirstIncarnation;
    hold.acknowledged_through = 5;
    CHECK(vm.Hold(hold) == hold_outcome::kUnanswered);
    CHECK_FALSE(vm.HasReceived(R"("acked_through":5)"));
  }
  REQUIRE(vm.unexpected.size() == 1);
  CHECK(vm.unexpected[0] == kNextIncarnation);

  // Calls that were made for it arrive.
  CHECK(vm.Hold(HoldWithLease(kNextIncarnation)) == hold_outcome::kListed);
  CHECK(vm.HasReceived("deadline_ms"));
}

}  // namespace
}  // namespace plantainhead::adapter
