#!/bin/sh
# Builds the stand-ins of the scripts of the third review (review/9 to review/13), for the
# kind of processor that it runs on. It needs Go and the standard library, and no network.
set -eu
cd "$(dirname "$0")/rig-3"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off GOWORK=off go build -o ../bin/rig-3 .
