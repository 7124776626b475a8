#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand-3 review/stand-3/*.go
