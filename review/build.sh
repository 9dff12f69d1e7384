#!/usr/bin/env bash
# Builds the one program that holds the stand-ins of all scripts: store, platform, servers and clients. It needs no
# network and no package beyond the standard library.
set -eu
cd "$(dirname "$0")/kit"
GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/review.new . && mv ../bin/review.new ../bin/review
