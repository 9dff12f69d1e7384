#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. Run it after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/kit-2"
GOTOOLCHAIN=local go build -o ../../target/review-2/review2 .
