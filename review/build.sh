#!/usr/bin/env bash
# Builds the programs of the cases' scripts. The deploy file's build must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/case-1 ./review/1
go build -o target/review/case-2 ./review/2
