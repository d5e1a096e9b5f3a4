#include "jobs/progress_writer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
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

using testing::RunUntil;

constexpr const char* kTopic = "keyed.topic";
constexpr std::size_t kStoreConnections = 4;

adapter::keyed_record RecordOf(const std::string& key, std::size_t bytes) {
  adapter::keyed_record record;
  record.key = key;
  record.value = std::string(bytes, 'x');
  return record;
}

// Guards against a pool that stops because the progress of its jobs, stored
// together, is larger than a call of the store.
TEST_CASE("A batch that is larger than an append is stored in parts") {
  boost::asio::io_context context;
  fakes::site_store store(&context);
  const std::string address = testing::FreeAddress();
  net::http_server_options options;
  options.body_limit = std::size_t{8} << 20U;
  net::http_server server(&context, address, options,
                          [&store](const net::server_request& request,
                                   const net::responder& respond) {
                            store.Handle(request, respond);
                          });
  adapter::store_client client(&context, address, kStoreConnections);
  progress_writer writer(&context, &client, {kTopic, 0}, writer_settings());
  std::optional<progress_writer::result> result;
  const auto on_done = [&result](progress_writer::result got) { result = got; };
  writer.Claim(1, "member", 0, on_done);
  REQUIRE(RunUntil(&context, [&] { return result.has_value(); }));
  REQUIRE(*result == progress_writer::result::kStored);
  result.reset();

  std::vector<adapter::keyed_record> records;
  for (int i = 0; i < 12; ++i) {
    records.push_back(RecordOf("job-" + std::to_string(i), 250000));
  }
  writer.Write(records, on_done);
  CHECK(writer.IsWriting());
  REQUIRE(RunUntil(&context, [&] { return result.has_value(); }));
  CHECK(*result == progress_writer::result::kStored);
  CHECK(store.oversized_appends == 0);
  for (const adapter::keyed_record& record : records) {
    CHECK(store.NewestIn(kTopic, 0, record.key) == record.value);
  }

  SECTION("and the next batch continues the sequence") {
    result.reset();
    writer.Write({RecordOf("last", 10)}, on_done);
    REQUIRE(RunUntil(&context, [&] { return result.has_value(); }));
    CHECK(*result == progress_writer::result::kStored);
  }
}

}  // namespace
}  // namespace plantainhead::jobs
