#!/bin/sh
# Builds the stand-ins of cases 4 to 8: plain Python of the standard library, checked and compiled here.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins2 4 5 6 7 8
