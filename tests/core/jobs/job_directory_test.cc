#include "plantainhead/core/jobs/job_directory.h"

#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"

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

}  // namespace
}  // namespace plantainhead::core::jobs
