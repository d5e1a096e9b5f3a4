#include "jobs/store_view.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "free_address.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "run_until.h"
#include "site_store.h"

namespace plantainhead::jobs {
namespace {

using testing::RunUntil;

constexpr std::size_t kConnections = 40;
constexpr std::size_t kRecords = 300;

/// A store, and the view of it in a process that owns the fleet.
class store_view_fixture {
 public:
  store_view_fixture() : store(&context), address_(testing::FreeAddress()) {
    server_ = std::make_unique<net::http_server>(
        &context, address_, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          store.Handle(request, respond);
        });
    client_ = std::make_unique<adapter::store_client>(&context, address_,
                                                      kConnections);
    store_view::listeners listeners;
    listeners.on_job = [](const auto& /*job*/) {};
    listeners.on_cancel = [](const auto& /*job*/) {};
    listeners.on_configuration = [] {};
    listeners.on_registry = [this] {
      ++registry_calls;
      knows_last_vm = view->registry().IsListed("last");
    };
    listeners.on_fleet_records = [this] {
      ++fleet_calls;
      fleet_records_told = view->fleet_records().size();
    };
    listeners.on_announcement = [](const auto& /*announcement*/) {};
    listeners.on_store_contact = [](bool /*is_answered*/) {};
    view = std::make_unique<store_view>(&context, client_.get(),
                                        follower_settings(),
                                        std::chrono::seconds(2), listeners);
    store.Put("keyed.op", "config",
              R"({"version":3,"routes":[],"services":[{"name":"pool"}]})");
    view->Start();
    view->SetFleetOwned(true);
  }

  bool AwaitFollowed() {
    bool is_read = false;
    view->RefreshFleetRecords([&] { is_read = true; });
    return RunUntil(&context, [&] { return is_read; });
  }

  boost::asio::io_context context;
  fakes::site_store store;
  std::unique_ptr<store_view> view;
  std::size_t registry_calls = 0;
  std::size_t fleet_calls = 0;
  /// As of the last callback.
  bool knows_last_vm = false;
  std::size_t fleet_records_told = 0;

 private:
  std::string address_;
  std::unique_ptr<net::http_server> server_;
  std::unique_ptr<adapter::store_client> client_;
};

// Guards against an owner that is blocked for seconds and loses its ownership
// because it scanned all records once for each record of a response.
TEST_CASE("Listeners are called once for many records that arrive together") {
  store_view_fixture fixture;
  REQUIRE(fixture.AwaitFollowed());

  SECTION("records of the fleet") {
    for (std::size_t i = 0; i < kRecords; ++i) {
      fixture.store.Put("keyed.plantain-fleet", "closed/vm" + std::to_string(i),
                        "1");
    }
    REQUIRE(RunUntil(&fixture.context,
                     [&] { return fixture.fleet_records_told == kRecords; }));
    CHECK(fixture.fleet_calls < kRecords / 10);
  }

  SECTION("registry entries of VMs") {
    for (std::size_t i = 0; i < kRecords; ++i) {
      fixture.store.Put("keyed.servers", "vm" + std::to_string(i),
                        std::nullopt);
    }
    fixture.store.Put("keyed.servers", "last", "{");
    REQUIRE(RunUntil(&fixture.context, [&] { return fixture.knows_last_vm; }));
    CHECK(fixture.registry_calls < kRecords / 10);
  }
}

}  // namespace
}  // namespace plantainhead::jobs
