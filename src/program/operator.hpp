// The operator's file: what an installation enables in addition to the platform's configuration. JSON,
// validated against deploy/operator.schema.json, which is compiled into the program.
#pragma once

#include <string>
#include <vector>

#include "base/limits.hpp"
#include "base/log.hpp"
#include "distribution/relay_settings.hpp"
#include "distribution/subscription.hpp"
#include "flow/settings.hpp"

namespace hareramp::program {

extern const char* const kOperatorSchema;

// How this director follows the change stream from relays instead of from the platform's own source.
struct ChangeStreamSettings {
  bool enabled = false;
  bool compressed = true;
  transport::Seconds retry_longest = 5;
  std::vector<distribution::Endpoint> relays;
};

struct OperatorFile {
  LogFormat log_form = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  flow::ExportSettings flow_export;
  ChangeStreamSettings change_stream;
  distribution::RelaySettings relay;
};

// Parses the text of an operator's file. file is the name used in error messages. Throws ConfigError with one
// line: file, JSON pointer, what was found and what was expected. memory (bytes) scales the defaults of
// settings that the file leaves out.
OperatorFile parse_operator_file(const std::string& text, const std::string& file, std::size_t memory);

// Loads the file at path, or the one that HARERAMP_OPERATOR names if path is empty; everything is off if
// neither is given. Throws ConfigError.
OperatorFile load_operator_file(const std::string& path, std::size_t memory);

}  // namespace hareramp::program
