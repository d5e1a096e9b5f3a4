#include "jobs/partition_loader.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "free_address.h"
#include "net/http_server.h"
#include "run_until.h"

namespace plantainhead::jobs {
namespace {

using testing::RunUntil;

constexpr std::size_t kStoreConnections = 20;
constexpr std::size_t kInitialConcurrency = 4;
constexpr const char* kEmptyPage = R"({"items":[],"has_more":false,"end":0})";

/// A loader, and a store that responds only when the test requests it.
class manual_store {
 public:
  manual_store() {
    const std::string address = testing::FreeAddress();
    server_ = std::make_unique<net::http_server>(
        &context, address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          const std::size_t part = request.target.find("part=");
          read.push_back(std::stoi(request.target.substr(part + 5)));
          pending_.push_back(respond);
        });
    client_ = std::make_unique<adapter::store_client>(&context, address,
                                                      kStoreConnections);
    loader = std::make_unique<partition_loader>(client_.get());
  }

  void Load(std::uint32_t part, load_priority priority) {
    LoadFor(reader, part, priority);
  }

  void LoadFor(const std::shared_ptr<int>& owner,
               std::uint32_t part,
               load_priority priority) {
    loader->Load(
        {owner, {"keyed.topic", part}, "", std::chrono::hours(1), priority},
        [this](const adapter::newest_reply& reply) {
          loaded += reply.is_read ? 1 : 0;
        });
  }

  bool AwaitRead(std::size_t count) {
    return RunUntil(&context, [&] { return read.size() == count; });
  }

  void AnswerOldest() {
    const net::responder respond = pending_.front();
    pending_.erase(pending_.begin());
    respond({200, {}, kEmptyPage});
  }

  boost::asio::io_context context;
  std::unique_ptr<partition_loader> loader;
  std::shared_ptr<int> reader = std::make_shared<int>(0);
  /// Partitions, in the order of their reads.
  std::vector<int> read;
  int loaded = 0;

 private:
  std::vector<net::responder> pending_;
  std::unique_ptr<net::http_server> server_;
  std::unique_ptr<adapter::store_client> client_;
};

// Guards against a process that reads all partitions concurrently, which is
// more than its link can carry.
TEST_CASE("Partitions are read a few at a time") {
  manual_store store;
  for (std::uint32_t part = 0; part < 10; ++part) {
    store.Load(part, load_priority::kLow);
  }
  REQUIRE(store.AwaitRead(kInitialConcurrency));

  SECTION("more after fast responses") {
    store.AnswerOldest();
    CHECK(store.AwaitRead(kInitialConcurrency + 2));
    CHECK(store.loaded == 1);
  }

  SECTION("those of high priority before the others") {
    store.Load(10, load_priority::kHigh);
    store.AnswerOldest();
    REQUIRE(store.AwaitRead(kInitialConcurrency + 2));
    CHECK(store.read[kInitialConcurrency] == 10);
  }

  SECTION("none for a reader that no longer exists") {
    auto other = std::make_shared<int>(0);
    store.LoadFor(other, 10, load_priority::kHigh);
    other.reset();
    store.AnswerOldest();
    REQUIRE(store.AwaitRead(kInitialConcurrency + 2));
    CHECK(store.read[kInitialConcurrency] == 4);
  }

  SECTION("and no handler is called after the loader is destroyed") {
    store.loader.reset();
    store.AnswerOldest();
    store.context.run_for(std::chrono::milliseconds(20));
    CHECK(store.loaded == 0);
    CHECK(store.read.size() == kInitialConcurrency);
  }
}

}  // namespace
}  // namespace plantainhead::jobs
