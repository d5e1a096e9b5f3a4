#include "text/json_list.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace plantainhead::text {
namespace {

using rows = std::vector<std::string>;

// Guards against a list that is rejected as a whole because of one element.
TEST_CASE("A list is taken apart without being parsed") {
  SECTION("its elements and the rest of the object") {
    const auto list =
        SplitList(R"({"a":[1],"list":[{"x":[1,2]},"b,]",3],"z":true})", "list");
    REQUIRE(list);
    CHECK(list->rest == R"({"a":[1],"list":[],"z":true})");
    CHECK(list->rows == rows{R"({"x":[1,2]})", "\"b,]\"", "3"});
  }

  SECTION("an element that a parser would reject") {
    const std::string deep(100'000, '[');
    const std::string end(100'000, ']');
    const auto list =
        SplitList("{\"list\":[1e999," + deep + end + ",{\"y\":1}]}", "list");
    REQUIRE(list);
    CHECK(list->rows == rows{"1e999", deep + end, "{\"y\":1}"});
    CHECK(list->rest == "{\"list\":[]}");
  }

  SECTION("an empty list, and a missing element") {
    CHECK(SplitList(R"({"list": [ ]})", "list")->rows.empty());
    CHECK(SplitList(R"({"list":[1,,2]})", "list")->rows == rows{"1", "", "2"});
  }

  SECTION("only a list of this name in the object itself") {
    CHECK_FALSE(SplitList(R"({"a":{"list":[1]}})", "list"));
    CHECK_FALSE(SplitList(R"({"list":{"a":[1]}})", "list"));
    CHECK_FALSE(SplitList(R"([{"list":[1]}])", "list"));
    CHECK_FALSE(SplitList(R"({"a":"list","b":[1]})", "list"));
  }

  SECTION("and not a list that does not end") {
    for (const char* text : {"", "{\"list\":[", "{\"list\":[1,[2]",
                             "{\"list\":[\"\\", "{\"list\":[\"]}"}) {
      CHECK_FALSE(SplitList(text, "list"));
    }
  }
}

}  // namespace
}  // namespace plantainhead::text
