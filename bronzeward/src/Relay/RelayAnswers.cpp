#include "bronzeward/src/Relay/RelayAnswers.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bronzeward {

/// Least time after which a refused caller is asked to come back, and the time
/// over which returns are spread: a call's objective lies between the two.
constexpr std::chrono::duration<double> LeastReturn = 200ms;
constexpr std::chrono::duration<double> ReturnSpread = 600ms;

static std::string returnTime(Duration ComeBack, Random &Source) {
  const std::chrono::duration<double> Known = ComeBack;
  const std::chrono::duration<double> After =
      std::max(LeastReturn, Known) + ReturnSpread * Source.unit();
  std::array<char, 16> Text{};
  const std::to_chars_result End =
      std::to_chars(Text.data(), Text.data() + Text.size(), After.count(),
                    std::chars_format::fixed, 2);
  return {Text.data(), End.ptr};
}

Answer relayRefusal(const RequestId &Name, const Refusal &Why,
                    Duration ComeBack, Random &Source) {
  const RefusalDescription &Form = descriptionOf(Why.Kind);
  Answer Made;
  Made.Status = Form.Status;
  Made.ContentType = "application/json";
  Made.Headers = {{"Bronzeward-Outcome", nameOf(Why.Execution)},
                  {"Bronzeward-Reason", Form.Code}};
  if (Why.Execution == Outcome::NotRun && Form.Status == 503)
    Made.Headers.push_back({"Retry-After", returnTime(ComeBack, Source)});
  Made.Body =
      boost::json::serialize(boost::json::object{
          {"error", boost::json::object{{"code", Form.Code},
                                        {"message", Form.Text},
                                        {"request", Name.Value},
                                        {"outcome", nameOf(Why.Execution)}}}}) +
      "\n";
  return Made;
}

Answer answerHead(const RelayAnswerHead &Head) {
  Answer Made;
  Made.Status = Head.Status;
  Made.Headers = Head.Forwarded;
  return Made;
}

} // namespace bronzeward
