#!/bin/bash
# Builds the stand-ins and clients that the scripts start. The routers come from the build line of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
go build -o ../../target/review-harness .
