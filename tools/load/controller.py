"""Starts a controller from the sources: `run.py` would prefer what an earlier build left under `target/`.

Guards against a load test that measures a version of before.
"""

import gc
import os

gc.disable()
os.environ["UV_USE_IO_URING"] = "0"

from driftcleat.cli import run  # noqa: E402  (as in run.py)

if __name__ == "__main__":
    run()
