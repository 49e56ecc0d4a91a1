#!/bin/sh
# Builds what the scripts of the cases start besides the gateway.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
