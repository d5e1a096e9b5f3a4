#include "plantainhead/platform/platform_link.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <httplib.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <catch2/catch.hpp>

#include "plantainhead/platform/record_codec.h"
#include "platform/json_archive.h"
#include "platform_server.h"

namespace plantainhead::platform {
namespace {

using namespace core;

// Timeout of a wait for an expected event.
constexpr auto kEventTimeout = std::chrono::seconds(20);

const stream_name kStream{"control"};

// Collects the events that the link posts.
class inbox {
 public:
  void Put(event what) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(what));
    arrived_.notify_all();
  }

  // Waits for the next event of type `T`. Events of other types are kept.
  template <typename T>
  T Take() {
    return TakeIf<T>([](const T&) { return true; });
  }

  // Waits for an event of type `T` for which `fits` returns true. Drops those
  // of type `T` for which it does not.
  template <typename T, typename Predicate>
  T TakeIf(Predicate fits) {
    std::optional<T> found;
    std::unique_lock lock(mutex_);
    const bool is_there = arrived_.wait_for(lock, kEventTimeout, [&] {
      std::erase_if(events_, [&](const event& item) {
        const T* candidate = std::get_if<T>(&item);
        if (candidate == nullptr || found.has_value()) {
          return false;
        }
        if (fits(*candidate)) {
          found = *candidate;
        }
        return true;
      });
      return found.has_value();
    });
    if (!is_there) {
      throw std::runtime_error("timed out waiting for an expected event");
    }
    return *found;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<event> events_;
};

record Leave(int number) {
  return {record_id("r" + std::to_string(number)), "ann",
          leave_entry{incarnation{static_cast<std::uint64_t>(number)}}};
}

append_records Append(int number, int count = 1) {
  append_records action;
  action.append = append_id{static_cast<std::uint64_t>(number)};
  action.stream = kStream;
  for (int i = 0; i < count; ++i) {
    action.records.push_back(Leave(number + i));
  }
  return action;
}

// Provides a fake platform server, a link to it and the events that the link
// posts.
class link_fixture {
 public:
  link_fixture()
      : link_(system_,
              Options(),
              [this](event e) { inbox_.Put(std::move(e)); }),
        control_("127.0.0.1", server_->port()) {}

 protected:
  platform_options Options() const {
    platform_options options;
    options.port = server_->port();
    options.initial_backoff = std::chrono::milliseconds(5);
    options.max_backoff = std::chrono::milliseconds(20);
    options.list_interval = std::chrono::milliseconds(20);
    options.operation_poll = std::chrono::milliseconds(10);
    return options;
  }

  json Post(const std::string& path, const json& body) {
    const auto result = control_.Post(path, Dump(body), "application/json");
    REQUIRE(result);
    REQUIRE(result->status == 200);
    return json::parse(result->body);
  }

  json Counters() { return json::parse(control_.Get("/counters")->body); }

  append_finished AppendAndWait(append_records action) {
    link_.Append(std::move(action));
    return inbox_.Take<append_finished>();
  }

  // Takes reads until `end` has been reached. Returns the ids of the records
  // and whether their offsets had no gaps.
  std::pair<std::vector<std::string>, bool> ReadTo(log_offset end,
                                                   log_offset after) {
    std::vector<std::string> ids;
    bool is_in_order = true;
    while (after < end) {
      for (const log_entry& entry : inbox_.Take<log_read>().entries) {
        is_in_order = is_in_order && entry.offset == after + 1;
        after = entry.offset;
        ids.push_back(entry.content.id.value());
      }
    }
    return {ids, is_in_order};
  }

  std::unique_ptr<fakes::platform_server> server_ =
      std::make_unique<fakes::platform_server>(
          fakes::platform_server_options{});
  inbox inbox_;
  caf::actor_system_config config_;
  caf::actor_system system_{config_};
  platform_link link_;
  httplib::Client control_;
};

TEST_CASE_METHOD(link_fixture, "An entry reads a stream") {
  SECTION("that is empty, and is notified immediately") {
    link_.Follow({kStream, 0});
    const auto read = inbox_.Take<log_read>();
    CHECK(read.stream == kStream);
    CHECK(read.entries.empty());
    CHECK(read.end == 0);

    SECTION("then sees a record that is appended while it waits") {
      const auto finished = AppendAndWait(Append(1));
      CHECK(finished.result == append_result::kAppended);
      CHECK(finished.first == 1);
      const auto next = inbox_.TakeIf<log_read>(
          [](const log_read& item) { return !item.entries.empty(); });
      CHECK(next.entries[0].offset == 1);
      CHECK(std::get<leave_entry>(next.entries[0].content.body).who ==
            incarnation{1});
    }
  }

  SECTION("from the middle") {
    AppendAndWait(Append(1, 5));
    link_.Follow({kStream, 3});
    CHECK(ReadTo(5, 3) ==
          std::pair(std::vector<std::string>{"r4", "r5"}, true));

    SECTION("and again from another offset") {
      link_.Follow({kStream, 1});
      const auto again = inbox_.TakeIf<log_read>(
          [](const log_read& item) { return !item.entries.empty(); });
      CHECK(again.entries[0].offset == 2);
    }
  }

  SECTION("with undecodable records, and skips them") {
    const std::string broken_escape("\0x", 2);
    Post("/streams/control/records",
         {{"records", {"nonsense", broken_escape}}});
    AppendAndWait(Append(3));
    link_.Follow({kStream, 0});
    const auto read = inbox_.Take<log_read>();
    REQUIRE(read.entries.size() == 3);
    for (int i = 0; i < 2; ++i) {
      CHECK(std::get<unknown_record>(read.entries[i].content.body).type ==
            "malformed");
    }
    CHECK(read.entries[2].content.id.value() == "r3");
  }
}

TEST_CASE_METHOD(link_fixture, "Appends to a stream keep their order") {
  constexpr int kAppends = 50;
  for (int i = 1; i <= kAppends; ++i) {
    link_.Append(Append(i));
  }
  for (int i = 1; i <= kAppends; ++i) {
    const auto finished = inbox_.Take<append_finished>();
    CHECK(finished.append == append_id{static_cast<std::uint64_t>(i)});
    CHECK(finished.first == static_cast<log_offset>(i));
  }
}

// The platform accepts an append but its response is lost, either because a
// server error is returned or because the connection is closed early. The entry
// must not treat this as a refusal, and the client library must not send the
// append again: the record must be in the stream exactly once.
TEST_CASE_METHOD(link_fixture, "The response to an append is lost") {
  const std::string lose_by = GENERATE("status", "close");
  Post("/faults", {{"lose_append_answers", 1}, {"lose_by", lose_by}});
  CHECK(AppendAndWait(Append(1)).result == append_result::kUnknown);
  CHECK(AppendAndWait(Append(2)).result == append_result::kAppended);
  link_.Follow({kStream, 0});
  CHECK(ReadTo(2, 0) == std::pair(std::vector<std::string>{"r1", "r2"}, true));
  CHECK(Counters()["appends"] == 2);
}

// The response to an append takes longer than the timeout. The result must be
// unknown, because the append may take effect afterwards.
TEST_CASE_METHOD(link_fixture, "The response to an append is late") {
  platform_options options = Options();
  options.answer_timeout = std::chrono::milliseconds(50);
  inbox other;
  platform_link short_timeout_link(system_, options,
                                   [&](event e) { other.Put(std::move(e)); });
  Post("/faults", {{"slow_ms", 60000}});
  short_timeout_link.Append(Append(1));
  CHECK(other.Take<append_finished>().result == append_result::kUnknown);
  Post("/faults", {{"slow_ms", 0}});
  link_.Follow({kStream, 0});
  CHECK(ReadTo(1, 0).second);
  short_timeout_link.Stop();
}

// The overloaded platform refuses an append with a 4xx status. The append has
// no effect, and the entry may append again.
TEST_CASE_METHOD(link_fixture, "An append is refused") {
  Post("/faults", {{"refuse_appends", 1}});
  CHECK(AppendAndWait(Append(1)).result == append_result::kRejected);
  CHECK(AppendAndWait(Append(2)).result == append_result::kAppended);
  link_.Follow({kStream, 0});
  CHECK(ReadTo(1, 0) == std::pair(std::vector<std::string>{"r2"}, true));
}

// The platform returns only errors during an outage. Reads must fail and be
// reported, and after the outage the entry must continue to read from its last
// offset without being followed anew.
TEST_CASE_METHOD(link_fixture, "The platform has a temporary outage") {
  AppendAndWait(Append(1));
  link_.Follow({kStream, 0});
  ReadTo(1, 0);
  Post("/faults", {{"down", true}});
  CHECK(inbox_.Take<log_unavailable>().stream == kStream);
  inbox_.Take<vm_list_unavailable>();
  CHECK(AppendAndWait(Append(2)).result == append_result::kUnknown);

  Post("/faults", {{"down", false}});
  CHECK(AppendAndWait(Append(3)).result == append_result::kAppended);
  CHECK(ReadTo(2, 1) == std::pair(std::vector<std::string>{"r3"}, true));
  inbox_.Take<vm_list_read>();
}

// The platform process ends, so that connections are refused, and a new process
// without the records takes over its port. An append during the outage
// certainly had no effect. The shorter stream must be reported repeatedly and
// its records must not be delivered.
TEST_CASE_METHOD(link_fixture, "The platform restarts without its log") {
  AppendAndWait(Append(1, 3));
  link_.Follow({kStream, 0});
  ReadTo(3, 0);
  fakes::platform_server_options same;
  same.port = server_->port();
  server_.reset();
  inbox_.Take<log_unavailable>();
  CHECK(AppendAndWait(Append(4)).result == append_result::kRejected);

  server_ = std::make_unique<fakes::platform_server>(same);
  for (int i = 0; i < 2; ++i) {
    // The old process may have answered the waiting read while it shut down.
    const auto shorter = inbox_.TakeIf<log_read>([](const log_read& item) {
      return item.end == 0 || !item.entries.empty();
    });
    CHECK(shorter.end == 0);
    CHECK(shorter.entries.empty());
  }
}

// The platform is replaced between two appends, so that the second finds its
// keep-alive connection closed. It must reach the new platform exactly once.
TEST_CASE_METHOD(link_fixture, "An append finds its connection closed") {
  CHECK(AppendAndWait(Append(1)).result == append_result::kAppended);
  fakes::platform_server_options same;
  same.port = server_->port();
  server_.reset();
  server_ = std::make_unique<fakes::platform_server>(same);
  CHECK(AppendAndWait(Append(2)).result == append_result::kAppended);
  CHECK(Counters()["records"] == 1);
}

// Records expire while an entry cannot read. The remaining records do not
// continue what the entry has read: `begin` must indicate this in the same
// event, and the entries must start there. The entry decides whether it can
// continue after the gap.
TEST_CASE_METHOD(link_fixture, "Records expire before they are read") {
  AppendAndWait(Append(1, 2));
  Post("/faults", {{"retention_records", 3}});
  AppendAndWait(Append(3, 6));
  link_.Follow({kStream, 2});
  const auto cut = inbox_.Take<log_read>();
  CHECK(cut.begin == 6);
  CHECK(cut.end == 8);
  REQUIRE(cut.entries.size() == 3);
  for (std::size_t i = 0; i < cut.entries.size(); ++i) {
    CHECK(cut.entries[i].offset == 6 + i);
  }
  AppendAndWait(Append(9));
  CHECK(ReadTo(9, 8) == std::pair(std::vector<std::string>{"r9"}, true));

  SECTION("and none is left") {
    Post("/faults", {{"retention_ms", 0}});
    link_.Follow({kStream, 2});
    const auto none = inbox_.TakeIf<log_read>(
        [](const log_read& item) { return item.begin == 10; });
    CHECK(none.entries.empty());
    CHECK(none.end == 9);
    Post("/faults", {{"retention_ms", 60000}});
    AppendAndWait(Append(10));
    CHECK(ReadTo(10, 9) == std::pair(std::vector<std::string>{"r10"}, true));
  }
}

TEST_CASE_METHOD(link_fixture,
                 "A joining entry starts at the oldest retained record") {
  Post("/faults", {{"retention_records", 3}});
  AppendAndWait(Append(1, 8));
  link_.Follow({kStream, 0});
  const auto read = inbox_.Take<log_read>();
  REQUIRE(read.entries.size() == 3);
  CHECK(read.entries[0].offset == 6);
  CHECK(read.begin == 6);
}

TEST_CASE_METHOD(link_fixture, "An entry reads the list of VMs") {
  const auto has = [](const std::string& name, vm_listing_state state) {
    return [=](const vm_list_read& read) {
      for (const vm_listing& vm : read.vms) {
        if (vm.vm.value() == name) {
          return vm.state == state;
        }
      }
      return false;
    };
  };
  Post("/vms", {{"vm", "vm-1"}, {"zone", "suwon"}, {"slots", 8}});
  Post("/vms", {{"vm", "vm-2"}});
  const auto read =
      inbox_.TakeIf<vm_list_read>(has("vm-2", vm_listing_state::kLive));
  REQUIRE(read.vms.size() == 2);
  CHECK(read.vms[0].zone == zone_id("suwon"));
  CHECK(read.vms[0].slots == 8);

  Post("/vms/vm-2/state", {{"state", "gone"}});
  Post("/vms/vm-1/state", {{"state", "leaving"}});
  const auto later =
      inbox_.TakeIf<vm_list_read>(has("vm-1", vm_listing_state::kLeaving));
  CHECK(later.vms.size() == 1);

  SECTION("also after the platform was replaced by one with an empty list") {
    fakes::platform_server_options same;
    same.port = server_->port();
    server_.reset();
    server_ = std::make_unique<fakes::platform_server>(same);
    inbox_.TakeIf<vm_list_read>(
        [](const vm_list_read& item) { return item.vms.empty(); });
  }
}

TEST_CASE_METHOD(link_fixture, "An entry runs operations") {
  Post("/faults", {{"reboot_ms", 50}});
  Post("/vms", {{"vm", "vm-1"}, {"processors", 4}});

  SECTION("and is notified when the VM has rebooted") {
    link_.Run({operation_id("o/1 x"), reboot_vm{vm_id("vm-1")}});
    const auto finished = inbox_.Take<operation_finished>();
    CHECK(finished.operation == operation_id("o/1 x"));
    CHECK(finished.result == operation_result::kDone);

    SECTION("and repeating the same operation has no effect") {
      link_.Run({operation_id("o/1 x"), reboot_vm{vm_id("vm-1")}});
      CHECK(inbox_.Take<operation_finished>().result ==
            operation_result::kDone);
      CHECK(Counters()["reboots"]["vm-1"] == 1);
    }
  }

  SECTION("and an impossible operation is refused") {
    link_.Run({operation_id("o2"), reboot_vm{vm_id("nowhere")}});
    const auto finished = inbox_.Take<operation_finished>();
    CHECK(finished.result == operation_result::kRefused);
    CHECK(finished.detail == "no such VM");
  }

  SECTION("and the result of one during an outage is unknown") {
    Post("/faults", {{"down", true}});
    link_.Run({operation_id("o3"), move_vm{vm_id("vm-1"), pool_id("a")}});
    CHECK(inbox_.Take<operation_finished>().result ==
          operation_result::kUnknown);
  }
}

// A VM drains while its endpoint still runs two requests. The operation must
// end only after the endpoint has completed both.
TEST_CASE_METHOD(link_fixture, "A drain ends with the last request in flight") {
  std::atomic<int> in_flight = 2;
  std::atomic<int> asked = 0;
  httplib::Server runner;
  runner.Post("/control/drain", [&](const httplib::Request&,
                                    httplib::Response& response) {
    const int now = in_flight;
    if (now > 0 && ++asked % 3 == 0) {
      --in_flight;
    }
    response.set_content(R"({"in_flight":)" + std::to_string(now) + "}",
                         "application/json");
  });
  const int port = runner.bind_to_any_port("127.0.0.1");
  std::thread serving([&] { runner.listen_after_bind(); });
  Post("/vms", {{"vm", "vm-1"}, {"host", "127.0.0.1"}, {"port", port}});

  link_.Run({operation_id("o1"), drain_vm{vm_id("vm-1")}});
  const auto finished = inbox_.Take<operation_finished>();
  CHECK(finished.result == operation_result::kDone);
  CHECK(finished.detail == "in_flight=0");
  CHECK(in_flight == 0);
  CHECK(asked == 6);

  runner.stop();
  serving.join();
}

TEST_CASE_METHOD(link_fixture, "A link that was stopped posts nothing") {
  link_.Follow({kStream, 0});
  inbox_.Take<log_read>();
  link_.Stop();
  Post("/streams/control/records", {{"records", {"x"}}});
  link_.Append(Append(1));
  link_.Follow({stream_name("other"), 0});
  link_.Stop();
  CHECK(Counters()["appends"] == 1);
}

}  // namespace
}  // namespace plantainhead::platform
