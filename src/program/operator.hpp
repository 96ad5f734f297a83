// The operator's own file: what an installation switches on beside the platform's configuration. JSON, held
// against deploy/operator.schema.json, which is part of the program.
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

// How this director follows the change stream in place of the platform's own source.
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

// file is only named in what is said. Throws BadConfig with one line: file, JSON pointer, what is there and
// what is wanted. memory (bytes) scales what the file does not set.
OperatorFile read_operator(const std::string& text, const std::string& file, std::size_t memory);

// The file that path or the variable HARERAMP_OPERATOR names; everything off where neither does.
OperatorFile load_operator(const std::string& path, std::size_t memory);

}  // namespace hareramp::program
