#include "jobs/log_follower.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "free_address.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "run_until.h"
#include "site_store.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using testing::RunUntil;

constexpr const char* kTopic = "keyed.topic";
constexpr std::size_t kStoreConnections = 4;

/// A store, and a follower of one of its partitions.
class followed_partition {
 public:
  followed_partition() : store(&context) {
    const std::string address = testing::FreeAddress();
    server_ = std::make_unique<net::http_server>(
        &context, address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          store.Handle(request, respond);
        });
    client_ = std::make_unique<adapter::store_client>(&context, address,
                                                      kStoreConnections);
    loader_ = std::make_unique<partition_loader>(client_.get());
  }

  log_follower& Follow(const follower_settings& settings) {
    follower_ = std::make_unique<log_follower>(
        &context, client_.get(), loader_.get(),
        adapter::store_partition{kTopic, 0}, settings,
        [this](const adapter::keyed_record& record) {
          keys.push_back(record.key);
        },
        [this](bool is_answered) { contacts.push_back(is_answered); });
    return *follower_;
  }

  boost::asio::io_context context;
  fakes::site_store store;
  std::vector<std::string> keys;
  std::vector<bool> contacts;

 private:
  std::unique_ptr<net::http_server> server_;
  std::unique_ptr<adapter::store_client> client_;
  std::unique_ptr<partition_loader> loader_;
  std::unique_ptr<log_follower> follower_;
};

TEST_CASE("A follower reads what is there and what is appended") {
  followed_partition partition;
  partition.store.Put(kTopic, "a", "1");
  log_follower& follower = partition.Follow({});
  follower.Start(follow_mode::kWatch);
  REQUIRE(RunUntil(&partition.context, [&] { return follower.IsLoaded(); }));
  CHECK(partition.keys == std::vector<std::string>{"a"});
  partition.store.Put(kTopic, "b", "1");
  CHECK(
      RunUntil(&partition.context, [&] { return partition.keys.size() == 2; }));
}

// A process starts while the store refuses its first reading, and pauses before
// the next. Meanwhile it becomes the owner of a pool and wants to watch the
// partition. It must read all that is there: if it only followed what is
// appended it would never be loaded, and its pool would start nothing, for as
// long as it owns it, with no line in any log.
TEST_CASE("A follower that is told to watch before it has loaded still loads") {
  followed_partition partition;
  partition.store.Put(kTopic, "a", "1");
  partition.store.faults.is_refusing = true;
  follower_settings settings;
  settings.min_pause = std::chrono::hours(1);
  settings.max_pause = settings.min_pause;
  log_follower& follower = partition.Follow(settings);
  follower.Start(follow_mode::kBackground);
  REQUIRE(RunUntil(&partition.context,
                   [&] { return !partition.contacts.empty(); }));
  REQUIRE_FALSE(partition.contacts.front());
  partition.store.faults.is_refusing = false;
  follower.SetMode(follow_mode::kWatch);
  CHECK(RunUntil(&partition.context, [&] { return follower.IsLoaded(); }));
  std::optional<bool> is_read;
  follower.Refresh([&](bool got) { is_read = got; });
  REQUIRE(RunUntil(&partition.context, [&] { return is_read.has_value(); }));
  CHECK(*is_read);
  CHECK(partition.keys.front() == "a");
}

// Callers saw a cancelled job's tasks run on for 7 s, and jobs start 7 to 11 s
// after they were accepted. The store was away; a process that followed the
// jobs of another's pool had a read of 10 s waiting, which was never answered.
// It became the owner and was told to watch, but waited for that read first.
// The starts of the jobs came in one burst, a read's whole time after the store
// had gone silent, and only in the partitions whose reads hung.
TEST_CASE("A follower that is told to watch doesn't wait for an older read") {
  followed_partition partition;
  follower_settings settings;
  settings.background_wait = std::chrono::hours(1);
  log_follower& follower = partition.Follow(settings);
  follower.Start(follow_mode::kBackground);
  REQUIRE(RunUntil(&partition.context,
                   [&] { return partition.store.WaitingReads(kTopic) == 1; }));

  SECTION("that hangs") {
    partition.store.SilenceWaitingReads();
    follower.SetMode(follow_mode::kWatch);
    partition.store.Put(kTopic, "a", "1");
    CHECK(
        RunUntil(&partition.context, [&] { return !partition.keys.empty(); }));
  }

  SECTION("and takes each record once when both are answered") {
    follower.SetMode(follow_mode::kWatch);
    RunUntil(&partition.context,
             [&] { return partition.store.WaitingReads(kTopic) == 2; });
    partition.store.Put(kTopic, "a", "1");
    REQUIRE(
        RunUntil(&partition.context, [&] { return !partition.keys.empty(); }));
    partition.store.Put(kTopic, "b", "1");
    CHECK(RunUntil(&partition.context, [&] {
      return partition.keys == std::vector<std::string>{"a", "b"};
    }));
    CHECK(partition.store.WaitingReads(kTopic) <= 1);
  }
}

// Another writer's bytes stand among the records of a partition. The follower
// reads what is before and behind them. If it took the page for unanswered, it
// would ask for the same bytes for ever, and see no record any more.
TEST_CASE("A follower gets past bytes that are no record") {
  followed_partition partition;
  partition.store.Put(kTopic, "a", "1");
  follower_settings settings;
  settings.min_pause = milliseconds(1);
  settings.max_pause = settings.min_pause;
  log_follower& follower = partition.Follow(settings);
  follower.Start(follow_mode::kWatch);
  REQUIRE(RunUntil(&partition.context, [&] { return follower.IsLoaded(); }));
  const auto is_read = [&partition](const char* key) {
    return RunUntil(&partition.context, [&] {
      return std::count(partition.keys.begin(), partition.keys.end(), key) > 0;
    });
  };

  SECTION("a record whose key is longer than the record") {
    partition.store.PutRaw(kTopic, 0, std::string("\0\0\0\2\xffx", 6));
    partition.store.Put(kTopic, "b", "1");
    CHECK(is_read("b"));
    CHECK(partition.keys == std::vector<std::string>{"a", "", "b"});
  }

  SECTION("a length that reaches beyond the end") {
    partition.store.PutRaw(kTopic, 0, "\xff\xff\xff\xffx");
    partition.store.Put(kTopic, "b", "1");
    CHECK(is_read("b"));
    partition.store.Put(kTopic, "c", "1");
    CHECK(is_read("c"));
  }
}

// The store has been away, and an owner starts nothing until it knows again
// what was cancelled. Nothing is: the partition gets no record. A first read
// that waited for one would tell so only when its wait is over.
TEST_CASE("After a failure a follower learns at once that there is no news") {
  followed_partition partition;
  follower_settings settings;
  settings.watch_wait = std::chrono::hours(1);
  settings.min_pause = milliseconds(1);
  log_follower& follower = partition.Follow(settings);
  partition.store.faults.is_refusing = true;
  follower.Start(follow_mode::kWatch);
  REQUIRE(RunUntil(&partition.context,
                   [&] { return !partition.contacts.empty(); }));
  partition.store.faults.is_refusing = false;
  REQUIRE(RunUntil(&partition.context, [&] { return follower.IsLoaded(); }));
  REQUIRE(RunUntil(&partition.context,
                   [&] { return partition.store.WaitingReads(kTopic) == 1; }));

  partition.store.faults.is_refusing = true;
  partition.store.RefuseWaitingReads();
  REQUIRE(
      RunUntil(&partition.context, [&] { return !partition.contacts.back(); }));
  const core::time_point before = follower.CompleteAt();
  partition.store.faults.is_refusing = false;
  CHECK(RunUntil(&partition.context,
                 [&] { return follower.CompleteAt() > before; }));
  CHECK(partition.keys.empty());
  CHECK(RunUntil(&partition.context,
                 [&] { return partition.store.WaitingReads(kTopic) == 1; }));
}

}  // namespace
}  // namespace plantainhead::jobs
