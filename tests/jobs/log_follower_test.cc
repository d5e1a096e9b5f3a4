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

/// A store and a follower of one of its partitions.
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

TEST_CASE("A follower reads existing records and appended records") {
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

// A process starts while the store refuses its first read, and pauses before
// the next one. During the pause it becomes the owner of a pool and switches
// the follower to watch mode. The follower must still load all existing
// records: if it only read appended records, it would never become loaded, and
// the pool would start no task, without any line in the log.
TEST_CASE(
    "A follower that switches to watch mode before it is loaded still loads") {
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

// Guards against tasks of a cancelled job that run on for 7 s, and jobs that
// start 7 to 11 s after they were accepted. During an outage of the store a
// process that follows another owner's jobs has a background read of 10 s in
// flight, which is never answered. The process becomes the owner, and must not
// wait for that read before it watches. Only the partitions whose reads hung
// were affected.
TEST_CASE(
    "A follower that switches to watch mode does not wait for an older read") {
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

// The partition contains bytes of another writer. The follower must read the
// records before and after them. If it treated the page as a failed read, it
// would request the same bytes forever, and see no further record.
TEST_CASE("A follower skips bytes that are not a record") {
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

  SECTION("a length that exceeds the data") {
    partition.store.PutRaw(kTopic, 0, "\xff\xff\xff\xffx");
    partition.store.Put(kTopic, "b", "1");
    CHECK(is_read("b"));
    partition.store.Put(kTopic, "c", "1");
    CHECK(is_read("c"));
  }
}

// After an outage of the store an owner starts no task until it knows again
// which jobs are cancelled. The partition gets no new record, so a first read
// that waited for one would confirm that only when its wait is over.
TEST_CASE(
    "After a failure a follower learns at once that there are no new records") {
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
