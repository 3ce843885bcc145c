#!/bin/sh
# Builds the stand-ins and scripts of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/stand-3
