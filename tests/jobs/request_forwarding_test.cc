#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/record_codec.h"
#include "jobs/small_site.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/http_status.h"
#include "peers/owner_announcement.h"
#include "run_until.h"

namespace plantainhead::jobs {
namespace {

using std::nullopt;

constexpr const char* kJobsTopic = "keyed.plantain-jobs";
constexpr const char* kAddressTopic = "keyed.plantain-addresses";
// Above any epoch that a process of these tests reaches.
constexpr std::uint64_t kHighEpoch = 1000;

/// A process that callers talk to, and another that owns the pool, played by
/// the test: it holds what is passed on to it.
struct fake_owner {
  fake_owner() : address(FreeAddress()) {
    server = std::make_unique<net::http_server>(
        &deployment.context, address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          requests.push_back(request);
          if (status != 0) {
            respond({status, {}, "{}"});
          } else {
            held.push_back(respond);
          }
        });
    // A member that never claims anything is dealt the pools.
    deployment.AddProcess("p1");
    REQUIRE(deployment.AwaitReady("p1"));
    deployment.RunFor(seconds(1));
    deployment.store.Expire("p1");
    deployment.store.faults.silent_topic = "log-join";
    deployment.RunFor(seconds(3));
    Announce();
  }

  void Announce() {
    const auto record =
        peers::Encode({PoolPartitionOf("pool"), {kHighEpoch, address}});
    deployment.store.Put(kAddressTopic, record.key, record.value);
    deployment.RunFor(milliseconds(200));
  }

  net::client_reply Delete() {
    return deployment.Call(deployment.addresses.at("p1"), net::method::kDelete,
                           "/q/" + std::string(kId));
  }
  net::client_reply Query() {
    return deployment.Call(deployment.addresses.at("p1"), net::method::kGet,
                           "/q/" + std::string(kId));
  }
  std::size_t Stored(const std::string& key) const {
    return deployment.store.CountRecords(kJobsTopic, key);
  }

  site deployment;
  std::string address;
  std::unique_ptr<net::http_server> server;
  std::vector<net::server_request> requests;
  std::vector<net::responder> held;
  /// What the owner answers; 0: nothing.
  unsigned status = net::kOk;
};

// A caller hands a job in at a process that passes it on to the pool's owner.
// The owner is replaced, frozen or refused by the store at that moment. The job
// must be stored when the caller is told that it is, and must not be when it is
// told that it was refused.
TEST_CASE("A job that is passed on to an owner") {
  fake_owner owner;

  SECTION("is the owner's when it says so") {
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.requests.size() == 1);
    CHECK(owner.Stored(kId) == 0);
  }

  SECTION("is stored by the process itself when the owner isn't one any more") {
    owner.status = net::kMisdirected;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.Stored(kId) == 1);
  }

  SECTION("when the owner is frozen, too, after one wait") {
    owner.status = 0;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.Stored(kId) == 1);

    SECTION("which the next caller doesn't have") {
      CHECK(owner.deployment.Submit("p1", "0123456789abcde0").status ==
            net::kOk);
      CHECK(owner.requests.size() == 1);
    }
  }

  SECTION("and when the store refuses the owner") {
    owner.status = net::kUnavailable;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.Stored(kId) == 1);
  }

  SECTION("is refused when the store refuses both") {
    owner.status = net::kUnavailable;
    owner.deployment.store.faults.is_refusing = true;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kUnavailable);
    CHECK(owner.Stored(kId) == 0);
  }

  SECTION("isn't refused while a frozen owner may still store it") {
    owner.status = 0;
    owner.deployment.store.faults.is_refusing = true;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kGatewayTimeout);
  }
}

// The same for a cancellation and for a question. A cancellation that is
// answered must be stored; a state that only the owner knows isn't made up.
TEST_CASE("What else is passed on to an owner that is lost") {
  fake_owner owner;
  owner.status = 0;

  SECTION("a cancellation is stored by the process itself") {
    CHECK(owner.Delete().status == net::kOk);
    CHECK(owner.Stored(Encode(cancel_record{kId}).key) == 1);
  }

  SECTION("a state isn't told, and neither is that there is no such job") {
    CHECK(owner.Query().status == net::kUnavailable);
  }

  SECTION("a number of waiting jobs isn't told") {
    CHECK(
        owner.deployment
            .Call(owner.deployment.addresses.at("p1"), net::method::kGet, "/q/")
            .status == net::kUnavailable);
  }
}

// An owner's announcement is stored late, after that of the one that followed.
// Processes that start then would ask the wrong one for ever.
TEST_CASE("An owner announces itself again after an older announcement") {
  site deployment;
  const std::string key = std::to_string(PoolPartitionOf("pool"));
  const auto announced = [&] {
    return deployment.store.Newest(kAddressTopic, key);
  };
  deployment.AddProcess("p1");
  REQUIRE(
      RunUntil(&deployment.context, [&] { return announced() != nullopt; }));
  const auto first = announced();
  deployment.processes.erase("p1");
  deployment.store.Expire("p1");
  deployment.AddProcess("p2");
  REQUIRE(RunUntil(&deployment.context, [&] { return announced() != first; }));
  const auto own = announced();
  deployment.store.Put(kAddressTopic, key, first);
  CHECK(RunUntil(&deployment.context, [&] { return announced() == own; }));
}

}  // namespace
}  // namespace plantainhead::jobs
