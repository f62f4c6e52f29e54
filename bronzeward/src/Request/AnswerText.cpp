#include "bronzeward/src/Request/AnswerText.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

static json::object refusalObject(const RequestId &Request,
                                  const Refusal &Cause) {
  const RefusalForm &Form = formOf(Cause.Why);
  std::string Message = Form.Text;
  if (!Cause.Detail.empty())
    Message += ": " + Cause.Detail;
  json::object Error{{"type", "bronzeward_refusal"},
                     {"code", Form.Code},
                     {"message", Message},
                     {"request_id", Request.Value},
                     {"outcome", nameOf(Cause.What)},
                     {"retry", Form.Retry}};
  if (Form.Retry)
    Error.emplace("retry_after_s", Form.RetryAfter.count());
  return json::object{{"error", std::move(Error)}};
}

Answer refusalAnswer(const RequestId &Request, const Refusal &Cause) {
  const RefusalForm &Form = formOf(Cause.Why);
  Answer Response;
  Response.Status = Form.Status;
  Response.ContentType = "application/json";
  Response.Headers = {{"X-Request-Id", Request.Value},
                      {"Bronzeward-Outcome", nameOf(Cause.What)},
                      {"Bronzeward-Reason", Form.Code}};
  if (Form.Retry)
    Response.Headers.push_back(
        {"Retry-After", std::to_string(Form.RetryAfter.count())});
  Response.Body = json::serialize(refusalObject(Request, Cause)) + "\n";
  return Response;
}

std::string refusalEvent(const RequestId &Request, const Refusal &Cause) {
  return "data: " + json::serialize(refusalObject(Request, Cause)) + "\n\n";
}

static const char *billingOf(const Settlement &Result) {
  switch (Result.Outcome) {
  case SettleOutcome::Committed:
    return "billed";
  case SettleOutcome::Carried:
    return "carried";
  case SettleOutcome::BilledBefore:
    return "billed-before";
  default:
    return "not-billed";
  }
}

static Money chargedNow(const Settlement &Result) {
  return Result.Outcome == SettleOutcome::BilledBefore ? Money() : Result.Cost;
}

std::vector<HeaderField> servedHeaders(const RequestId &Request,
                                       const Settlement &Result) {
  std::vector<HeaderField> Fields = {
      {"X-Request-Id", Request.Value},
      {"Bronzeward-Outcome", nameOf(Outcome::Ran)},
      {"Bronzeward-Billing", billingOf(Result)},
      {"Bronzeward-Cost-Micros", std::to_string(chargedNow(Result).micros())}};
  if (Result.Order != 0)
    Fields.push_back({"Bronzeward-Order", std::to_string(Result.Order)});
  return Fields;
}

std::string servedComment(const RequestId &Request, const Settlement &Result) {
  std::string Line = ": bronzeward";
  for (const HeaderField &Field : servedHeaders(Request, Result))
    Line += " " + Field.Name + "=" + Field.Value;
  return Line + "\n\n";
}

} // namespace bronzeward
