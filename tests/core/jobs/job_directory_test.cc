#include "plantainhead/core/jobs/job_directory.h"

#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/job_memory.h"

namespace plantainhead::core::jobs {
namespace {

TEST_CASE("The directory accepts a job's records in any order") {
  job_directory directory;
  CHECK(directory.Find("job") == nullptr);

  SECTION("progress that is read before the submission is kept") {
    directory.NoteProgress("job", {job_phase::kRunning, {}});
    CHECK(directory.Find("job") == nullptr);
    CHECK(directory.AddJob(Job("job", {Step(1)})));
    CHECK(directory.Find("job")->Phase() == job_phase::kRunning);
    CHECK(directory.Pending("queue") == 0);
  }

  SECTION("a submission that is read twice is one job") {
    CHECK(directory.AddJob(Job("job", {Step(1)})));
    CHECK_FALSE(directory.AddJob(Job("job", {Step(5)})));
    CHECK(directory.Find("job")->spec->steps[0].task_count == 1);
    CHECK(directory.Pending("queue") == 1);
  }

  SECTION("a final phase stays, whatever is read later") {
    directory.AddJob(Job("job", {Step(1)}));
    directory.NoteProgress("job", {job_phase::kCompleted, {}});
    directory.NoteProgress("job", {job_phase::kRunning, {}});
    CHECK(directory.NoteCancel("job"));
    CHECK(directory.Find("job")->Phase() == job_phase::kCompleted);
    CHECK(directory.Find("job")->spec == nullptr);
  }

  SECTION("a job with only a final phase is known and does not start") {
    directory.NoteEnded("job", job_phase::kFailed);
    REQUIRE(directory.Find("job") != nullptr);
    CHECK(directory.Find("job")->Phase() == job_phase::kFailed);
    CHECK_FALSE(directory.AddJob(Job("job", {Step(1)})));
    CHECK(directory.Find("job")->spec == nullptr);
    CHECK(directory.Pending("queue") == 0);
  }

  SECTION("a cancelled job is shown as cancelled and not pending") {
    directory.AddJob(Job("job", {Step(1)}));
    CHECK(directory.NoteCancel("job"));
    CHECK_FALSE(directory.NoteCancel("job"));
    CHECK(directory.Find("job")->Phase() == job_phase::kCancelled);
    CHECK(directory.Pending("queue") == 0);
  }
}

// Guards against processes that exceed their memory for accepted jobs that they
// read from the store.
TEST_CASE("A job for which there is no memory waits unopened") {
  job_directory directory;
  const auto first = Job("first", {Step(1)});
  const std::size_t bytes = MemoryOf(*first);
  directory.SetMemoryLimit(bytes + bytes / 2);
  REQUIRE(directory.HasMemoryFor("first", bytes));
  REQUIRE(directory.AddJob(first));
  CHECK(directory.memory() == bytes);
  REQUIRE_FALSE(directory.HasMemoryFor("second", bytes));
  directory.AddUnopened(*Job("second", {Step(1)}));
  const directory_entry* entry = directory.Find("second");
  REQUIRE(entry != nullptr);

  SECTION("and is known, waiting and open to callers") {
    CHECK(entry->spec == nullptr);
    CHECK(entry->Phase() == job_phase::kQueued);
    CHECK(directory.Pending("queue") == 2);
    CHECK(directory.OpenJobs().at({"pool", "queue"}) == 2);
    CHECK(directory.memory() == bytes);
  }

  SECTION("and can be cancelled") {
    CHECK(directory.NoteCancel("second"));
    CHECK(entry->Phase() == job_phase::kCancelled);
  }

  SECTION("and is opened when it is wanted") {
    directory.Want("second");
    CHECK(directory.HasMemoryFor("second", bytes));
    CHECK(directory.AddJob(Job("second", {Step(1)})));
    CHECK(directory.unopened().empty());
    CHECK(directory.memory() == 2 * bytes);
    CHECK(directory.OpenJobs().at({"pool", "queue"}) == 2);
    CHECK_FALSE(directory.AddJob(Job("second", {Step(1)})));
  }

  SECTION("and is forgotten when it has ended") {
    directory.NoteProgress("second", {job_phase::kCompleted, {}});
    CHECK(directory.unopened().empty());
    CHECK(directory.OpenJobs().at({"pool", "queue"}) == 1);
  }

  SECTION("until the memory of another one is released") {
    directory.NoteProgress("first", {job_phase::kCompleted, {}});
    CHECK(directory.memory() == 0);
    CHECK(directory.HasMemoryFor("second", bytes));
  }

  SECTION("like one that is closed again") {
    directory.Unopen("first");
    CHECK(directory.memory() == 0);
    CHECK(directory.unopened().size() == 2);
    CHECK(directory.AddJob(first));
    CHECK(directory.memory() == bytes);
  }

  SECTION("unless it has progress, for which there is more memory") {
    directory.NoteProgress("third", {job_phase::kRunning, {}});
    directory.NoteProgressPartition("third", 1);
    CHECK(directory.HasMemoryFor("third", bytes / 2));
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
