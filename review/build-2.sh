#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
