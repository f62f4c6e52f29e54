#include "bronzeward/src/Relay/RelayAnswers.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bronzeward {

/// Minimum Retry-After of a refusal, and the width of the random range added to
/// it. The latency objective of a call lies between the two.
constexpr std::chrono::duration<double> MinRetryAfter = 200ms;
constexpr std::chrono::duration<double> RetryAfterJitter = 600ms;

static std::string retryAfterSeconds(Duration RetryAfter, Random &Source) {
  const std::chrono::duration<double> Required = RetryAfter;
  const std::chrono::duration<double> Delay =
      std::max(MinRetryAfter, Required) + RetryAfterJitter * Source.unit();
  std::array<char, 16> Text{};
  const std::to_chars_result End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Delay.count(),
                    std::chars_format::fixed, 2);
  return {Text.data(), End.ptr};
}

Answer relayRefusal(const RequestId &CallerAttemptId, const Refusal &Refused,
                    Duration RetryAfter, Random &Source) {
  const RefusalDescription &Form = descriptionOf(Refused.Kind);
  Answer Response;
  Response.Status = Form.Status;
  Response.ContentType = "application/json";
  Response.Headers = {{"Bronzeward-Outcome", nameOf(Refused.Execution)},
                      {"Bronzeward-Reason", Form.Code}};
  if (Refused.Execution == Outcome::NotRun && Form.Status == 503)
    Response.Headers.push_back(
        {"Retry-After", retryAfterSeconds(RetryAfter, Source)});
  Response.Body =
      boost::json::serialize(boost::json::object{
          {"error",
           boost::json::object{{"code", Form.Code},
                               {"message", Form.Text},
                               {"request", CallerAttemptId.Value},
                               {"outcome", nameOf(Refused.Execution)}}}}) +
      "\n";
  return Response;
}

Answer answerHead(const RelayAnswerHead &Head) {
  Answer Response;
  Response.Status = Head.Status;
  Response.Headers = Head.Forwarded;
  return Response;
}

/// \returns the value of a header without its parameters, in lowercase; empty
/// if there is none.
static std::string valueOf(const RelayAnswerHead &Head, const char *Name) {
  const std::string *Value = findHeader(Head.Forwarded, Name);
  if (Value == nullptr)
    return {};
  return boost::algorithm::to_lower_copy(
      boost::algorithm::trim_copy(Value->substr(0, Value->find(';'))));
}

bool sameRepresentation(const RelayAnswerHead &First,
                        const RelayAnswerHead &Next) {
  return First.Status == Next.Status &&
         valueOf(First, "Content-Type") == valueOf(Next, "Content-Type") &&
         valueOf(First, "Content-Encoding") ==
             valueOf(Next, "Content-Encoding");
}

} // namespace bronzeward
