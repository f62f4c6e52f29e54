#include "bronzeward/src/Request/ServiceRequest.h"

#include "bronzeward/src/Ledger/Bill.h"

#include <boost/json.hpp>

#include <algorithm>

namespace bronzeward {

namespace json = boost::json;

/// Maximum length of an idempotency key, in bytes.
constexpr std::size_t MaxKeyLength = 255;
constexpr const char *BearerPrefix = "Bearer ";

template <class Value>
using Checked =
    boost::outcome_v2::basic_result<Value, Refusal,
                                    boost::outcome_v2::policy::all_narrow>;

static auto refuse(Reason Cause, std::string Detail) {
  return boost::outcome_v2::failure(
      Refusal{Outcome::NotRun, Cause, std::move(Detail)});
}

ConfigurationIndex::ConfigurationIndex(Configuration Accepted)
    : Text(std::move(Accepted)) {
  for (std::size_t Index = 0; Index < Text.Workspaces.size(); ++Index)
    for (const std::string &Digest : Text.Workspaces[Index].KeyDigests)
      WorkspaceByDigest.emplace(Digest, Index);
  for (std::size_t Index = 0; Index < Text.Services.size(); ++Index)
    for (const std::string &Model : Text.Services[Index].Models)
      ServiceByModel.emplace(Model, Index);
}

const WorkspaceSpec *
ConfigurationIndex::workspaceOf(const std::string &Authorization) const {
  const std::string_view Prefix = BearerPrefix;
  if (!Authorization.starts_with(Prefix))
    return nullptr;
  const auto Found =
      WorkspaceByDigest.find(sha256Hex(Authorization.substr(Prefix.size())));
  return Found == WorkspaceByDigest.end() ? nullptr
                                          : &Text.Workspaces[Found->second];
}

const ServiceSpec *
ConfigurationIndex::serviceOfModel(const std::string &Model) const {
  const auto Found = ServiceByModel.find(Model);
  return Found == ServiceByModel.end() ? nullptr
                                       : &Text.Services[Found->second];
}

static bool routeMatches(const std::string &Route, const std::string &Path) {
  return Path.starts_with(Route) &&
         (Path.size() == Route.size() || Path[Route.size()] == '/');
}

const ServiceSpec *
ConfigurationIndex::serviceOfPath(const std::string &Path) const {
  const ServiceSpec *Best = nullptr;
  for (const ServiceSpec &Spec : Text.Services)
    if (Spec.Kind == ServiceKind::Plain && routeMatches(Spec.Route, Path) &&
        (Best == nullptr || Spec.Route.size() > Best->Route.size()))
      Best = &Spec;
  return Best;
}

/// Sets the idempotency key and the content's fingerprint. The key's length is
/// checked by the calling function.
static void setIdentity(const CallerRequest &In, ServiceRequest &Out) {
  Out.KeyFromCaller = !In.Key.empty();
  Out.Key.Value = In.Key;
  Out.Content.Value = sha256Hex(In.Method + "\n" + In.Target + "\n" + In.Body);
}

static std::optional<std::int64_t> outputLimit(const json::object &Body) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"}) {
    const json::value *Value = Body.if_contains(Name);
    if (Value == nullptr || Value->is_null())
      continue;
    return Value->is_int64() ? Value->as_int64() : 0;
  }
  return std::nullopt;
}

static Checked<ServiceRequest>
parseModelRequest(const CallerRequest &In, const ConfigurationIndex &Index,
                  ServiceRequest Out) {
  boost::system::error_code ParseError;
  json::value Parsed = json::parse(In.Body, ParseError);
  if (ParseError || !Parsed.is_object())
    return refuse(Reason::InvalidRequest, "the body is not a JSON object");
  json::object &Body = Parsed.as_object();

  const json::value *Model = Body.if_contains("model");
  if (Model == nullptr || !Model->is_string())
    return refuse(Reason::InvalidRequest, "\"model\" must be text");
  const ServiceSpec *Service = Index.serviceOfModel(Model->as_string().c_str());
  if (Service == nullptr)
    return refuse(Reason::UnknownModel, Model->as_string().c_str());
  Out.Service = *Service;

  const bool Chat = In.Target.starts_with("/v1/chat/");
  const json::value *Prompt = Body.if_contains(Chat ? "messages" : "prompt");
  if (Prompt == nullptr || (Chat ? !Prompt->is_array() : !Prompt->is_string()))
    return refuse(Reason::InvalidRequest, Chat ? "\"messages\" must be a list"
                                               : "\"prompt\" must be text");
  const json::value *Choices = Body.if_contains("n");
  if (Choices != nullptr && *Choices != json::value(1))
    return refuse(Reason::InvalidRequest, "\"n\" must be 1");
  const json::value *Stream = Body.if_contains("stream");
  if (Stream != nullptr && !Stream->is_bool())
    return refuse(Reason::InvalidRequest, "\"stream\" must be true or false");
  Out.Streamed = Stream != nullptr && Stream->as_bool();
  const std::optional<std::int64_t> Limit = outputLimit(Body);
  if (Limit && *Limit < 1)
    return refuse(Reason::InvalidRequest,
                  "the output limit must be a whole number above 0");

  Out.MaxOutputTokens = std::min(Limit.value_or(Service->MaxOutputTokens),
                                 Service->MaxOutputTokens);
  // Each prompt token takes at least one byte of the body, so the body's size
  // is an upper bound.
  Out.PromptTokens = static_cast<std::int64_t>(In.Body.size());
  Out.Bound = costOf(Service->Rate, {Out.PromptTokens, 0, Out.MaxOutputTokens});
  Out.Blocks = prefixBlocks(Chat ? json::serialize(*Prompt)
                                 : std::string(Prompt->as_string()));
  Body["max_tokens"] = Out.MaxOutputTokens;
  Body.erase("max_completion_tokens");
  if (Out.Streamed)
    Body["stream_options"] =
        json::object{{"include_usage", true}, {"continuous_usage_stats", true}};
  Out.Body = json::serialize(Parsed);
  return Out;
}

static Checked<ServiceRequest>
parsePlainRequest(const CallerRequest &In, const ConfigurationIndex &Index,
                  ServiceRequest Out) {
  const std::string Path = In.Target.substr(0, In.Target.find('?'));
  const ServiceSpec *Service = Index.serviceOfPath(Path);
  if (Service == nullptr)
    return refuse(Reason::UnknownRoute, Path);
  Out.Service = *Service;
  const bool Safe =
      In.Method == "GET" || In.Method == "HEAD" || In.Method == "OPTIONS";
  Out.Repeatable = Service->Repeatable || Safe;
  if (!Out.Repeatable && !Out.KeyFromCaller)
    return refuse(Reason::IdempotencyKeyRequired, "");
  Out.Bound = Service->Rate.Call;
  Out.Body = In.Body;
  return Out;
}

Checked<ServiceRequest> parseServiceRequest(const CallerRequest &In,
                                            const ConfigurationIndex &Index) {
  const WorkspaceSpec *Workspace = Index.workspaceOf(In.Authorization);
  if (Workspace == nullptr)
    return refuse(Reason::WrongKey, "");
  if (In.Key.size() > MaxKeyLength)
    return refuse(Reason::InvalidRequest,
                  "the idempotency key is longer than 255 characters");
  ServiceRequest Out;
  Out.Workspace = *Workspace;
  setIdentity(In, Out);
  const bool Completion =
      In.Target == "/v1/chat/completions" || In.Target == "/v1/completions";
  if (!Completion)
    return parsePlainRequest(In, Index, std::move(Out));
  if (In.Method != "POST")
    return refuse(Reason::InvalidRequest, "the method must be POST");
  return parseModelRequest(In, Index, std::move(Out));
}

} // namespace bronzeward
