"""What work costs, in counts that repeat exactly: guards of what was gained for small controllers."""

import subprocess
import sys

# Loaded only by what needs them: each costs a start milliseconds of a core, of which a controller has a small share.
NOT_AT_START = ("aiohttp.web", "aiohttp.web_app", "configparser", "hypothesis", "pytest", "unittest")


def test_a_start_loads_only_what_serving_needs() -> None:
    code = "import sys, driftcleat.cli, driftcleat.controller; print('\\n'.join(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True).stdout.split()
    assert "driftcleat.controller" in loaded
    assert not set(NOT_AT_START) & set(loaded)
