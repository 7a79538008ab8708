"""Moves shares among real processes under load: `python -m tools.shares [--moves N] [--seed N]`.

Three controllers share machines that stand-ins play on loopback; jobs of every kind come steadily, some are
cancelled. Shares are moved again and again, and controllers are killed or paused at random, now and then within a
move. In the end everything has to settle; the history is checked and what was measured is printed. Exits with 1 if
anything is broken. Not simulated; the machine that runs it does everything at once.
"""

import sys

import click
import uvloop

from .run import LoadRun


@click.command()
@click.option("--moves", default=100, help="How many moves are ordered.")
@click.option("--seed", default=1)
@click.option("--shares", default=4)
@click.option("--calm", is_flag=True, help="No controller is killed or paused.")
def main(moves: int, seed: int, shares: int, calm: bool) -> None:
    """Play a run and print its verdict."""
    run = LoadRun(seed, shares, calm)

    async def execute() -> bool:
        async with run.site:
            return await run.execute(moves)

    try:
        kept = uvloop.run(execute())
    finally:
        run.site.clean_up()
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
