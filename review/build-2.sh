#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: byte code of what they start. Run behind the deploy file's `build`, without a network.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q examples fakes review/second
for folder in review/6 review/7 review/8 review/9 review/10; do
    if test -d "$folder"; then .venv/bin/python -m compileall -q "$folder"; fi
done
