#!/bin/bash
# Builds the programs of the second review's cases after the deploy file's build, without a network.
set -e
cd "$(dirname "$0")/.."
(cd review/second && GOWORK=$PWD/go.work GOPROXY=off go build -buildvcs=false -o ../../target/review2-refused ./refused)
