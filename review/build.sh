#!/usr/bin/env bash
# Builds the program of the script. The deploy file's build must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/case-1 ./review/1
