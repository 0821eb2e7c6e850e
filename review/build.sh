#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs no network: they use the
# standard library only. The programs themselves are built by the line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
