#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace bronzeward {

/// \ingroup Base
/// \brief What kind of failure an \ref Error reports.
enum class ErrorKind {
  InvalidArgument,
  InvalidData,
  Unavailable,
  Conflict,
  NotFound,
  LimitExceeded,
};

/// \ingroup Base
/// \brief A failure, with the step and the peer at which it arose.
struct Error {
  ErrorKind Kind = ErrorKind::InvalidData;
  /// What was being done, such as "decode slot record".
  std::string Step;
  /// The other party: an address, a store key or a file name.
  std::string Peer;
  std::string Detail;
};

/// \returns one line: step, peer and detail.
[[nodiscard]] inline std::string describe(const Error &Failure) {
  return Failure.Step + " (" + Failure.Peer + "): " + Failure.Detail;
}

/// \ingroup Base
/// \brief A value or an \ref Error.
template <class Value>
using Result =
    boost::outcome_v2::basic_result<Value, Error,
                                    boost::outcome_v2::policy::all_narrow>;

/// \returns the failed state of any \ref Result.
[[nodiscard]] inline auto fail(ErrorKind Kind, std::string Step,
                               std::string Peer, std::string Detail) {
  return boost::outcome_v2::failure(
      Error{Kind, std::move(Step), std::move(Peer), std::move(Detail)});
}

} // namespace bronzeward
