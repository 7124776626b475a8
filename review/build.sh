#!/bin/bash
# Builds the stand-ins of the scripted cases. The router is built by the deploy file's build line.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness review/harness/*.go
