#!/bin/sh
# Builds the stand-ins of all cases. Needs no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
