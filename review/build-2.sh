#!/usr/bin/env bash
# Builds every stand-in that a script of the second review starts. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standins2 ./review/_standins2
