#include "bronzeward/src/Request/AnswerText.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

static json::object refusalObject(const RequestId &Request,
                                  const Refusal &Why) {
  const RefusalForm &Form = formOf(Why.Why);
  std::string Message = Form.Text;
  if (!Why.Detail.empty())
    Message += ": " + Why.Detail;
  json::object Error{
      {"type", "bronzeward_refusal"}, {"code", Form.Code},
      {"message", Message},           {"request_id", Request.Value},
      {"outcome", nameOf(Why.What)},  {"retry", Form.Retry}};
  if (Form.Retry)
    Error.emplace("retry_after_s", Form.RetryAfter.count());
  return json::object{{"error", std::move(Error)}};
}

Answer refusalAnswer(const RequestId &Request, const Refusal &Why) {
  const RefusalForm &Form = formOf(Why.Why);
  Answer Made;
  Made.Status = Form.Status;
  Made.ContentType = "application/json";
  Made.Headers = {{"X-Request-Id", Request.Value},
                  {"Bronzeward-Outcome", nameOf(Why.What)},
                  {"Bronzeward-Reason", Form.Code}};
  if (Form.Retry)
    Made.Headers.push_back(
        {"Retry-After", std::to_string(Form.RetryAfter.count())});
  Made.Body = json::serialize(refusalObject(Request, Why)) + "\n";
  return Made;
}

std::string refusalEvent(const RequestId &Request, const Refusal &Why) {
  return "data: " + json::serialize(refusalObject(Request, Why)) + "\n\n";
}

static const char *billingOf(const Settlement &Done) {
  switch (Done.Outcome) {
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

static Money chargedNow(const Settlement &Done) {
  return Done.Outcome == SettleOutcome::BilledBefore ? Money() : Done.Cost;
}

std::vector<HeaderField> servedHeaders(const RequestId &Request,
                                       const Settlement &Done) {
  std::vector<HeaderField> Fields = {
      {"X-Request-Id", Request.Value},
      {"Bronzeward-Outcome", nameOf(Outcome::Ran)},
      {"Bronzeward-Billing", billingOf(Done)},
      {"Bronzeward-Cost-Micros", std::to_string(chargedNow(Done).micros())}};
  if (Done.Order != 0)
    Fields.push_back({"Bronzeward-Order", std::to_string(Done.Order)});
  return Fields;
}

std::string servedComment(const RequestId &Request, const Settlement &Done) {
  std::string Line = ": bronzeward";
  for (const HeaderField &Field : servedHeaders(Request, Done))
    Line += " " + Field.Name + "=" + Field.Value;
  return Line + "\n\n";
}

} // namespace bronzeward
