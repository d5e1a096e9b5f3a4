#include "plantainhead/core/log/record_number.h"

#include <catch2/catch.hpp>

namespace plantainhead::core {
namespace {

TEST_CASE("A record id encodes its writer and number") {
  const record_number number{incarnation{0xfedcba9876543210}, 42};
  CHECK(MakeRecordId(number) == record_id("fedcba9876543210-42"));
  CHECK(ParseRecordId(MakeRecordId(number)) == number);

  SECTION("and ids of other formats are not parsed") {
    const char* text = GENERATE("", "42", "fedcba9876543210",
                                "fedcba9876543210-", "fedcba9876543210-042",
                                "fedcba9876543210-+2", "FEDCBA9876543210-42",
                                "fedcba987654321g-42", "fedcba9876543210-42 ",
                                "fedcba9876543210-99999999999999999999");
    CHECK(ParseRecordId(record_id(text)) == std::nullopt);
  }
}

}  // namespace
}  // namespace plantainhead::core
