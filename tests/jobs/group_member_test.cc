#include "jobs/group_member.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "free_address.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "run_until.h"
#include "site_store.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using testing::RunUntil;

constexpr std::size_t kStoreConnections = 20;

/// A store, and members that join its group.
class group {
 public:
  group() : store(&context), address_(testing::FreeAddress()) {
    server_ = std::make_unique<net::http_server>(
        &context, address_, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          store.Handle(request, respond);
        });
    client_ = std::make_unique<adapter::store_client>(&context, address_,
                                                      kStoreConnections);
  }

  void Add(const std::string& name, member_role role) {
    member_settings settings;
    settings.role = role;
    settings.enough_members = 2;
    settings.enough_for_reserves = 2;
    settings.look_interval = milliseconds(20);
    settings.reserve_look_interval = milliseconds(20);
    settings.leave_limit = milliseconds(20);
    members[name] = std::make_unique<group_member>(
        &context, client_.get(), settings, name,
        [this, name](std::uint64_t, const std::set<std::uint32_t>& partitions) {
          dealt[name] = partitions;
        });
    members[name]->Start();
  }

  bool Await(const std::set<std::string>& names) {
    return RunUntil(&context, [&] { return store.Members() == names; });
  }

  boost::asio::io_context context;
  fakes::site_store store;
  std::map<std::string, std::unique_ptr<group_member>> members;
  std::map<std::string, std::set<std::uint32_t>> dealt;

 private:
  std::string address_;
  std::unique_ptr<net::http_server> server_;
  std::unique_ptr<adapter::store_client> client_;
};

// Two processes have half a core and two an eighth. Dealt evenly, large pools
// would go to the small ones, which place tasks seconds too late. So these
// join only while the others are too few, and give back what they were dealt.
TEST_CASE("A reserve owns partitions only while regular members are missing") {
  group group;
  group.Add("small-1", member_role::kReserve);
  group.Add("large-1", member_role::kRegular);
  group.Add("large-2", member_role::kRegular);
  REQUIRE(group.Await({"large-1", "large-2"}));
  group.context.run_for(milliseconds(200));
  CHECK(group.store.Members() == std::set<std::string>{"large-1", "large-2"});

  SECTION("One of the regular members dies, and the reserve steps in") {
    group.members.erase("large-2");
    group.store.Expire("large-2");
    REQUIRE(group.Await({"large-1", "small-1+reserve"}));
    REQUIRE(RunUntil(&group.context,
                     [&] { return !group.dealt["small-1"].empty(); }));

    SECTION("and gives all back when there are enough again") {
      group.Add("large-2", member_role::kRegular);
      CHECK(group.Await({"large-1", "large-2"}));
      CHECK(group.dealt["small-1"].empty());
    }
  }
}

}  // namespace
}  // namespace plantainhead::jobs
