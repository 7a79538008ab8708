"""`run.py shares`: shows and moves shards, which the command line calls shares of the machines."""

import json
import sys
import urllib.error
import urllib.request
from typing import Any

import click

from driftcleat.cli.serve import fail

TIMEOUT_S = 10
# Exit code if the controller rejects the request.
EXIT_REJECTED = 3


def run(arguments: tuple[str, ...], as_json: bool) -> None:
    """Show or move shards, as the arguments after `shares` say; exit with code 2 if they are invalid."""
    if len(arguments) == 1:
        _show(arguments[0], as_json)
    elif len(arguments) == 4 and arguments[0] == "move" and arguments[2].isdigit():
        _move(arguments[1], int(arguments[2]), arguments[3])
    else:
        fail("shares: give HOST:PORT, or move HOST:PORT SHARE CONTROLLER", 2)


def _show(address: str, as_json: bool) -> None:
    data = _request(address, "/shares", None)
    if as_json:
        click.echo(json.dumps(data, indent=2))
        return
    click.echo(f"{data['controller']}: coordinator {data['coordinator']}, {data['moves_received']} shares taken over")
    if not data["begun"]:
        click.echo("sharing has not begun: not every controller has it enabled")
    if data["refusal"]:
        click.echo(f"the stored assignment is rejected: {data['refusal']}")
    for row in data["shares"]:
        owner = row["owner"] or "the coordinator"
        moving = f", moving to {row['moving_to']}" if row["moving_to"] else ""
        refused = f"; last move refused: {row['refused']}" if row["refused"] else ""
        machines = f", {row['machines']} machines" if row["machines"] is not None else ""
        click.echo(
            f"share {row['share']}: assigned to {owner}, led by {row['leader']} (token {row['token']}), "
            f"here {row['state']}{machines}{moving}{refused}"
        )


def _move(address: str, shard: int, target: str) -> None:
    _request(address, "/shares/move", {"share": shard, "receiver": target})
    click.echo(f"share {shard} is being moved to {target}")


def _request(address: str, path: str, body: dict[str, Any] | None) -> Any:
    data = json.dumps(body).encode() if body is not None else None
    try:
        with urllib.request.urlopen(f"http://{address}{path}", data=data, timeout=TIMEOUT_S) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        if error.code == 404:
            fail(f"{address}: sharing is not enabled on this controller", EXIT_REJECTED)
        fail(f"{address}: {_error_text(error)}", EXIT_REJECTED)
    except (OSError, ValueError, urllib.error.URLError) as error:
        fail(f"{address}: cannot be reached: {error}", 1)
    sys.exit(1)


def _error_text(error: urllib.error.HTTPError) -> str:
    try:
        return str(json.load(error)["error"])
    except (ValueError, KeyError, TypeError):
        return f"status {error.code}"
