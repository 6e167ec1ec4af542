#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    g++ -std=c++20 -O1 -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
