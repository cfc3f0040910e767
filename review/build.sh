#!/bin/sh
# Prepares what the scripts of review/ start. Run it from the repository's root after
# the build of the deploy file. All stand-ins are Python programs that use the libraries
# in target/deps, so they are only compiled into target/review, which checks them.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || sh deploy/build.sh
rm -rf target/review
mkdir -p target/review
cp -R standins target/review/standins
cp review/harness.py target/review/
python3 -m compileall -q target/review
PYTHONPATH=target/review:target/deps python3 -c "import harness"
