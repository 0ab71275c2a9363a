#!/bin/sh
# Builds the stand-ins of the second review's scripts, without a network.
set -e
cd "$(dirname "$0")/rig-2"
GOFLAGS= GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o ../../target/bin/rig-2 .
