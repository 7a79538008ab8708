"""Moves shards among real controller processes under load: `python -m tools.shares [--moves N] [--seed N]`.

Three controllers divide machines into shards; protocol doubles on loopback stand for workers, cloud and store. Jobs
of every kind are submitted at a steady rate, some are cancelled. Shards are moved repeatedly, and controllers are
killed or paused at random, in some cases during a move. At the end every job has to finish. The event history is
checked and measurements are printed. Exits with 1 if an invariant was violated. Nothing is simulated: controllers,
doubles and load run in real time on one machine.
"""

import sys

import click
import uvloop

from .run import LoadRun


@click.command()
@click.option("--moves", default=100, help="Number of moves that are requested.")
@click.option("--seed", default=1)
@click.option("--shares", default=4)
@click.option("--calm", is_flag=True, help="Kill and pause no controller.")
def main(moves: int, seed: int, shares: int, calm: bool) -> None:
    """Run the load test; exit with 1 if an invariant was violated."""
    run = LoadRun(seed, shares, calm)

    async def execute() -> bool:
        async with run.site:
            return await run.execute(moves)

    try:
        passed = uvloop.run(execute())
    finally:
        run.site.clean_up()
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
