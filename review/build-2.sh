#!/bin/bash
# Builds the program with the stand-ins and clients of the cases 7 to 10. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target
go build -o ../../target/review-harness-2 .
