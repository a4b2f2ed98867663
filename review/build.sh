#!/bin/sh
# Builds the stand-ins of the scripts: std alone, no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/1/stand-ins/main.rs
