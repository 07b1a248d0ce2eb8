#!/usr/bin/env bash
# Build the stand-ins of the review's scripts: Python of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
