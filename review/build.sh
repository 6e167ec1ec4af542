#!/usr/bin/env bash
# Builds the programs of the scripted cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$case"
done
