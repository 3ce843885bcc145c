#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand ./review/stand
