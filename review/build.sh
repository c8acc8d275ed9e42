#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
for program in restart bigbody wire; do
	GOWORK="$PWD/go.work" GOPROXY=off go build -buildvcs=false -o ../target/review-$program ./$program
done
