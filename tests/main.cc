#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

int main(int argc, char** argv) {
  // Property tests generate the same cases in every run, so that the result for
  // a commit is reproducible. Set RC_PARAMS="seed=N" in the environment to test
  // other cases.
  constexpr int kKeepIfSet = 0;
  setenv("RC_PARAMS", "seed=20261202", kKeepIfSet);
  return Catch::Session().run(argc, argv);
}
