#ifndef PLANTAINHEAD_SRC_JOBS_RECORD_CODEC_H_
#define PLANTAINHEAD_SRC_JOBS_RECORD_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "platform/store_client.h"

/// Encoding and decoding of the records that this project keeps in the store.
/// The store retains the newest record of each key indefinitely.
namespace plantainhead::jobs {

/// Submission of an accepted job. Key: the job id.
struct submission_record {
  core::jobs::job_spec spec;
};

/// The final phase of a job. Replaces the job's submission record.
struct ended_record {
  core::jobs::job_id job;
  core::jobs::job_phase phase = core::jobs::job_phase::kCompleted;
};

/// Cancellation of a job by a caller. Key: the job id followed by "-cancel".
struct cancel_record {
  core::jobs::job_id job;
};

/// Progress of a job, written by the owner of its pool. Key: the job id.
struct progress_record {
  core::jobs::job_id job;
  core::jobs::job_progress progress;
};

/// The current owner of the pools of this partition. Key: "owner".
struct owner_record {
  std::uint64_t epoch = 0;
  /// Empty after a release: the owner sends no more orders.
  std::string member;
  /// After a release: the remaining time of the VMs' leases.
  std::map<core::jobs::vm_id, core::duration> leases;
  /// The claim cannot be decoded, so an unknown owner may be active.
  bool is_unreadable = false;
};

/// A VM on which the partition's owner may run tasks. Key: "vm/" followed by
/// the VM id; removed when nothing can be running on the VM any more.
struct vm_record {
  core::jobs::vm_id vm;
  std::string address;
  bool is_dropped = false;
};

/// The VM is empty, and no owner of the pool uses it any more. Key: "vacant/"
/// followed by the VM id; removed some time after the incarnation
/// of the VM has ended.
struct vacancy_record {
  core::jobs::vm_id vm;
  bool is_dropped = false;
};

/// The fleet owner is about to send an order for the host, or has sent one
/// recently. Key: "order/" followed by the host id; removed after a few
/// seconds.
struct order_record {
  core::jobs::host_id host;
  /// The process that sends the order; empty if the record does not state it.
  std::string holder;
  bool is_dropped = false;
};

using job_record = std::variant<submission_record, ended_record, cancel_record>;
/// Kind of a record in a pool partition, derived from its key.
enum class pool_record_kind { kProgress, kOwner, kVm, kVacancy, kOrder };

/// Parsed key of a record in a pool partition.
struct pool_key {
  pool_record_kind kind = pool_record_kind::kProgress;
  /// Id of the job, VM or host; empty for an owner.
  std::string name;
};

/// Parses the key of a record in a pool partition, regardless of its value.
pool_key PoolKeyOf(const std::string& key);

using pool_record = std::variant<progress_record,
                                 owner_record,
                                 vm_record,
                                 vacancy_record,
                                 order_record>;

adapter::keyed_record Encode(const submission_record& record);
adapter::keyed_record Encode(const ended_record& record);
adapter::keyed_record Encode(const cancel_record& record);
adapter::keyed_record Encode(const progress_record& record);
adapter::keyed_record Encode(const owner_record& record);
adapter::keyed_record Encode(const vm_record& record);
adapter::keyed_record Encode(const vacancy_record& record);
adapter::keyed_record Encode(const order_record& record);

/// Returns whether a record of the job topic is a submission, judged by its key
/// and size. Records of ended jobs are shorter than any submission.
bool IsSubmission(const adapter::keyed_record& record);

/// Returns the complete record, or its fault. Precondition: the record has a
/// value, unless it removes a VM, vacancy or order record of a pool partition.
core::jobs::decoded<job_record> DecodeJobRecord(
    const adapter::keyed_record& record);
core::jobs::decoded<pool_record> DecodePoolRecord(
    const adapter::keyed_record& record);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_RECORD_CODEC_H_
