#!/bin/sh
# Builds the stand-ins that the scripts of this review start. The deploy file builds the router.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-6-drill review/6/drill/*.go
# Cases 7 and 8 use the stand-ins of the earlier review. Go builds files of one folder only.
src=target/review-2-source
rm -rf "$src"
mkdir -p "$src"
cp -R review/harness/. review/7/herd.go "$src"
go build -o target/review-2-harness "$src"/*.go
rm -rf "$src"
