#include "jobs/fleet_owner.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kSpareConfiguration =
    R"({"version":3,"routes":[],"services":[{"name":"spares","spare":true}]})";
constexpr const char* kWave =
    R"({"wave":7,"machines":["h1","h2"],"duration_s":600,"maximum":1})";
constexpr const char* kHosts =
    R"({"machines":[
        {"machine":"h1","pool":"spares","state":"up","labels":[],"id":null},
        {"machine":"h2","pool":"spares","state":"up","labels":[],"id":null}],
        "next_token":null})";

/// A fake fleet platform with two hosts of a spare pool that are up again
/// immediately after each service.
class spare_fleet {
 public:
  explicit spare_fleet(boost::asio::io_context* context)
      : address_(FreeAddress()),
        server_(context,
                address_,
                net::http_server_options(),
                [this](const net::server_request& request,
                       const net::responder& respond) {
                  if (request.target == "/plantainhead/machine-upkeep") {
                    serviced_.push_back(
                        nlohmann::json::parse(request.body)["machine"]
                            .get<std::string>());
                    respond({200, {}, "{}"});
                  } else {
                    ++listings_;
                    respond({200, {}, kHosts});
                  }
                }) {}

  const std::string& address() const { return address_; }
  /// Number of reads of the host list; only a fleet owner reads it.
  int listings() const { return listings_; }
  /// The hosts that were ordered to be serviced, in order of arrival.
  const std::vector<std::string>& serviced() const { return serviced_; }

 private:
  std::string address_;
  net::http_server server_;
  int listings_ = 0;
  std::vector<std::string> serviced_;
};

// Guards against a host that is taken down a second time: a fleet owner
// services a host and is lost, and the next owner claims the fleet while the
// fleet records cannot be read, so that it knows only the wave.
TEST_CASE("A new fleet owner knows which hosts were serviced") {
  site site;
  spare_fleet fleet(&site.context);
  site.store.Put("keyed.op", "config", kSpareConfiguration);
  site.store.Put("keyed.op", "wave/7", kWave);
  site.store.Put("keyed.plantain-fleet", "serviced/7/h1", "1");
  site.store.faults.silent_topic = "plantain-fleet";
  site.AddProcess("p1", fleet.address());
  REQUIRE(site.AwaitReady("p1"));
  // If this were too short for an owner to become active, the test would only
  // check less.
  site.RunFor(seconds(3));
  CHECK(fleet.serviced().empty());

  site.store.faults.silent_topic.clear();
  const bool is_complete = RunUntil(&site.context, [&] {
    const auto status = site.store.Newest("keyed.status", "wave/7");
    return status && status->find("completed") != std::string::npos;
  });
  CHECK(is_complete);
  CHECK(fleet.serviced() == std::vector<std::string>{"h2"});
}

// Guards against two owners that order one host within the lease: the store
// answered late, and the order was sent long after the record that informs the
// next owner of it.
TEST_CASE("An order for a host is recorded again if its record is too old") {
  site site;
  spare_fleet fleet(&site.context);
  site.store.Put("keyed.op", "config", kSpareConfiguration);
  site.AddProcess("p1", fleet.address());
  REQUIRE(RunUntil(&site.context, [&] { return fleet.listings() > 0; }));
  site.store.faults.loses_answers = true;
  site.store.Put("keyed.op", "wave/7", kWave);
  const auto records = [&] {
    return site.store.CountRecords("keyed.plantain-progress", "order/h1") +
           site.store.CountRecords("keyed.plantain-progress", "order/h2");
  };
  REQUIRE(RunUntil(&site.context, [&] { return records() > 0; }));
  site.store.faults.loses_answers = false;
  REQUIRE(RunUntil(&site.context, [&] { return !fleet.serviced().empty(); }));
  CHECK(records() > 1);
}

// Guards against an owner that sends a move again and again although a newer
// owner controls the host.
TEST_CASE("A fleet owner whose move is fenced claims the fleet again") {
  site site;
  const std::string address = FreeAddress();
  int moves = 0;
  net::http_server server(
      &site.context, address, net::http_server_options(),
      [&](const net::server_request& request, const net::responder& respond) {
        if (request.target == "/plantainhead/machine-move") {
          ++moves;
          respond({409, {}, R"({"reason":"fence"})"});
        } else {
          respond({200, {}, kHosts});
        }
      });
  site.store.Put("keyed.op", "config",
                 R"({"version":3,"routes":[],"services":[{"name":"pool"},
                     {"name":"spares","spare":true}]})");
  site.store.Put("keyed.plantain-fleet", "wanted/pool", "1");
  site.AddProcess("p1", address);
  const auto owner = [&] {
    return site.store.NewestIn("keyed.plantain-progress", kFleetPartition,
                               "owner");
  };
  REQUIRE(RunUntil(&site.context, [&] { return moves > 0; }));
  const auto before = owner();
  REQUIRE(before);
  CHECK(RunUntil(&site.context, [&] { return owner() != before; }));
}

}  // namespace
}  // namespace plantainhead::jobs
