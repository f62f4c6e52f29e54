#include "bronzeward/src/Router/VersionRecord.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>

namespace bronzeward {

namespace json = boost::json;

const std::string RecordKey = "bronzeward/upstream-versions";
/// Longest time from the sight of a new version to the read that precedes its
/// record, and between two tries. Many instances see it at the same time; the
/// first to read writes the record for the others.
constexpr Duration MaxWriteDelay = 500ms;
/// Longest time until a record that is in doubt is read, though it will hardly
/// be written.
constexpr Duration MaxReadDelay = 100ms;
constexpr int HashBase = 16;

static std::string textOf(VersionId Version) {
  std::array<char, 2 * sizeof(Version.Hash)> Digits{};
  const std::to_chars_result End = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Version.Hash, HashBase);
  return {Digits.data(), End.ptr};
}

std::string encodeVersions(const RecordedVersions &Versions) {
  json::object Services;
  for (const auto &[Service, Recorded] : Versions) {
    json::array List;
    for (const VersionId Version : Recorded)
      List.emplace_back(textOf(Version));
    Services[Service.Value] = std::move(List);
  }
  return json::serialize(Services);
}

static VersionId parseVersion(const json::string &Text) {
  VersionId Version;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Version.Hash, HashBase);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    throw std::invalid_argument("version is no hexadecimal number");
  return Version;
}

Result<RecordedVersions> parseVersions(const std::string &Text) {
  try {
    RecordedVersions Versions;
    const json::value Parsed = json::parse(Text);
    for (const json::key_value_pair &Item : Parsed.as_object()) {
      std::vector<VersionId> &Recorded =
          Versions[ServiceName{std::string(Item.key())}];
      for (const json::value &Version : Item.value().as_array())
        Recorded.push_back(parseVersion(Version.as_string()));
    }
    return Versions;
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidData, "parse versions", RecordKey,
                Failure.what());
  }
}

bool VersionRecord::differs() const {
  return Deps.Versions.dueRecord() != Deps.Versions.record();
}

bool VersionRecord::due() const {
  return Deps.Versions.recordReadDue() || differs();
}

void VersionRecord::postpone(TimePoint Now, Duration MaxDelay) {
  NextCall =
      Now + std::chrono::duration_cast<Duration>(MaxDelay * Deps.Source.unit());
}

VersionRecord::VersionRecord(VersionRecordDependencies Dependencies)
    : Deps(Dependencies),
      Stored(RecordKey, Dependencies.Store,
             [this](TimePoint At) { postpone(At, MaxWriteDelay); }) {}

void VersionRecord::update(TimePoint Now) {
  if (Stored.busy() || !due()) {
    NextCall.reset();
    return;
  }
  if (!NextCall)
    postpone(Now, differs() ? MaxWriteDelay : MaxReadDelay);
  if (Now < *NextCall)
    return;
  DoubtsAtRead = Deps.Versions.doubts();
  Stored.read(Now, [this](const std::optional<std::string> &Text,
                          TimePoint At) { onRead(Text, At); });
}

void VersionRecord::onRead(const std::optional<std::string> &Text,
                           TimePoint Now) {
  RecordedVersions Read;
  if (Text) {
    const Result<RecordedVersions> Parsed = parseVersions(*Text);
    if (!Parsed) {
      Deps.Log.onEvent("upstream-versions-invalid", describe(Parsed.error()));
      postpone(Now, MaxWriteDelay);
      return;
    }
    Read = Parsed.value();
  }
  Deps.Versions.onRecordRead(DoubtsAtRead);
  apply(Read, Now);
  if (!differs())
    return;
  const RecordedVersions Due = Deps.Versions.dueRecord();
  Stored.write(encodeVersions(Due), Now,
               [this, Due](TimePoint At) { apply(Due, At); });
}

void VersionRecord::apply(const RecordedVersions &Versions, TimePoint Now) {
  if (Versions == Deps.Versions.record())
    return;
  Deps.Versions.onRecord(Versions, Now);
  Deps.Log.onEvent("upstream-versions", encodeVersions(Versions));
}

} // namespace bronzeward
