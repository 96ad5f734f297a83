// The text of experiments/experiment.schema.json, embedded at build time.
#pragma once

namespace hareramp::lab {
extern const char* const kExperimentSchema;
}
