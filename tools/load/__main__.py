"""Load test: real controller processes and the protocol doubles of a full-size fleet.

    python -m tools.load [hki | kandla | hki-lean | kandla-lean][-half-more] [--machines N] [--phases LIST]

Every machine keeps one connection open, as workers do, and the descriptor limit of the platform is set on each
controller process. Each phase prints the CPU time of leader and followers (in total and by part) and the results of
heartbeats and user requests; the end prints the peak memory and descriptors. The exit code is 1 if one of these
limits was exceeded or a worker's lease expired. Workers and cloud run in this process, on loopback, and its own CPU
use is printed as well; the state service is a separate process. Controllers are limited to their share of a core
only with `--throttled`.
"""

import argparse
import sys

import uvloop

from .processes import LoadSite
from .scenario import Scenario
from .sizes import SIZES, Size


async def run(size: Size, machines: int, seconds: float, phases: list[str], throttled: bool) -> bool:
    """Run the load test and print its results; return whether every limit was kept."""
    site = LoadSite(size, throttled)
    try:
        async with site:
            scenario = Scenario(site, machines)
            print(
                f"{machines} machines; limits per controller: {size.core_share:.1%} of a core, "
                f"{size.memory_mb:.0f} MB and {size.fd_limit} descriptors"
            )
            await scenario.run(seconds, phases)
            peaks = scenario.peaks
            return (
                peaks.memory_mb < size.memory_mb
                and peaks.descriptors < size.fd_limit
                and site.model.expired_leases() == 0
            )
    finally:
        site.clean_up()


def main() -> None:
    """Parse the arguments and run the load test."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", nargs="?", choices=sorted(SIZES), default="hki")
    parser.add_argument("--machines", type=int)
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the steady phase in seconds")
    parser.add_argument("--phases", default="", help="comma-separated names of the phases to run; default all")
    parser.add_argument("--throttled", action="store_true", help="limit each controller to its share of a core")
    arguments = parser.parse_args()
    size = SIZES[arguments.site]
    phases = [name.strip() for name in arguments.phases.split(",") if name.strip()]
    kept = uvloop.run(run(size, arguments.machines or size.machines, arguments.seconds, phases, arguments.throttled))
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
