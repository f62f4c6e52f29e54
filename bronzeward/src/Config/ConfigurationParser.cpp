#include "bronzeward/src/Config/ConfigurationParser.h"

#include "bronzeward/src/Config/TableReader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace bronzeward {

const ServiceSpec *findService(const Configuration &Text,
                               const ServiceName &Name) {
  const auto Found =
      std::find_if(Text.Services.begin(), Text.Services.end(),
                   [&](const ServiceSpec &Item) { return Item.Name == Name; });
  return Found == Text.Services.end() ? nullptr : &*Found;
}

namespace internal {

/// Highest price of one token or call, in millionths of a currency unit.
constexpr std::int64_t MaxPriceMicros = 1'000'000'000'000;
/// Highest number of output tokens of one request.
constexpr std::int64_t MaxTokens = 1'000'000;
constexpr std::int64_t HourMs = 3'600'000;
constexpr std::size_t DigestLength = 64;

struct ChoiceName {
  const char *Text;
  ChoicePolicyKind Kind;
};
constexpr std::array<ChoiceName, 5> ChoiceNames{{
    {"expected-delay", ChoicePolicyKind::ExpectedDelay},
    {"round-robin", ChoicePolicyKind::RoundRobin},
    {"least-outstanding", ChoicePolicyKind::LeastOutstanding},
    {"power-of-two", ChoicePolicyKind::PowerOfTwo},
    {"prefix-hash", ChoicePolicyKind::PrefixHash},
}};

/// \brief Fills a Configuration and checks what crosses its tables.
class ConfigurationBuilder {
public:
  ConfigurationBuilder(const toml::table &Root, Diagnostics &Sink)
      : Reader(Root, "", Sink), Faults(Sink) {}

  Configuration build() {
    readDeployment();
    readPolicy();
    for (const toml::table *Item : Reader.tables("service"))
      readService(*Item);
    for (const toml::table *Item : Reader.tables("upstream"))
      readUpstream(*Item);
    for (const toml::table *Item : Reader.tables("workspace"))
      readWorkspace(*Item);
    Reader.finish();
    checkDependencies();
    checkSingleUse();
    return std::move(Text);
  }

private:
  void readDeployment() {
    const toml::table *Table = Reader.table("deployment");
    if (Table == nullptr) {
      Reader.fault("deployment", "nothing", "a [deployment] table");
      return;
    }
    TableReader Part(*Table, "deployment", Faults);
    Text.Deployment = Part.name("name");
    Text.Budget.Slots =
        static_cast<std::uint32_t>(Part.integer("slots", 1, 1, 1024));
    Part.finish();
  }

  static void readDuration(TableReader &Part, std::string_view Key,
                           Duration &Value, std::int64_t LeastMs,
                           std::int64_t MostMs) {
    const std::int64_t Default =
        std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
    Value =
        std::chrono::milliseconds(Part.integer(Key, Default, LeastMs, MostMs));
  }

  void readPolicy() {
    const toml::table *Table = Reader.table("policy");
    if (Table == nullptr)
      return;
    TableReader Part(*Table, "policy", Faults);
    BudgetPolicy &Budget = Text.Budget;
    readDuration(Part, "commit_interval_ms", Budget.CommitInterval, 0, 1000);
    readDuration(Part, "grant_horizon_ms", Budget.GrantHorizon, 100, HourMs);
    readDuration(Part, "budget_wait_ms", Budget.BudgetWait, 0, 60'000);
    readDuration(Part, "claim_wait_ms", Budget.ClaimWait, 100, 60'000);
    readDuration(Part, "answer_hold_ms", Budget.AnswerHold, 500, 60'000);
    readDuration(Part, "carry_after_ms", Budget.CarryAfter, 50, 10'000);
    readDuration(Part, "offline_service_ms", Budget.OfflineService, 0,
                 24 * HourMs);
    readDuration(Part, "reclaim_after_ms", Budget.ReclaimAfter, 1000,
                 24 * HourMs);
    readDuration(Part, "key_retention_ms", Budget.KeyRetention, 60'000,
                 24 * HourMs);
    Budget.Carriers =
        static_cast<std::size_t>(Part.integer("carriers", 2, 1, 5));
    Part.finish();
  }

  void readService(const toml::table &Table) {
    TableReader Part(Table, "service", Faults);
    ServiceSpec Spec;
    Spec.Name.Value = Part.name("name");
    Part.rename("service." + Spec.Name.Value);
    const std::string Kind = Part.text("kind", "");
    if (Kind != "model" && Kind != "plain")
      Part.fault("kind", Kind.empty() ? "nothing" : Kind,
                 "\"model\" or \"plain\"");
    Spec.Kind = Kind == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    if (Spec.Kind == ServiceKind::Model)
      readModelParts(Part, Spec);
    else
      readPlainParts(Part, Spec);
    readPrice(Part, Spec);
    readDuration(Part, "deadline_ms", Spec.Deadline, 100, HourMs);
    Spec.Priority = Part.integer("priority", 0, 0, 9);
    for (const std::string &Name : Part.texts("depends_on"))
      Spec.DependsOn.push_back(ServiceName{Name});
    Spec.RetryPercent = Part.integer("retry_percent", 10, 0, 100);
    Spec.MaxConcurrent = Part.integer("max_concurrent", 1024, 1, 100'000);
    Spec.UpstreamSlots = Part.integer("upstream_slots", 16, 1, 4096);
    readChoice(Part, Spec);
    Part.finish();
    if (!Dependents.emplace(Spec.Name, &Table).second)
      Part.fault("name", Spec.Name.Value, "a name used by no other service");
    Text.Services.push_back(std::move(Spec));
  }

  void readModelParts(TableReader &Part, ServiceSpec &Spec) {
    Spec.Models = Part.texts("models");
    if (Spec.Models.empty())
      Part.fault("models", "nothing", "a list of at least one model name");
    for (const std::string &Model : Spec.Models)
      if (!Models.insert(Model).second)
        Part.fault("models", Model, "names that no other service has");
    Spec.MaxOutputTokens =
        Part.integer("max_output_tokens", 1024, 1, MaxTokens);
  }

  void readPlainParts(TableReader &Part, ServiceSpec &Spec) {
    Spec.Route = Part.text("route", "");
    const bool Valid = Spec.Route.size() > 1 && Spec.Route.front() == '/' &&
                       Spec.Route.back() != '/';
    if (!Valid)
      Part.fault("route", Spec.Route.empty() ? "nothing" : Spec.Route,
                 "a path such as \"/permits\"");
    else if (Spec.Route == "/v1" || Spec.Route.starts_with("/v1/"))
      Part.fault("route", Spec.Route, "a path outside /v1");
    else if (!Routes.insert(Spec.Route).second)
      Part.fault("route", Spec.Route, "a path that no other service has");
    Spec.Repeatable = Part.flag("repeatable", false);
  }

  void readPrice(TableReader &Part, ServiceSpec &Spec) {
    const toml::table *Table = Part.table("price");
    if (Table == nullptr)
      return;
    TableReader Prices(*Table, Part.path() + ".price", Faults);
    const auto Read = [&](std::string_view Key) {
      return Money(Prices.integer(Key, 0, 0, MaxPriceMicros));
    };
    Spec.Rate.Call = Read("call");
    if (Spec.Kind == ServiceKind::Model) {
      Spec.Rate.InputToken = Read("input_token");
      Spec.Rate.CachedToken = Read("cached_token");
      Spec.Rate.OutputToken = Read("output_token");
      if (Spec.Rate.CachedToken > Spec.Rate.InputToken)
        Prices.fault("cached_token", "more than input_token",
                     "at most the price of an input token");
    }
    Prices.finish();
  }

  static void readChoice(TableReader &Part, ServiceSpec &Spec) {
    const std::string Name = Part.text("choice", ChoiceNames.front().Text);
    std::string Allowed = "one of:";
    for (const ChoiceName &Known : ChoiceNames) {
      if (Name == Known.Text) {
        Spec.Choice = Known.Kind;
        return;
      }
      Allowed += std::string(" ") + Known.Text;
    }
    Part.fault("choice", Name, Allowed);
  }

  void readUpstream(const toml::table &Table) {
    TableReader Part(Table, "upstream", Faults);
    UpstreamSpec Spec;
    Spec.Name.Value = Part.name("name");
    Part.rename("upstream." + Spec.Name.Value);
    Spec.Service.Value = Part.name("service");
    if (findService(Text, Spec.Service) == nullptr)
      Part.fault("service", Spec.Service.Value, "the name of a service");
    readAddress(Part, Spec);
    Spec.Domain.Value = Part.name("failure_domain");
    Spec.ChecksFencing = Part.flag("checks_fencing", false);
    Part.finish();
    if (!UpstreamNames.insert(Spec.Name).second)
      Part.fault("name", Spec.Name.Value, "a name used by no other upstream");
    Text.Upstreams.push_back(std::move(Spec));
  }

  static void readAddress(TableReader &Part, UpstreamSpec &Spec) {
    const std::string Address = Part.text("address", "");
    const std::size_t Colon = Address.rfind(':');
    boost::system::error_code Failure;
    if (Colon != std::string::npos) {
      Spec.Host = Address.substr(0, Colon);
      boost::asio::ip::make_address(Spec.Host, Failure);
      const std::string Port = Address.substr(Colon + 1);
      const bool Digits =
          !Port.empty() && Port.size() <= 5 &&
          std::all_of(Port.begin(), Port.end(), [](unsigned char Letter) {
            return std::isdigit(Letter) != 0;
          });
      const int Number = Digits ? std::stoi(Port) : 0;
      if (!Failure && Number > 0 && Number <= 65535) {
        Spec.Port = static_cast<std::uint16_t>(Number);
        return;
      }
    }
    Part.fault("address", Address.empty() ? "nothing" : Address,
               "an IP address and port such as \"10.0.0.1:8000\"");
  }

  void readWorkspace(const toml::table &Table) {
    TableReader Part(Table, "workspace", Faults);
    WorkspaceSpec Spec;
    Spec.Name.Value = Part.name("name");
    Part.rename("workspace." + Spec.Name.Value);
    Spec.KeyDigests = Part.texts("key_sha256");
    if (Spec.KeyDigests.empty())
      Part.fault("key_sha256", "nothing", "a list of at least one digest");
    for (const std::string &Digest : Spec.KeyDigests) {
      const bool Hex =
          Digest.size() == DigestLength &&
          Digest.find_first_not_of("0123456789abcdef") == std::string::npos;
      if (!Hex)
        Part.fault("key_sha256", Digest, "64 lowercase hexadecimal digits");
      else if (!Digests.insert(Digest).second)
        Part.fault("key_sha256", Digest, "a key that no other workspace has");
    }
    Spec.MaxConcurrent = Part.integer("max_concurrent", 64, 1, 100'000);
    Part.finish();
    if (!Workspaces.insert(Spec.Name).second)
      Part.fault("name", Spec.Name.Value, "a name used by no other workspace");
    Text.Workspaces.push_back(std::move(Spec));
  }

  void checkDependencies() {
    for (const ServiceSpec &Spec : Text.Services) {
      TableReader Part(*Dependents.at(Spec.Name), "service." + Spec.Name.Value,
                       Faults);
      for (const ServiceName &Name : Spec.DependsOn)
        if (findService(Text, Name) == nullptr)
          Part.fault("depends_on", Name.Value, "names of services");
      std::vector<ServiceName> Path;
      std::set<ServiceName> Visited;
      if (reaches(Spec.Name, Spec.Name, Path, Visited)) {
        std::string Cycle = Spec.Name.Value;
        for (const ServiceName &Step : Path)
          Cycle += " -> " + Step.Value;
        Part.fault("depends_on", "the cycle " + Cycle,
                   "dependencies without a cycle");
      }
    }
  }

  /// \returns whether the dependencies of From lead to Goal; Path gets the
  /// way there, Visited every service looked at.
  bool reaches(const ServiceName &From, const ServiceName &Goal,
               std::vector<ServiceName> &Path,
               std::set<ServiceName> &Visited) const {
    const ServiceSpec *Spec = findService(Text, From);
    if (Spec == nullptr)
      return false;
    for (const ServiceName &Next : Spec->DependsOn) {
      if (!Visited.insert(Next).second)
        continue;
      Path.push_back(Next);
      if (Next == Goal || reaches(Next, Goal, Path, Visited))
        return true;
      Path.pop_back();
    }
    return false;
  }

  void checkSingleUse() {
    for (const ServiceSpec &Spec : Text.Services) {
      const bool Served = std::any_of(
          Text.Upstreams.begin(), Text.Upstreams.end(),
          [&](const UpstreamSpec &Item) { return Item.Service == Spec.Name; });
      if (Served)
        continue;
      TableReader Part(*Dependents.at(Spec.Name), "service." + Spec.Name.Value,
                       Faults);
      Part.fault("name", "no upstream", "at least one [[upstream]]");
    }
  }

  TableReader Reader;
  Diagnostics &Faults;
  Configuration Text;
  std::map<ServiceName, const toml::table *> Dependents;
  std::set<std::string> Models;
  std::set<std::string> Routes;
  std::set<std::string> Digests;
  std::set<UpstreamName> UpstreamNames;
  std::set<WorkspaceId> Workspaces;
};

} // namespace internal

boost::outcome_v2::basic_result<Configuration, Diagnostics,
                                boost::outcome_v2::policy::all_narrow>
parseConfiguration(std::string_view Text) {
  Diagnostics Faults;
  try {
    const toml::table Root = toml::parse(Text);
    Configuration Parsed = internal::ConfigurationBuilder(Root, Faults).build();
    if (Faults.empty())
      return Parsed;
  } catch (const toml::parse_error &Failure) {
    const toml::source_position Begin = Failure.source().begin;
    Faults.push_back({static_cast<std::uint32_t>(Begin.line),
                      static_cast<std::uint32_t>(Begin.column), "syntax",
                      std::string(Failure.description()), "TOML"});
  }
  std::sort(Faults.begin(), Faults.end(),
            [](const Diagnostic &Left, const Diagnostic &Right) {
              return std::tie(Left.Line, Left.Column) <
                     std::tie(Right.Line, Right.Column);
            });
  return boost::outcome_v2::failure(std::move(Faults));
}

} // namespace bronzeward
