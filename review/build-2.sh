#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
