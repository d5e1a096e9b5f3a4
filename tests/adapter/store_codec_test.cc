#include "platform/store_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "record_mutations.h"

namespace plantainhead::adapter {
namespace {

using json = nlohmann::json;

constexpr std::uint64_t kFrom = 10;

std::string Framed(const std::string& content) {
  std::string framed(3, '\0');
  framed.push_back(static_cast<char>(content.size()));
  return framed + content;
}

std::string Page(const std::string& records) {
  return std::string(7, '\0') + "\x0e" + std::string(8, '\0') + records;
}

// A record from another writer declares a key that is longer than the record.
// If it made the whole page unreadable, the page would be read again and again,
// and the records after it would never be reached.
TEST_CASE("A record with an invalid key does not affect the rest of its page") {
  const std::string malformed = GENERATE(std::string(), std::string("\xff"),
                                         std::string("\x05"
                                                     "abc"));
  const read_reply reply =
      DecodeRead(Page(EncodeRecord({"a", "1"}) + Framed(malformed) +
                      EncodeRecord({"b", "2"})),
                 kFrom, true);
  REQUIRE(reply.outcome == read_outcome::kRead);
  REQUIRE(reply.records.size() == 3);
  CHECK(reply.records[0].key == "a");
  CHECK(reply.records[1].fault);
  CHECK_FALSE(reply.records[1].value);
  CHECK(reply.records[1].offset == kFrom + 1);
  CHECK(reply.records[2].key == "b");
  CHECK(reply.records[2].offset == kFrom + 2);
}

TEST_CASE("A truncated record is left to the next read") {
  const std::string first = EncodeRecord({"a", "1"});
  const std::string second = EncodeRecord({"b", "2"});
  for (std::size_t cut = 1; cut < second.size(); ++cut) {
    const std::string part = second.substr(0, cut);
    const read_reply reply = DecodeRead(Page(first + part), kFrom, true);
    REQUIRE(reply.outcome == read_outcome::kRead);
    CHECK(reply.records.size() == 1);
    CHECK(DecodeRead(Page(part), kFrom, true).outcome ==
          read_outcome::kInvalidFraming);
  }
  CHECK(DecodeRead("", kFrom, true).outcome == read_outcome::kFailed);
  CHECK(DecodeRead(std::string(15, 'x'), kFrom, true).outcome ==
        read_outcome::kFailed);
}

TEST_CASE(
    "An unreadable item of the newest records does not affect other items") {
  const json valid = {{"key", "b"}, {"value", "Mg=="}, {"offset", 4}};
  const auto page = [&valid](const json& malformed) {
    return json{{"items", json::array({malformed, valid})},
                {"has_more", true},
                {"end", 6}};
  };
  const json item = {{"key", "a"}, {"value", "MQ=="}, {"offset", 3}};
  REQUIRE(DecodeNewest(page(item).dump()).records[0].value == "1");
  for (const testing::mutation& change : testing::Mutations(item)) {
    CAPTURE(change.place, change.change);
    const newest_reply reply = DecodeNewest(page(change.record).dump());
    REQUIRE(reply.is_read);
    REQUIRE(reply.records.size() == 2);
    CHECK(reply.records[1].key == "b");
    CHECK(reply.records[1].value == "2");
    CHECK(reply.last_key == "b");
    // A long value is valid base64.
    const bool is_value = change.place == "value" && change.change == "long";
    CHECK(reply.records[0].fault.has_value() == !is_value);
  }

  SECTION("a value that is not entirely valid base64 is a fault") {
    for (const char* value : {"MQ=", "M", "MQ*=", "====", "MQ==MQ==", "\n"}) {
      json malformed = item;
      malformed["value"] = value;
      const newest_reply reply = DecodeNewest(page(malformed).dump());
      REQUIRE(reply.records.size() == 2);
      CAPTURE(value);
      const bool is_valid = std::string(value) == "MQ=";
      CHECK(reply.records[0].value.has_value() == is_valid);
    }
  }

  SECTION("a key that is not valid UTF-8") {
    const std::string body =
        "{\"items\":[{\"key\":\"\xff\xfe\",\"value\":\"MQ==\",\"offset\":3},"
        "{\"key\":\"b\",\"value\":\"Mg==\",\"offset\":4}],"
        "\"has_more\":false,\"end\":6}";
    const newest_reply reply = DecodeNewest(body);
    REQUIRE(reply.is_read);
    REQUIRE(reply.records.size() == 2);
    CHECK(reply.records[1].value == "2");
  }

  SECTION("a page without a key to continue after is unreadable") {
    CHECK_FALSE(DecodeNewest(R"({"items":[{"key":7}],"has_more":true,"end":6})")
                    .is_read);
    for (const std::string& text : testing::MalformedTexts(page(item).dump())) {
      CHECK_FALSE(DecodeNewest(text).is_read);
    }
  }
}

TEST_CASE("An unreadable row of a group's table assigns no partition") {
  const json table = {{"generation", 7}, {"parts", {{"t", 3, 0}, {"t", 4, 0}}}};
  CHECK(DecodeJoin(table.dump()).partitions ==
        std::vector<std::uint32_t>{3, 4});
  for (const testing::mutation& change : testing::Mutations(table)) {
    CAPTURE(change.place, change.change);
    const join_reply reply = DecodeJoin(change.record.dump());
    const bool is_of_generation = change.place == "generation";
    CHECK(reply.is_joined == !is_of_generation);
    if (change.place.rfind("parts[0]", 0) == 0) {
      CHECK(reply.partitions.back() == 4);
    }
  }
}

// A takeover checks whether the previous owner still owns a partition. An
// unreadable row may be that of the previous owner.
TEST_CASE("A member list with an unreadable row is unreadable as a whole") {
  const json rows = {{"owners", {{"t", 3, "p1", 0}, {"t", 4, "p2", 0}}}};
  const members_reply valid = DecodeMembers(rows.dump());
  REQUIRE(valid.is_read);
  CHECK(valid.members == std::set<std::string>{"p1", "p2"});
  json malformed = rows;
  malformed["owners"][0][2] = nullptr;
  CHECK_FALSE(DecodeMembers(malformed.dump()).is_read);
  CHECK_FALSE(DecodeMembers("{}").is_read);
  CHECK_FALSE(DecodeMembers("\xff").is_read);
  CHECK(DecodeMembers(R"([["t",3,"p1",0]])").members.count("p1") == 1);

  SECTION("the fault contains the path of the row") {
    const members_reply reply = DecodeMembers(malformed.dump());
    REQUIRE(reply.fault.has_value());
    CHECK(reply.fault->kind == core::jobs::fault_kind::kWrongType);
    CHECK(reply.fault->field == "[0][2]");
  }
}

// Guards against a group that never forms again because a list with an unowned
// partition is treated as unreadable.
TEST_CASE("A member list includes the number of unowned partitions") {
  const json rows = {{"owners", {{"t", 3, "", 0}, {"t", 4, "p2", 0}}}};
  const members_reply reply = DecodeMembers(rows.dump());
  REQUIRE(reply.is_read);
  CHECK(reply.unowned_partitions == 1);
  CHECK(reply.members == std::set<std::string>{"p2"});
}

}  // namespace
}  // namespace plantainhead::adapter
