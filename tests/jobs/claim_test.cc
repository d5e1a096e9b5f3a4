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

/// A process that claims a partition of pools as if nobody else could.
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
    deps.is_sure = [this] { return is_sure; };
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

  bool is_sure = true;
  store_view view;
  job_archiver archiver;
  job_meters meters;
  std::unique_ptr<pool_owner> owner;
};

// Guards against a member that was cut off, comes back, and takes its former
// pool from the owner that works.
TEST_CASE("A process whose membership has run out claims no pool") {
  boost::asio::io_context context;
  fakes::site_store store(&context);
  const std::string address = FreeAddress();
  net::http_server server(
      &context, address, {},
      [&](const net::server_request& request, const net::responder& respond) {
        store.Handle(request, respond);
      });
  adapter::store_client client(&context, address, 20);
  claimant back(&context, &client, "back");
  back.is_sure = false;
  back.owner->Start(5);
  context.run_for(std::chrono::milliseconds(500));
  CHECK(back.owner->epoch() == 0);

  SECTION("until it is a member again") {
    back.is_sure = true;
    CHECK(RunUntil(&context, [&] { return back.owner->epoch() == 5; }));
  }
}

// Guards against two owners of one pool: both had claimed it under one epoch,
// and the store answered the second claim as the first one, repeated.
TEST_CASE("Of two claims under one epoch one counts") {
  boost::asio::io_context context;
  fakes::site_store store(&context);
  const std::string address = FreeAddress();
  // Both have read the partition before the first claim is stored.
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
  // The one whose claim didn't count claims again, under a later epoch.
  REQUIRE(RunUntil(&context, [&] {
    return first.owner->IsActive() && second.owner->IsActive();
  }));
  CHECK(first.owner->epoch() != second.owner->epoch());
}

}  // namespace
}  // namespace plantainhead::jobs
