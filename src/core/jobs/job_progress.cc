#include "plantainhead/core/jobs/job_progress.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/jobs/index_ranges.h"

namespace plantainhead::core::jobs {
namespace {

// A number of up to 10 digits and a comma.
constexpr std::size_t kNumberBytes = 11;
// The phase, the names of fields and the key.
constexpr std::size_t kRecordOverhead = 512;
// The run, the kind and the incarnation of a loss, without its VM.
constexpr std::size_t kLossBytes = 64;
// The longest escape sequence of a byte in JSON text.
constexpr std::size_t kEscapeBytes = 6;

std::size_t TextBytes(const std::string& text) {
  const auto escaped = std::count_if(text.begin(), text.end(), [](char byte) {
    return byte == '"' || byte == '\\' ||
           static_cast<unsigned char>(byte) < ' ';
  });
  return text.size() + static_cast<std::size_t>(escaped) * kEscapeBytes;
}

}  // namespace

std::size_t RecordBytes(const task_record& task) {
  std::size_t bytes = kLiveTaskBytes + TextBytes(task.checkpoint);
  for (const std::uint32_t run : task.failed_runs) {
    bytes += std::to_string(run).size() + 1;
  }
  for (const run_loss& loss : task.losses) {
    bytes += kLossBytes + TextBytes(loss.vm);
  }
  return bytes;
}

std::size_t RecordBytes(const done_ranges& done) {
  return kNumberBytes * (2 * done.occurrences.size() + 3 * done.steps.size() +
                         4 * done.tasks.size());
}

bool FitIntoRecord(job_progress* progress) {
  std::size_t bytes = kRecordOverhead + RecordBytes(progress->done);
  std::vector<std::pair<std::size_t, task_record*>> checkpoints;
  for (task_record& task : progress->tasks) {
    bytes += task.done ? kDoneTaskBytes : RecordBytes(task);
    if (!task.checkpoint.empty()) {
      checkpoints.emplace_back(TextBytes(task.checkpoint), &task);
    }
  }
  std::sort(checkpoints.begin(), checkpoints.end());
  while (bytes > kMaxRecordBytes && !checkpoints.empty()) {
    bytes -= checkpoints.back().first;
    checkpoints.back().second->checkpoint.clear();
    checkpoints.pop_back();
  }
  return bytes <= kMaxRecordBytes;
}

void Compact(job_progress* progress) {
  std::map<std::pair<std::uint32_t, std::uint32_t>, index_ranges> done;
  std::erase_if(progress->tasks, [&done](const task_record& task) {
    if (task.done) {
      done[{task.occurrence, task.step}].Add(task.index);
    }
    return task.done;
  });
  for (const auto& [step, indices] : done) {
    for (const auto& [begin, end] : indices.ranges()) {
      progress->done.tasks.push_back({step.first, step.second, begin, end});
    }
  }
  progress->tasks.shrink_to_fit();
}

}  // namespace plantainhead::core::jobs
