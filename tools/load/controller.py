"""Starts a controller from the sources.

`run.py` prefers the package that an earlier build left under `target/`, so a load test would measure an old version.
"""

import gc
import os

gc.disable()
os.environ["UV_USE_IO_URING"] = "0"

from driftcleat.cli import run  # noqa: E402  (as in run.py)

if __name__ == "__main__":
    run()
