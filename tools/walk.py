"""Plays more of the random walk of `tests/test_meetings_walk.py`: `python -m tools.walk FIRST LAST`."""

import sys

import click

from tests.test_meetings_walk import walk


@click.command()
@click.argument("first", type=int)
@click.argument("last", type=int)
def main(first: int, last: int) -> None:
    """Play the seeds FIRST to LAST; exit with 1 if a rule broke."""
    broken = 0
    for seed in range(first, last + 1):
        try:
            walk(seed)
        except AssertionError as error:
            broken += 1
            click.echo(f"seed {seed}: {error}")
    click.echo(f"{last - first + 1} walks, {broken} with a rule broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
