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
// Higher than any epoch that a process of these tests reaches.
constexpr std::uint64_t kHighEpoch = 1000;

/// A process that receives callers' requests, and a fake owner of the pool in
/// the test, which records the requests that are forwarded to it.
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
    // Expires the membership of p1 and blocks its renewal, so that no pool is
    // assigned to it.
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
  /// Status of the owner's responses; 0: it does not respond.
  unsigned status = net::kOk;
};

// A caller submits a job to a process that forwards it to the pool's owner. At
// that moment the owner is replaced, stalled or refused by the store. The job
// must be stored if the caller gets 200, and must not be stored if it gets 503.
TEST_CASE("A job that is forwarded to an owner") {
  fake_owner owner;

  SECTION("is left to the owner if the owner accepts it") {
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.requests.size() == 1);
    CHECK(owner.Stored(kId) == 0);
  }

  SECTION("is stored by the process itself if the owner was replaced") {
    owner.status = net::kMisdirected;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.Stored(kId) == 1);
  }

  SECTION(
      "is stored by the process itself after a wait if the owner is stalled") {
    owner.status = 0;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.Stored(kId) == 1);

    SECTION("without a wait for the next caller") {
      CHECK(owner.deployment.Submit("p1", "0123456789abcde0").status ==
            net::kOk);
      CHECK(owner.requests.size() == 1);
    }
  }

  SECTION("is stored by the process itself if the store refuses the owner") {
    owner.status = net::kUnavailable;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kOk);
    CHECK(owner.Stored(kId) == 1);
  }

  SECTION("gets 503 if the store refuses both") {
    owner.status = net::kUnavailable;
    owner.deployment.store.faults.is_refusing = true;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kUnavailable);
    CHECK(owner.Stored(kId) == 0);
  }

  SECTION("gets no 503 while a stalled owner may still store it") {
    owner.status = 0;
    owner.deployment.store.faults.is_refusing = true;
    CHECK(owner.deployment.Submit("p1", kId).status == net::kGatewayTimeout);
  }
}

// The same for cancellations and queries. A cancellation that is acknowledged
// must be stored; a state that only the owner knows must not be guessed.
TEST_CASE("Other requests that are forwarded to a lost owner") {
  fake_owner owner;
  owner.status = 0;

  SECTION("a cancellation is stored by the process itself") {
    CHECK(owner.Delete().status == net::kOk);
    CHECK(owner.Stored(Encode(cancel_record{kId}).key) == 1);
  }

  SECTION(
      "a query gets neither a state nor a statement that the job does not "
      "exist") {
    CHECK(owner.Query().status == net::kUnavailable);
  }

  SECTION("a query gets no number of waiting jobs") {
    CHECK(
        owner.deployment
            .Call(owner.deployment.addresses.at("p1"), net::method::kGet, "/q/")
            .status == net::kUnavailable);
  }
}

// The announcement of an earlier owner is stored after that of its successor.
// Processes that start then would forward to the wrong owner forever.
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
