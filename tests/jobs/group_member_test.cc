#include "jobs/group_member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "free_address.h"
#include "jobs/clocks.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "run_until.h"
#include "site_store.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using testing::RunUntil;

constexpr std::size_t kStoreConnections = 20;

/// A fake store and the members that join its group.
class group {
 public:
  group() : store(&context), address_(testing::FreeAddress()) {
    server_ = std::make_unique<net::http_server>(
        &context, address_, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          const bool is_join = request.target == "/plantainhead/log-join";
          const bool is_disconnected =
              !disconnected_member.empty() &&
              (!is_join ||
               request.body.find(disconnected_member) != std::string::npos);
          if (is_disconnected) {
            return;
          }
          if (rejects_member_lists && !is_join) {
            respond({429, {}, ""});
            return;
          }
          if (answers_only_joins && !is_join) {
            return;
          }
          const int delayed = is_join && answer_delay.count() > 0 ? 1 : 0;
          delayed_joins += delayed;
          Delay(answer_delay, [this, request, respond, delayed] {
            delayed_joins -= delayed;
            store.Handle(request, respond);
          });
        });
    client_ = std::make_unique<adapter::store_client>(&context, address_,
                                                      kStoreConnections);
  }

  void Add(const std::string& name, member_role role) {
    member_settings settings;
    settings.role = role;
    settings.sufficient_members = 2;
    settings.min_regular_members = 2;
    settings.check_interval = milliseconds(20);
    settings.rejoin_jitter = milliseconds(100);
    settings.reserve_check_interval = milliseconds(20);
    settings.withdraw_timeout = milliseconds(20);
    settings.time_to_live = time_to_live;
    members[name] = std::make_unique<group_member>(
        &context, client_.get(), settings, name,
        [this, name](std::uint64_t, const std::set<std::uint32_t>& partitions) {
          assigned[name] = partitions;
        });
    members[name]->Start();
  }

  void Delay(milliseconds time, const std::function<void()>& action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context);
    timer->expires_after(time);
    timer->async_wait(
        [timer, action](const boost::system::error_code& /*error*/) {
          action();
        });
  }

  /// Sends calls that occupy all connections of the client permanently.
  void TakeConnections() {
    for (std::size_t i = 0; i < kStoreConnections; ++i) {
      client_->ReadNewest({"keyed.topic", 0}, "", std::chrono::hours(1),
                          [](const adapter::newest_reply& /*reply*/) {});
    }
  }

  bool Await(const std::set<std::string>& names) {
    return RunUntil(&context, [&] { return store.Members() == names; });
  }

  boost::asio::io_context context;
  fakes::site_store store;
  /// Delay of the answers to all calls that arrive from now on.
  milliseconds answer_delay{0};
  bool answers_only_joins = false;
  bool rejects_member_lists = false;
  /// Joins of this member and all requests for the member list are not
  /// answered.
  std::string disconnected_member;
  milliseconds time_to_live = member_settings().time_to_live;
  /// Joins that have arrived and are not processed yet.
  int delayed_joins = 0;
  std::map<std::string, std::unique_ptr<group_member>> members;
  std::map<std::string, std::set<std::uint32_t>> assigned;

 private:
  std::string address_;
  std::unique_ptr<net::http_server> server_;
  std::unique_ptr<adapter::store_client> client_;
};

// Guards against small processes that own large pools and place tasks seconds
// late, because the group assigns partitions evenly to processes with half a
// core and with an eighth. Reserves join only while there are too few regular
// members, and then give up what they were assigned.
TEST_CASE("A reserve owns partitions only while regular members are missing") {
  group group;
  group.Add("small-1", member_role::kReserve);
  group.Add("large-1", member_role::kRegular);
  group.Add("large-2", member_role::kRegular);
  REQUIRE(group.Await({"large-1", "large-2"}));
  group.context.run_for(milliseconds(200));
  CHECK(group.store.Members() == std::set<std::string>{"large-1", "large-2"});

  SECTION("A regular member dies and the reserve joins") {
    group.members.erase("large-2");
    group.store.Expire("large-2");
    REQUIRE(group.Await({"large-1", "small-1+reserve"}));
    REQUIRE(RunUntil(&group.context,
                     [&] { return !group.assigned["small-1"].empty(); }));

    SECTION("and leaves when there are enough members again") {
      group.Add("large-2", member_role::kRegular);
      CHECK(group.Await({"large-1", "large-2"}));
      CHECK(group.assigned["small-1"].empty());
    }
  }
}

// Guards against all pools changing owners at once although the owners are
// healthy, because members that were disconnected for a while return together.
TEST_CASE("A member whose membership expired rejoins only if it is needed") {
  group group;
  group.time_to_live = milliseconds(1000);
  group.Add("large-1", member_role::kRegular);
  group.Add("large-2", member_role::kRegular);
  REQUIRE(group.Await({"large-1", "large-2"}));
  group.Add("large-3", member_role::kRegular);
  group.members.at("large-3")->RenewNow();
  REQUIRE(group.Await({"large-1", "large-2", "large-3"}));
  REQUIRE(RunUntil(&group.context,
                   [&] { return !group.assigned["large-3"].empty(); }));
  group.disconnected_member = "large-3";
  group.store.Expire("large-3");
  const core::time_point disconnected_at = BootTime();
  const group_member& member = *group.members.at("large-3");
  REQUIRE(RunUntil(&group.context, [&] {
    return BootTime() > member.RenewedAt() + group.time_to_live &&
           BootTime() > disconnected_at + group.time_to_live;
  }));

  SECTION("not needed: it gives up its partitions") {
    group.disconnected_member.clear();
    REQUIRE(RunUntil(&group.context,
                     [&] { return group.assigned["large-3"].empty(); }));
    group.context.run_for(milliseconds(200));
    CHECK(group.store.Members() == std::set<std::string>{"large-1", "large-2"});

    SECTION("and rejoins when another member has gone") {
      group.members.erase("large-2");
      group.store.Expire("large-2");
      CHECK(group.Await({"large-1", "large-3"}));
    }
  }

  SECTION("the store rejects requests for the member list") {
    group.rejects_member_lists = true;
    group.disconnected_member.clear();
    CHECK(group.Await({"large-1", "large-2", "large-3"}));
  }

  SECTION("needed because another member has gone") {
    group.members.erase("large-2");
    group.store.Expire("large-2");
    group.disconnected_member.clear();
    CHECK(group.Await({"large-1", "large-3"}));
  }
}

// Guards against a group that never forms again after all regular members have
// gone and only reserves are left.
TEST_CASE("Reserves join when the group has no members left") {
  group group;
  group.Add("large-1", member_role::kRegular);
  REQUIRE(group.Await({"large-1"}));
  group.members.clear();
  group.store.Expire("large-1");
  group.Add("small-1", member_role::kReserve);
  group.Add("small-2", member_role::kReserve);
  REQUIRE(group.Await({"small-1+reserve", "small-2+reserve"}));
  CHECK(RunUntil(&group.context,
                 [&] { return !group.assigned["small-1"].empty(); }));
}

// Guards against a new owner that considers a live reserve gone because the
// group lists the reserve under a name with a suffix.
TEST_CASE("ProcessesOf removes the suffix of reserves") {
  CHECK(ProcessesOf({"p1+reserve", "p2"}) == std::set<std::string>{"p1", "p2"});
}

// Guards against a membership that expires although the store accepts each
// renewal: over a saturated link the answers arrived after the timeout and were
// discarded.
TEST_CASE("A renewal with a late answer is accepted") {
  group group;
  group.Add("large-1", member_role::kRegular);
  REQUIRE(RunUntil(&group.context,
                   [&] { return !group.assigned["large-1"].empty(); }));
  group.answer_delay = milliseconds(1500);
  const group_member& member = *group.members.at("large-1");
  const core::time_point slow_from = BootTime();
  CHECK(
      RunUntil(&group.context, [&] { return member.RenewedAt() > slow_from; }));
}

// Guards against a membership that expires because its renewals wait for
// connections occupied by long reads.
TEST_CASE("A renewal does not wait for other calls") {
  group group;
  group.answers_only_joins = true;
  group.TakeConnections();
  group.Add("large-1", member_role::kRegular);
  group.members.at("large-1")->RenewNow();
  CHECK(group.Await({"large-1"}));
}

// Guards against a pool without an owner: a join that the store processed after
// the member had left assigned its partitions to it again for the whole time to
// live.
TEST_CASE("A late join does not restore the membership of a member that left") {
  group group;
  group.Add("large-1", member_role::kRegular);
  REQUIRE(RunUntil(&group.context,
                   [&] { return !group.assigned["large-1"].empty(); }));
  group.answer_delay = milliseconds(900);
  REQUIRE(RunUntil(&group.context, [&] { return group.delayed_joins > 0; }));
  group.answer_delay = milliseconds(0);
  bool has_left = false;
  group.members.at("large-1")->Leave([&] { has_left = true; });
  REQUIRE(RunUntil(&group.context, [&] { return has_left; }));
  REQUIRE(RunUntil(&group.context, [&] { return group.delayed_joins == 0; }));
  CHECK(group.Await({}));
}

}  // namespace
}  // namespace plantainhead::jobs
