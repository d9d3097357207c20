#pragma once

#include "core/enum_names.h"

namespace crocusdoor {

/// Kinds of configured resources.
enum class resource_kind { service, route, action };

template <>
struct enum_names<resource_kind> {
  static constexpr auto names = make_enum_names<resource_kind>({
      {resource_kind::service, "service"},
      {resource_kind::route, "route"},
      {resource_kind::action, "action"},
  });
};

/// What a change does to a resource.
enum class change_kind { added, changed, removed };

template <>
struct enum_names<change_kind> {
  static constexpr auto names = make_enum_names<change_kind>({
      {change_kind::added, "added"},
      {change_kind::changed, "changed"},
      {change_kind::removed, "removed"},
  });
};

}  // namespace crocusdoor
