#include "bronzeward/src/Relay/RelayAnswers.h"

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

Answer relayRefusal(const RequestId &Name, const Refusal &Why,
                    Duration RetryAfter, Random &Source) {
  const RefusalForm &Form = formOf(Why.Why);
  Answer Response;
  Response.Status = Form.Status;
  Response.ContentType = "application/json";
  Response.Headers = {{"Bronzeward-Outcome", nameOf(Why.What)},
                      {"Bronzeward-Reason", Form.Code}};
  if (Why.What == Outcome::NotRun && Form.Status == 503)
    Response.Headers.push_back(
        {"Retry-After", retryAfterSeconds(RetryAfter, Source)});
  Response.Body =
      boost::json::serialize(boost::json::object{
          {"error", boost::json::object{{"code", Form.Code},
                                        {"message", Form.Text},
                                        {"request", Name.Value},
                                        {"outcome", nameOf(Why.What)}}}}) +
      "\n";
  return Response;
}

Answer answerHead(const RelayAnswerHead &Head) {
  Answer Response;
  Response.Status = Head.Status;
  Response.Headers = Head.Forwarded;
  return Response;
}

} // namespace bronzeward
