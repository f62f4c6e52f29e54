#pragma once

#include <memory>
#include <string>

namespace bronzeward {

/// \ingroup Request
/// \brief Immutable bytes of which copies share one allocation, such as the
/// body of a request that is kept while it is being sent.
class SharedBytes {
public:
  SharedBytes() = default;
  /// Implicit, so that text is assigned as to a string.
  SharedBytes(std::string Text) // NOLINT(google-explicit-constructor)
      : Content(std::make_shared<const std::string>(std::move(Text))) {}

  [[nodiscard]] const std::string &text() const {
    static const std::string Empty;
    return Content ? *Content : Empty;
  }

private:
  std::shared_ptr<const std::string> Content;
};

} // namespace bronzeward
