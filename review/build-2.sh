#!/bin/bash
# Builds the stand-ins of the second review. Run it from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -tags review -o target/review-2/ ./review/rig2
