#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O --crate-name review_case -o target/release/review-case review/standins-2/main.rs
