#!/bin/sh
# Builds the stand-ins that the scripts of this review start, the project's own included.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/lab2 review/lab2/*.go
