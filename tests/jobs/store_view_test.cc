#include "jobs/store_view.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "free_address.h"
#include "jobs/job_partitions.h"
#include "jobs/record_codec.h"
#include "net/http_server.h"
#include "plantainhead/core/jobs/job_memory.h"
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

/// A process that owns `pool` and has read jobs of another pool.
struct other_jobs_fixture : store_view_fixture {
  explicit other_jobs_fixture(int jobs) {
    spec.queue = "other-queue";
    spec.pool = "other-pool";
    spec.steps.resize(100);
    bytes = core::jobs::MemoryOf(spec);
    view->SetJobMemory(2 * bytes);
    REQUIRE(PoolPartitionOf("pool") != PoolPartitionOf(spec.pool));
    for (int i = 0; i < jobs; ++i) {
      spec.id = "0123456789abcde" + std::to_string(i);
      const adapter::keyed_record record = Encode(submission_record{spec});
      store.Put("keyed.plantain-jobs", record.key, record.value,
                JobPartitionOf(spec.queue, spec.id));
    }
    view->SetOwned({PoolPartitionOf("pool")});
    REQUIRE(RefreshAll());
  }

  bool RefreshAll() {
    bool is_read = false;
    view->RefreshAllJobs([&] { is_read = true; });
    return RunUntil(&context, [&] { return is_read; });
  }

  core::jobs::job_spec spec;
  std::size_t bytes = 0;
};

// Guards against owners that refuse all jobs because jobs of pools that they do
// not own, which they read at a takeover, fill their memory.
TEST_CASE("Jobs of other pools make room for those of owned pools") {
  SECTION("when a new job is submitted") {
    other_jobs_fixture fixture(2);
    CHECK(fixture.view->directory().memory() > fixture.bytes);
    CHECK(fixture.view->MakeMemoryForNewJob(fixture.bytes));
    CHECK(fixture.view->directory().memory() == 0);
  }

  SECTION("and are opened when their pool is owned, too") {
    other_jobs_fixture fixture(6);
    CHECK(fixture.view->directory().unopened().size() >= 4);
    fixture.view->SetJobMemory(10 * fixture.bytes);
    fixture.view->SetOwned(
        {PoolPartitionOf("pool"), PoolPartitionOf("other-pool")});
    REQUIRE(fixture.RefreshAll());
    CHECK(fixture.view->directory().unopened().empty());
    CHECK(fixture.view->directory().memory() > 5 * fixture.bytes);
  }
}

}  // namespace
}  // namespace plantainhead::jobs
