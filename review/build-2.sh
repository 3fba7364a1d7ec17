#!/bin/bash
# Builds the stand-ins that the scripts of cases 4 to 6 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
