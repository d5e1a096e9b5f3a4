#include "plantainhead/core/requests/request_meter.h"

#include <utility>

namespace plantainhead::core {
namespace {

bool IsCallerError(answer_reason reason) {
  switch (reason) {
    case answer_reason::kUnknownService:
    case answer_reason::kUnknownClass:
    case answer_reason::kBadDeadline:
    case answer_reason::kBodyTooLarge:
    case answer_reason::kKeyInProgress:
    case answer_reason::kKeyTooOld:
    case answer_reason::kKeyAlreadyRun:
      return true;
    default:
      return false;
  }
}

bool IsCapacityShortage(answer_reason reason) {
  return reason == answer_reason::kOverload ||
         reason == answer_reason::kDeadline ||
         reason == answer_reason::kNoEndpoint;
}

}  // namespace

std::optional<slo_outcome> ClassifyAnswer(const response& answer,
                                          duration elapsed,
                                          duration within,
                                          bool in_maintenance) {
  if (answer.result != outcome::kDone && IsCallerError(answer.reason)) {
    return std::nullopt;
  }
  if (answer.result == outcome::kDone) {
    return elapsed <= within ? slo_outcome::kServed : slo_outcome::kLate;
  }
  if (!IsCapacityShortage(answer.reason)) {
    return slo_outcome::kFailure;
  }
  return in_maintenance ? slo_outcome::kMaintenance : slo_outcome::kOverload;
}

void request_meter::OnArrival(std::uint64_t sequence,
                              const work_class& work,
                              time_point now) {
  requests_[sequence] = {work.name, work.service, work.within, now};
}

void request_meter::OnAnswer(const answer_caller& item,
                             bool in_maintenance,
                             time_point now) {
  const auto found = requests_.find(item.sequence);
  if (found == requests_.end()) {
    return;
  }
  const open_request& request = found->second;
  const std::optional<slo_outcome> outcome_kind = ClassifyAnswer(
      item.answer, now - request.arrived, request.within, in_maintenance);
  if (outcome_kind) {
    ++classes_[request.work][*outcome_kind];
  }
  requests_.erase(found);
}

void request_meter::OnCall(const call_endpoint& item, time_point now) {
  calls_[item.call] = {item.envelope.service, now};
}

void request_meter::OnCallEnded(call_id call, time_point now) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  service_times& times = times_[found->second.service];
  times.service = found->second.service;
  ++times.finished;
  times.held += now - found->second.started;
  calls_.erase(found);
}

const service_name* request_meter::ServiceOf(std::uint64_t sequence) const {
  const auto found = requests_.find(sequence);
  return found == requests_.end() ? nullptr : &found->second.service;
}

std::vector<class_counts> request_meter::Classes() const {
  std::vector<class_counts> list;
  for (const auto& [name, counts] : classes_) {
    list.push_back({name, counts});
  }
  return list;
}

std::vector<service_times> request_meter::Times() const {
  std::vector<service_times> list;
  for (const auto& [name, times] : times_) {
    list.push_back(times);
  }
  return list;
}

std::map<class_name, request_counts> request_meter::TakeUnrecorded() {
  std::map<class_name, request_counts> taken;
  for (const auto& [name, counts] : classes_) {
    request_counts rest = counts;
    rest -= recorded_[name];
    if (rest.Total() > 0) {
      taken[name] = rest;
    }
  }
  recorded_ = classes_;
  return taken;
}

}  // namespace plantainhead::core
