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

/// Answers for the users' fleet: two hosts of a spare pool, which are back at
/// once after each service.
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
  /// Only an owner of the fleet reads the list.
  int listings() const { return listings_; }
  /// The hosts for which an order to service them came, in turn.
  const std::vector<std::string>& serviced() const { return serviced_; }

 private:
  std::string address_;
  net::http_server server_;
  int listings_ = 0;
  std::vector<std::string> serviced_;
};

// An owner of the fleet has serviced a host and is lost. The next one claims
// the fleet while the records of it can't be read, and knows the wave alone.
// Were it to begin so, the host would be taken down a second time.
TEST_CASE("A new owner of the fleet knows which hosts were serviced") {
  site site;
  spare_fleet fleet(&site.context);
  site.store.Put("keyed.op", "config", kSpareConfiguration);
  site.store.Put("keyed.op", "wave/7", kWave);
  site.store.Put("keyed.plantain-fleet", "serviced/7/h1", "1");
  site.store.faults.silent_topic = "plantain-fleet";
  site.AddProcess("p1", fleet.address());
  REQUIRE(site.AwaitReady("p1"));
  // Were this too short for an owner to begin, the test would only show less.
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

// Guards against two holders that order one host within the lease: the store
// answered late, and the order left long after the record that tells the next
// owner of it.
TEST_CASE("An order for a host is recorded again when its record is old") {
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

}  // namespace
}  // namespace plantainhead::jobs
