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

/// The records that this project keeps in the store. Each has a key, and the
/// store keeps the newest record of each key for good.
namespace plantainhead::jobs {

/// A job was accepted. Key: its id.
struct submission_record {
  core::jobs::job_spec spec;
};

/// The job was accepted and has ended. Takes the place of its submission.
struct ended_record {
  core::jobs::job_id job;
  core::jobs::job_phase phase = core::jobs::job_phase::kCompleted;
};

/// A caller cancelled the job. Key: its id and "-cancel".
struct cancel_record {
  core::jobs::job_id job;
};

/// How far the job is, written by its pool's owner. Key: its id.
struct progress_record {
  core::jobs::job_id job;
  core::jobs::job_progress progress;
};

/// A process has become the owner of the pools of this partition. Key: "owner".
struct owner_record {
  std::uint64_t epoch = 0;
  /// Empty: it gives no more orders.
  std::string member;
  /// Of an owner that gives no more orders: how long the VMs' leases run yet.
  std::map<core::jobs::vm_id, core::duration> leases;
  /// There is a claim that can't be read: another owner may give orders.
  bool is_unreadable = false;
};

/// The partition's owner may run tasks on the VM, or does so no more. Key:
/// "vm/" and its id; dropped when nothing can be running there any more.
struct vm_record {
  core::jobs::vm_id vm;
  std::string address;
  bool is_dropped = false;
};

/// The VM is empty, and no owner of the pool uses it any more. Key: "vacant/"
/// and the VM; dropped some time after its life.
struct vacancy_record {
  core::jobs::vm_id vm;
  bool is_dropped = false;
};

/// The fleet's owner is about to give an order for the host, or gave one not
/// long ago. Key: "order/" and the host; dropped some seconds later.
struct order_record {
  core::jobs::host_id host;
  /// The process that gives the order; empty when the record doesn't tell.
  std::string holder;
  bool is_dropped = false;
};

using job_record = std::variant<submission_record, ended_record, cancel_record>;
/// What the key of a record in a pool's partition says it is.
enum class pool_record_kind { kProgress, kOwner, kVm, kVacancy, kOrder };

struct pool_key {
  pool_record_kind kind = pool_record_kind::kProgress;
  /// Of the job, VM or host; empty for an owner.
  std::string name;
};

/// Returns what the record is of, whatever its value.
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

/// Returns whether the record of a job is, by its key and its size, one of a
/// submission. Those of ends are shorter than any submission.
bool IsSubmission(const adapter::keyed_record& record);

/// Return a whole record, or what is wrong with it. Precondition: the record
/// has a value, or is one of those that drop a mark of a pool's partition.
core::jobs::decoded<job_record> DecodeJobRecord(
    const adapter::keyed_record& record);
core::jobs::decoded<pool_record> DecodePoolRecord(
    const adapter::keyed_record& record);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_RECORD_CODEC_H_
