#ifndef PLANTAINHEAD_CORE_VISIT_H_
#define PLANTAINHEAD_CORE_VISIT_H_

namespace plantainhead::core {

/// Combines lambdas into one visitor for `std::visit`.
template <typename... Callables>
struct overloaded : Callables... {
  using Callables::operator()...;
};

template <typename... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_VISIT_H_
