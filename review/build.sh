#!/usr/bin/env bash
# Builds the stand-ins of all cases, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  [ -f "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$(basename "$folder")" "$folder/case.cpp"
done
