"""Load test: real controller processes at a fleet's full size, everything around them stood in for.

    python -m tools.load [hki | kandla | hki-lean | kandla-lean][-half-more] [--machines N] [--phases LIST]

Every machine keeps one connection open, as workers do, and each controller has the platform's descriptor limit set
on its process. Phase by phase it prints processor time (whole and by part) of leader and followers, how reports and
users' requests fared, and in the end the most memory and descriptors; it exits with 1 if one of these limits was
passed or a worker's lease ran out. Workers and cloud run in this process, on loopback, and print their own share of a
core; the state service is a process of its own. Only `--throttled` holds the controllers to their share.
"""

import argparse
import sys

import uvloop

from .processes import LoadSite
from .scenario import Scenario
from .sizes import SIZES, Size


async def run(size: Size, machines: int, seconds: float, phases: list[str], throttled: bool) -> bool:
    """Play the load and print what it cost; whether every limit was kept."""
    site = LoadSite(size, throttled)
    try:
        async with site:
            scenario = Scenario(site, machines)
            print(
                f"{machines} machines, a share of {size.core_share:.1%} of a core, {size.memory_mb:.0f} MB and "
                f"{size.fd_limit} descriptors allowed"
            )
            await scenario.play(seconds, phases)
            peaks = scenario.peaks
            return peaks.memory_mb < size.memory_mb and peaks.descriptors < size.fd_limit and site.model.lapses() == 0
    finally:
        site.clean_up()


def main() -> None:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", nargs="?", choices=sorted(SIZES), default="hki")
    parser.add_argument("--machines", type=int)
    parser.add_argument("--seconds", type=float, default=20.0, help="how long the steady phase lasts")
    parser.add_argument("--phases", default="", help="names with commas between them, in their order; default all")
    parser.add_argument("--throttled", action="store_true", help="hold each controller to its share of a core")
    asked = parser.parse_args()
    size = SIZES[asked.site]
    phases = [name.strip() for name in asked.phases.split(",") if name.strip()]
    kept = uvloop.run(run(size, asked.machines or size.machines, asked.seconds, phases, asked.throttled))
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
