// experiments/experiment.schema.json, as it was when this was built.
#pragma once

namespace hareramp::lab {
extern const char* const kExperimentSchema;
}
