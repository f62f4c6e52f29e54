#include "bronzeward/src/Config/ConfigurationParser.h"

#include "bronzeward/src/Config/TableReader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace bronzeward {

const ServiceSpec *findService(const Configuration &Config,
                               const ServiceName &Name) {
  const auto Found =
      std::find_if(Config.Services.begin(), Config.Services.end(),
                   [&](const ServiceSpec &Item) { return Item.Name == Name; });
  return Found == Config.Services.end() ? nullptr : &*Found;
}

namespace internal {

/// Largest price of one token or call, in millionths of a currency unit.
constexpr std::int64_t MaxPriceMicros = 1'000'000'000'000;
/// Largest number of output tokens of one request.
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

/// \brief Fills a Configuration and checks references between its tables.
class ConfigurationBuilder {
public:
  ConfigurationBuilder(const toml::table &Root, Diagnostics &Sink)
      : RootReader(Root, "", Sink), Faults(Sink) {}

  Configuration build() {
    readDeployment();
    readPolicy();
    for (const toml::table *Item : RootReader.tables("service"))
      readService(*Item);
    for (const toml::table *Item : RootReader.tables("upstream"))
      readUpstream(*Item);
    for (const toml::table *Item : RootReader.tables("workspace"))
      readWorkspace(*Item);
    RootReader.finish();
    checkDependencies();
    checkUpstreams();
    return std::move(Config);
  }

private:
  void readDeployment() {
    const toml::table *Table = RootReader.table("deployment");
    if (Table == nullptr) {
      RootReader.addFault("deployment", "nothing", "a [deployment] table");
      return;
    }
    TableReader Reader(*Table, "deployment", Faults);
    Config.Deployment = Reader.name("name");
    Config.Budget.Slots =
        static_cast<std::uint32_t>(Reader.integer("slots", 1, 1, 1024));
    Reader.finish();
  }

  static void readDuration(TableReader &Reader, std::string_view Key,
                           Duration &Value, std::int64_t MinMs,
                           std::int64_t MaxMs) {
    const std::int64_t Default =
        std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
    Value =
        std::chrono::milliseconds(Reader.integer(Key, Default, MinMs, MaxMs));
  }

  void readPolicy() {
    const toml::table *Table = RootReader.table("policy");
    if (Table == nullptr)
      return;
    TableReader Reader(*Table, "policy", Faults);
    BudgetPolicy &Budget = Config.Budget;
    readDuration(Reader, "commit_interval_ms", Budget.CommitInterval, 0, 1000);
    readDuration(Reader, "grant_horizon_ms", Budget.GrantHorizon, 100, HourMs);
    readDuration(Reader, "budget_wait_ms", Budget.BudgetWait, 0, 60'000);
    readDuration(Reader, "claim_wait_ms", Budget.ClaimWait, 100, 60'000);
    readDuration(Reader, "answer_hold_ms", Budget.AnswerHold, 500, 60'000);
    readDuration(Reader, "carry_after_ms", Budget.CarryAfter, 50, 10'000);
    readDuration(Reader, "offline_service_ms", Budget.OfflineService, 0,
                 24 * HourMs);
    readDuration(Reader, "reclaim_after_ms", Budget.ReclaimAfter, 1000,
                 24 * HourMs);
    readDuration(Reader, "key_retention_ms", Budget.KeyRetention, 60'000,
                 24 * HourMs);
    Budget.Carriers =
        static_cast<std::size_t>(Reader.integer("carriers", 2, 1, 5));
    Reader.finish();
  }

  void readService(const toml::table &Table) {
    TableReader Reader(Table, "service", Faults);
    ServiceSpec Spec;
    Spec.Name.Value = Reader.name("name");
    Reader.rename("service." + Spec.Name.Value);
    const std::string Kind = Reader.string("kind", "");
    if (Kind != "model" && Kind != "plain")
      Reader.addFault("kind", Kind.empty() ? "nothing" : Kind,
                      "\"model\" or \"plain\"");
    Spec.Kind = Kind == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    if (Spec.Kind == ServiceKind::Model)
      readModelFields(Reader, Spec);
    else
      readPlainFields(Reader, Spec);
    readPrice(Reader, Spec);
    readDuration(Reader, "deadline_ms", Spec.Deadline, 100, HourMs);
    Spec.Priority = Reader.integer("priority", 0, 0, 9);
    for (const std::string &Name : Reader.strings("depends_on"))
      Spec.DependsOn.push_back(ServiceName{Name});
    Spec.RetryPercent = Reader.integer("retry_percent", 10, 0, 100);
    Spec.MaxConcurrent = Reader.integer("max_concurrent", 1024, 1, 100'000);
    Spec.UpstreamSlots = Reader.integer("upstream_slots", 16, 1, 4096);
    readChoice(Reader, Spec);
    Reader.finish();
    if (!ServiceTables.emplace(Spec.Name, &Table).second)
      Reader.addFault("name", Spec.Name.Value,
                      "a name used by no other service");
    Config.Services.push_back(std::move(Spec));
  }

  void readModelFields(TableReader &Reader, ServiceSpec &Spec) {
    Spec.Models = Reader.strings("models");
    if (Spec.Models.empty())
      Reader.addFault("models", "nothing", "a list of at least one model name");
    for (const std::string &Model : Spec.Models)
      if (!ModelNames.insert(Model).second)
        Reader.addFault("models", Model, "names that no other service has");
    Spec.MaxOutputTokens =
        Reader.integer("max_output_tokens", 1024, 1, MaxTokens);
  }

  void readPlainFields(TableReader &Reader, ServiceSpec &Spec) {
    Spec.Route = Reader.string("route", "");
    const bool Valid = Spec.Route.size() > 1 && Spec.Route.front() == '/' &&
                       Spec.Route.back() != '/';
    if (!Valid)
      Reader.addFault("route", Spec.Route.empty() ? "nothing" : Spec.Route,
                      "a path such as \"/permits\"");
    else if (Spec.Route == "/v1" || Spec.Route.starts_with("/v1/"))
      Reader.addFault("route", Spec.Route, "a path outside /v1");
    else if (!RoutePaths.insert(Spec.Route).second)
      Reader.addFault("route", Spec.Route, "a path that no other service has");
    Spec.Repeatable = Reader.flag("repeatable", false);
  }

  void readPrice(TableReader &Reader, ServiceSpec &Spec) {
    const toml::table *Table = Reader.table("price");
    if (Table == nullptr)
      return;
    TableReader Prices(*Table, Reader.path() + ".price", Faults);
    const auto Read = [&](std::string_view Key) {
      return Money(Prices.integer(Key, 0, 0, MaxPriceMicros));
    };
    Spec.Rate.Call = Read("call");
    if (Spec.Kind == ServiceKind::Model) {
      Spec.Rate.InputToken = Read("input_token");
      Spec.Rate.CachedToken = Read("cached_token");
      Spec.Rate.OutputToken = Read("output_token");
      if (Spec.Rate.CachedToken > Spec.Rate.InputToken)
        Prices.addFault("cached_token", "more than input_token",
                        "at most the price of an input token");
    }
    Prices.finish();
  }

  static void readChoice(TableReader &Reader, ServiceSpec &Spec) {
    const std::string Name = Reader.string("choice", ChoiceNames.front().Text);
    std::string Allowed = "one of:";
    for (const ChoiceName &Known : ChoiceNames) {
      if (Name == Known.Text) {
        Spec.Choice = Known.Kind;
        return;
      }
      Allowed += std::string(" ") + Known.Text;
    }
    Reader.addFault("choice", Name, Allowed);
  }

  void readUpstream(const toml::table &Table) {
    TableReader Reader(Table, "upstream", Faults);
    UpstreamSpec Spec;
    Spec.Name.Value = Reader.name("name");
    Reader.rename("upstream." + Spec.Name.Value);
    Spec.Service.Value = Reader.name("service");
    if (findService(Config, Spec.Service) == nullptr)
      Reader.addFault("service", Spec.Service.Value, "the name of a service");
    readAddress(Reader, Spec);
    Spec.Domain.Value = Reader.name("failure_domain");
    Spec.ChecksFencing = Reader.flag("checks_fencing", false);
    Reader.finish();
    if (!UpstreamNames.insert(Spec.Name).second)
      Reader.addFault("name", Spec.Name.Value,
                      "a name used by no other upstream");
    Config.Upstreams.push_back(std::move(Spec));
  }

  static void readAddress(TableReader &Reader, UpstreamSpec &Spec) {
    const std::string Address = Reader.string("address", "");
    const std::size_t Colon = Address.rfind(':');
    boost::system::error_code Failure;
    if (Colon != std::string::npos) {
      Spec.Host = Address.substr(0, Colon);
      boost::asio::ip::make_address(Spec.Host, Failure);
      const std::string Port = Address.substr(Colon + 1);
      const bool Digits =
          !Port.empty() && Port.size() <= 5 &&
          std::all_of(Port.begin(), Port.end(), [](unsigned char Char) {
            return std::isdigit(Char) != 0;
          });
      const int Number = Digits ? std::stoi(Port) : 0;
      if (!Failure && Number > 0 && Number <= 65535) {
        Spec.Port = static_cast<std::uint16_t>(Number);
        return;
      }
    }
    Reader.addFault("address", Address.empty() ? "nothing" : Address,
                    "an IP address and port such as \"10.0.0.1:8000\"");
  }

  void readWorkspace(const toml::table &Table) {
    TableReader Reader(Table, "workspace", Faults);
    WorkspaceSpec Spec;
    Spec.Name.Value = Reader.name("name");
    Reader.rename("workspace." + Spec.Name.Value);
    Spec.KeyDigests = Reader.strings("key_sha256");
    if (Spec.KeyDigests.empty())
      Reader.addFault("key_sha256", "nothing", "a list of at least one digest");
    for (const std::string &Digest : Spec.KeyDigests) {
      const bool Hex =
          Digest.size() == DigestLength &&
          Digest.find_first_not_of("0123456789abcdef") == std::string::npos;
      if (!Hex)
        Reader.addFault("key_sha256", Digest,
                        "64 lowercase hexadecimal digits");
      else if (!UsedKeyDigests.insert(Digest).second)
        Reader.addFault("key_sha256", Digest,
                        "a key that no other workspace has");
    }
    Spec.MaxConcurrent = Reader.integer("max_concurrent", 64, 1, 100'000);
    Reader.finish();
    if (!WorkspaceNames.insert(Spec.Name).second)
      Reader.addFault("name", Spec.Name.Value,
                      "a name used by no other workspace");
    Config.Workspaces.push_back(std::move(Spec));
  }

  void checkDependencies() {
    for (const ServiceSpec &Spec : Config.Services) {
      TableReader Reader(*ServiceTables.at(Spec.Name),
                         "service." + Spec.Name.Value, Faults);
      for (const ServiceName &Name : Spec.DependsOn)
        if (findService(Config, Name) == nullptr)
          Reader.addFault("depends_on", Name.Value, "names of services");
      std::vector<ServiceName> Path;
      std::set<ServiceName> Visited;
      if (reaches(Spec.Name, Spec.Name, Path, Visited)) {
        std::string Cycle = Spec.Name.Value;
        for (const ServiceName &Step : Path)
          Cycle += " -> " + Step.Value;
        Reader.addFault("depends_on", "the cycle " + Cycle,
                        "dependencies without a cycle");
      }
    }
  }

  /// \returns whether the dependencies of From lead to Goal; Path receives the
  /// services on the way, Visited all services that were examined.
  bool reaches(const ServiceName &From, const ServiceName &Goal,
               std::vector<ServiceName> &Path,
               std::set<ServiceName> &Visited) const {
    const ServiceSpec *Spec = findService(Config, From);
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

  void checkUpstreams() {
    for (const ServiceSpec &Spec : Config.Services) {
      const bool Served = std::any_of(
          Config.Upstreams.begin(), Config.Upstreams.end(),
          [&](const UpstreamSpec &Item) { return Item.Service == Spec.Name; });
      if (Served)
        continue;
      TableReader Reader(*ServiceTables.at(Spec.Name),
                         "service." + Spec.Name.Value, Faults);
      Reader.addFault("name", "no upstream", "at least one [[upstream]]");
    }
  }

  TableReader RootReader;
  Diagnostics &Faults;
  Configuration Config;
  std::map<ServiceName, const toml::table *> ServiceTables;
  std::set<std::string> ModelNames;
  std::set<std::string> RoutePaths;
  std::set<std::string> UsedKeyDigests;
  std::set<UpstreamName> UpstreamNames;
  std::set<WorkspaceId> WorkspaceNames;
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
