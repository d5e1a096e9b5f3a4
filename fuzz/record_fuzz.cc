// libFuzzer target for the records and answers that the job scheduler reads.
// The first byte says which decoder gets the rest. Configure with clang++ and
// -DPLANTAINHEAD_FUZZ=ON, then run
//
//     build-fuzz/record_fuzz -max_total_time=60
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "jobs/fleet_records.h"
#include "jobs/record_codec.h"
#include "platform/configuration_codec.h"
#include "platform/fleet_client.h"
#include "platform/store_codec.h"
#include "platform/vm_client.h"

namespace plantainhead {
namespace {

constexpr const char* kJob = "0123456789abcdef";

// What was read whole is written and read again as the same.
template <typename Record, typename Decode>
void WriteAndReadBack(const Record& record, Decode decode) {
  const adapter::keyed_record written = jobs::Encode(record);
  const auto again = decode(written);
  if (!again) {
    std::abort();
  }
  const auto* same = std::get_if<Record>(&*again);
  if (same == nullptr || jobs::Encode(*same).value != written.value) {
    std::abort();
  }
}

void ReadJob(const std::string& key, const std::string& value) {
  const auto record = jobs::DecodeJobRecord({key, value});
  if (record) {
    std::visit(
        [](const auto& kind) { WriteAndReadBack(kind, jobs::DecodeJobRecord); },
        *record);
  }
}

void ReadPool(const std::string& key, const std::string& value) {
  const auto record = jobs::DecodePoolRecord({key, value});
  if (record) {
    std::visit(
        [](const auto& kind) {
          WriteAndReadBack(kind, jobs::DecodePoolRecord);
        },
        *record);
  }
}

void ReadSubmission(const std::string& bytes) {
  ReadJob(kJob, bytes);
}
void ReadCancel(const std::string& bytes) {
  ReadJob(std::string(kJob) + "-cancel", bytes);
}
void ReadProgress(const std::string& bytes) {
  ReadPool(kJob, bytes);
}
void ReadOwner(const std::string& bytes) {
  ReadPool("owner", bytes);
}
void ReadUsedVm(const std::string& bytes) {
  ReadPool("vm/i-1", bytes);
}
void ReadVacancy(const std::string& bytes) {
  ReadPool(bytes, "1");
}

void ReadFleetNote(const std::string& bytes) {
  for (const char* key : {"wanted/p", "offered/i-1", "empty/i-1", "closed/i-1",
                          "serviced/1/m-1", "completed/1"}) {
    jobs::FaultOfFleetRecord({key, bytes});
  }
  jobs::FaultOfFleetRecord({bytes, "1"});
}

void ReadConfiguration(const std::string& bytes) {
  adapter::DecodeConfiguration(bytes);
}
void ReadWave(const std::string& bytes) {
  adapter::DecodeWave("wave/1", bytes);
}
void ReadVm(const std::string& bytes) {
  adapter::DecodeVm("i-1", bytes);
  adapter::DecodeVm(bytes, "{}");
}
void ReadListing(const std::string& bytes) {
  adapter::DecodeListing(bytes);
}
void ReadFleetPage(const std::string& bytes) {
  adapter::DecodeFleetPage(bytes);
}

// Records that were told apart are as many as their offsets say.
void ReadLog(const std::string& bytes) {
  const adapter::read_reply reply = adapter::DecodeRead(bytes, 5, true);
  for (std::size_t i = 0; i < reply.records.size(); ++i) {
    if (reply.records[i].offset != 5 + i) {
      std::abort();
    }
  }
  adapter::DecodeRead(bytes, 0, false);
}

void ReadNewest(const std::string& bytes) {
  const adapter::newest_reply page = adapter::DecodeNewest(bytes);
  if (page.is_read && page.has_more && page.last_key.empty()) {
    std::abort();
  }
}
void ReadGroup(const std::string& bytes) {
  adapter::DecodeJoin(bytes);
  adapter::DecodeMembers(bytes);
}

using target = void (*)(const std::string& bytes);
constexpr std::array<target, 15> kTargets = {
    ReadSubmission, ReadCancel,    ReadProgress,      ReadOwner,  ReadUsedVm,
    ReadVacancy,    ReadFleetNote, ReadConfiguration, ReadWave,   ReadVm,
    ReadListing,    ReadFleetPage, ReadLog,           ReadNewest, ReadGroup};

}  // namespace
}  // namespace plantainhead

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  plantainhead::kTargets[data[0] % plantainhead::kTargets.size()](bytes);
  return 0;
}
