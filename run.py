"""Starts driftcleat from a checkout: finds the built package and its libraries, then runs the command line."""

import gc
import os
import sys

# What is loaded now stays loaded: looking for garbage in between costs a tenth of the start.
gc.disable()

# libuv must not try io_uring: the platform refuses it, and each try costs a system call.
os.environ["UV_USE_IO_URING"] = "0"

ROOT = os.path.dirname(os.path.abspath(__file__))
# The build leaves a compiled copy of the package under target/, so a controller that may not
# write beside its sources does not compile them again at every start.
for part in (ROOT, os.path.join(ROOT, "target", "deps"), os.path.join(ROOT, "target", "app")):
    if os.path.isdir(part):
        sys.path.insert(0, part)

from driftcleat.cli import run  # noqa: E402  (the path is set up above)

if __name__ == "__main__":
    run()
