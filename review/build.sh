#!/bin/sh
# Compiles the stand-ins of the cases; they need nothing but the standard library.
exec python3 -m compileall -q "$(cd "$(dirname "$0")" && pwd)"
