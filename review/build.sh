#!/bin/sh
# Checks that all that the scripts start can be loaded with the libraries that the build
# of the deploy file has placed in target/deps; there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:src:." python3 -c 'import review.support.lab'
