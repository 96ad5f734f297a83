#!/usr/bin/env bash
# Builds the stand-ins of the second review, one program for each case, into build/review-2 (a folder that git ignores).
# The scripts need nothing else but the director, which the command `build` of the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/stand_ins_2/*.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$(basename "$source" .cpp)" "$source" &
  jobs="${jobs:-} $!"
done
for job in ${jobs:-}; do wait "$job"; done
