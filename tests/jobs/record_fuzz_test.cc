#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace plantainhead::jobs {
namespace {

// One sample for each decoder of the fuzz target, in its order.
const std::string kSamples[] = {
    R"({"b":"x","p":"pool","q":"queue","r":[1,2,3],"s":[{"c":1,"e":5,"m":2,
        "n":3},{"c":1,"cp":true,"d":[0],"e":0,"g":1,"i":"a","lt":7,"m":0,
        "mm":2,"n":1,"rl":"l"}]})",
    "1",
    R"({"s":"running","t":[[0,1,2,3,[1,2],0,"saved",1],[1,0,0,7,[],1]]})",
    R"({"epoch":7,"leases":{"i-1":5000},"member":"node"})",
    "10.0.0.1:80",
    "vacant/i-1",
    "5!",
    R"({"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/p/",
        "service":"s","priority":1,"max_attempts":4,"stretch":1.6,
        "target_latency_ms":600}],"services":[{"name":"s","spare":true}]})",
    R"({"wave":1,"machines":["m1","m2"],"duration_s":2.5,"maximum":3})",
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
        "slots":8,"state":"ready","cold_left_ms":0,"seq":4,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"]})",
    R"({"clock_ms":5000,"running":[["j.0.0.1",2,"cp",41,7]],
        "finished":[[58,"j.0.0.9",1,"done",""]]})",
    R"({"machines":[{"machine":"m1","pool":"p","state":"up","labels":["a"],
        "id":"i-1"}],"next_token":null})",
    std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\0\0\0\0\3\1a1\0\0\0\2\1b", 29),
    R"({"items":[{"key":"a","value":"MQ==","offset":3}],"has_more":true,
        "end":6})",
    R"({"generation":7,"parts":[["t",3,0]]})",
};

void Feed(std::size_t decoder, const std::string& bytes) {
  const std::string input = static_cast<char>(decoder) + bytes;
  const auto* data = reinterpret_cast<const std::uint8_t*>(input.data());
  CHECK(LLVMFuzzerTestOneInput(data, input.size()) == 0);
}

// Returns a byte, often one of those that are likely to change the meaning of a
// record.
char InterestingByte(std::mt19937* random) {
  static const std::string kSpecialBytes = "\"\\{}[]:,0195-.e+ntf\xff\x80\n ";
  return (*random)() % 2 == 0
             ? kSpecialBytes[(*random)() % kSpecialBytes.size()]
             : static_cast<char>((*random)());
}

// Replaces, inserts or removes a few bytes, or truncates the text.
std::string Corrupt(std::string text, std::mt19937* random) {
  constexpr int kMaxChanges = 3;
  const auto changes = 1 + (*random)() % kMaxChanges;
  for (unsigned i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = (*random)() % text.size();
    switch ((*random)() % 4) {
      case 0:
        text[at] = InterestingByte(random);
        break;
      case 1:
        text.insert(at, 1, InterestingByte(random));
        break;
      case 2:
        text.erase(at, 1 + (*random)() % 4);
        break;
      default:
        text.resize((*random)() % 8 == 0 ? at : text.size());
        break;
    }
  }
  return text;
}

TEST_CASE("The record fuzz target accepts its seeds and mutations of them") {
  constexpr unsigned kSeed = 17;
  constexpr int kTries = 2000;
  std::mt19937 random(kSeed);
  for (std::size_t decoder = 0; decoder < std::size(kSamples); ++decoder) {
    Feed(decoder, "");
    Feed(decoder, kSamples[decoder]);
    for (int i = 0; i < kTries; ++i) {
      Feed(decoder, Corrupt(kSamples[decoder], &random));
    }
  }
}

}  // namespace
}  // namespace plantainhead::jobs
