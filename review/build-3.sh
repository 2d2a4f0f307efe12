#!/bin/bash
# Builds the program with the stand-ins and clients of the cases 11 to 15. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
go build -o ../../target/review-harness-3 .
