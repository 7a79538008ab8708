"""Starts driftcleat from a checkout: finds the built package and its dependencies, then runs the command line."""

import gc
import os
import sys

# Garbage collection during the imports would take a tenth of the start-up time; imported objects stay in use.
gc.disable()

# The platform rejects io_uring, and each attempt of libuv to use it would cost a system call.
os.environ["UV_USE_IO_URING"] = "0"

ROOT = os.path.dirname(os.path.abspath(__file__))
# The build leaves a compiled copy of the package under target/, so that a controller without write access to its
# sources does not compile them again at every start.
for part in (ROOT, os.path.join(ROOT, "target", "deps"), os.path.join(ROOT, "target", "app")):
    if os.path.isdir(part):
        sys.path.insert(0, part)

from driftcleat.cli import run  # noqa: E402  (the path is set up above)

if __name__ == "__main__":
    run()
