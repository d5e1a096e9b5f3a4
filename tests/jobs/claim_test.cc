#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "free_address.h"
#include "jobs/job_archiver.h"
#include "jobs/job_meters.h"
#include "jobs/pool_owner.h"
#include "jobs/store_view.h"
#include "net/http_server.h"
#include "run_until.h"
#include "site_store.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::seconds;
using testing::FreeAddress;
using testing::RunUntil;

/// A process that claims a pool partition regardless of other processes.
struct claimant {
  claimant(boost::asio::io_context* context,
           adapter::store_client* client,
           const std::string& name)
      : view(context, client, {}, seconds(2), Listeners()),
        archiver(context, client, {}) {
    view.Start();
    pool_owner::dependencies deps;
    deps.context = context;
    deps.store = client;
    deps.view = &view;
    deps.archiver = &archiver;
    deps.meters = &meters;
    deps.member = name;
    deps.is_ownership_confirmed = [this] { return is_ownership_confirmed; };
    deps.on_active = [](std::uint64_t) {};
    deps.on_fenced = [] {};
    view.SetOwned({0});
    owner = std::make_unique<pool_owner>(deps, 0, owner_settings());
  }

  static store_view::listeners Listeners() {
    store_view::listeners listeners;
    listeners.on_job = [](const auto&) {};
    listeners.on_cancel = [](const auto&) {};
    listeners.on_configuration = [] {};
    listeners.on_registry = [] {};
    listeners.on_fleet_records = [] {};
    listeners.on_announcement = [](const auto&) {};
    listeners.on_store_contact = [](bool) {};
    return listeners;
  }

  bool is_ownership_confirmed = true;
  store_view view;
  job_archiver archiver;
  job_meters meters;
  std::unique_ptr<pool_owner> owner;
};

// Guards against a member that was disconnected, returns, and takes its former
// pool from the active owner.
TEST_CASE("A process whose membership has expired claims no pool") {
  boost::asio::io_context context;
  fakes::site_store store(&context);
  const std::string address = FreeAddress();
  net::http_server server(
      &context, address, {},
      [&](const net::server_request& request, const net::responder& respond) {
        store.Handle(request, respond);
      });
  adapter::store_client client(&context, address, 20);
  claimant rejoining(&context, &client, "back");
  rejoining.is_ownership_confirmed = false;
  rejoining.owner->Start(5);
  context.run_for(std::chrono::milliseconds(500));
  CHECK(rejoining.owner->epoch() == 0);

  SECTION("until it is a member again") {
    rejoining.is_ownership_confirmed = true;
    CHECK(RunUntil(&context, [&] { return rejoining.owner->epoch() == 5; }));
  }
}

// Guards against two owners of one pool: both had claimed it under the same
// epoch, and the store treated the second claim as a repetition of the first.
TEST_CASE("Only one of two claims under the same epoch is accepted") {
  boost::asio::io_context context;
  fakes::site_store store(&context);
  const std::string address = FreeAddress();
  // Both processes have read the partition before the first claim is stored.
  int claims = 0;
  std::function<void()> first_claim;
  net::http_server server(
      &context, address, net::http_server_options(),
      [&](const net::server_request& request, const net::responder& respond) {
        const bool is_claim = claims < 2 && request.target.find("log-append") !=
                                                std::string::npos;
        if (is_claim && ++claims == 1) {
          first_claim = [&store, request, respond] {
            store.Handle(request, respond);
          };
          return;
        }
        if (is_claim) {
          first_claim();
        }
        store.Handle(request, respond);
      });
  constexpr std::size_t kConnections = 40;
  adapter::store_client client(&context, address, kConnections);
  claimant first(&context, &client, "p1");
  claimant second(&context, &client, "p2");
  constexpr std::uint64_t kGeneration = 15;
  first.owner->Start(kGeneration);
  second.owner->Start(kGeneration);
  // The process whose claim was not accepted claims again under a later epoch.
  REQUIRE(RunUntil(&context, [&] {
    return first.owner->IsActive() && second.owner->IsActive();
  }));
  CHECK(first.owner->epoch() != second.owner->epoch());
}

// Guards against tasks that run twice: the answer to a claim is lost, and its
// repetition takes the lost claim for the predecessor and does not wait for the
// owner before it.
TEST_CASE("A repeated claim still considers the owner before it") {
  boost::asio::io_context context;
  fakes::site_store store(&context);
  const std::string address = FreeAddress();
  int member_reads = 0;
  int claims = 0;
  net::http_server server(
      &context, address, net::http_server_options(),
      [&](const net::server_request& request, const net::responder& respond) {
        const auto contains = [&](const char* text) {
          return request.target.find(text) != std::string::npos;
        };
        member_reads += contains("log-owners") ? 1 : 0;
        const bool is_claim = contains("log-append") && contains("as_of");
        claims += is_claim ? 1 : 0;
        constexpr int kLostClaim = 2;
        store.faults.loses_answers = is_claim && claims == kLostClaim;
        store.Handle(request, respond);
        store.faults.loses_answers = false;
      });
  constexpr std::size_t kConnections = 40;
  adapter::store_client client(&context, address, kConnections);
  claimant first(&context, &client, "p1");
  first.owner->Start(1);
  REQUIRE(RunUntil(&context, [&] { return first.owner->IsActive(); }));
  REQUIRE(claims == 1);
  REQUIRE(member_reads == 0);
  claimant second(&context, &client, "p2");
  second.owner->Start(20);
  REQUIRE(RunUntil(&context, [&] { return second.owner->IsActive(); }));
  CHECK(claims > 2);
  CHECK(member_reads > 0);
}

}  // namespace
}  // namespace plantainhead::jobs
