#!/bin/sh
# Builds what the scripts of the second review start, beside the program that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/case-5 ./review/5
go build -o target/review-2/case-7 ./review/7
