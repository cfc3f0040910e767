#!/bin/sh
# Installs the forwarder and its libraries, compiled to byte code, in target/deps. The new
# directory is built elsewhere and then moved into place, and only if a source has changed,
# so that a program that starts meanwhile finds a complete directory.
set -eu
sources="deploy/build.sh deploy/requirements.txt basilgate platform/platformedge"
stamp=$(find $sources -type f ! -name '*.pyc' -exec sha256sum {} + | sort | sha256sum)
if [ -d target/deps ] && [ "$(cat target/stamp 2>/dev/null)" = "$stamp" ]; then
    exit 0
fi
mkdir -p target
fresh=$(mktemp -d target/fresh.XXXXXX)
python3 -m pip install -q --no-compile --target "$fresh" -r deploy/requirements.txt
cp -R basilgate platform/platformedge "$fresh"
# The installed files are read-only at run time, so the byte code needs no check against
# the sources.
python3 -m compileall -q --invalidation-mode unchecked-hash "$fresh"
chmod 755 "$fresh"
old=$(mktemp -d target/old.XXXXXX)
[ ! -d target/deps ] || mv target/deps "$old"
mv "$fresh" target/deps
echo "$stamp" >target/stamp
rm -rf "$old"
