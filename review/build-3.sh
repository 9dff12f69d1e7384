#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review 3. Run it after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3/ .
