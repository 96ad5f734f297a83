#!/usr/bin/env bash
# Builds the programs of the cases into build/review. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/*.cpp; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand_ins "$source" -o "build/review/case_$name"
done
