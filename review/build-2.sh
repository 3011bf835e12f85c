#!/bin/sh
# Builds the stand-ins of the cases of the second review. Run it from anywhere, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review-standin2 ./review/standin2
