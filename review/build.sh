#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/harness .
