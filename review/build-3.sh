#!/usr/bin/env bash
# Builds the programs of the third review's scripts into target/, without a network, after the
# deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in stoppipe stopslow heads; do
	(cd review/third && GOWORK=$PWD/go.work GOPROXY=off go build -buildvcs=false -o "../../target/review3-$name" "./$name")
done
