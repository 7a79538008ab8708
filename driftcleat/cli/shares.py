"""`run.py shares`: shows the shares of the machines and moves them."""

import json
import sys
import urllib.error
import urllib.request
from typing import Any

import click

from driftcleat.cli.serve import fail

TIMEOUT_S = 10
# Exit status of an order that was refused.
REFUSED = 3


def run(words: tuple[str, ...], as_json: bool) -> None:
    """Carry out what the words after `shares` ask for."""
    if len(words) == 1:
        _show(words[0], as_json)
    elif len(words) == 4 and words[0] == "move" and words[2].isdigit():
        _move(words[1], int(words[2]), words[3])
    else:
        fail("shares: give HOST:PORT, or move HOST:PORT SHARE CONTROLLER", 2)


def _show(address: str, as_json: bool) -> None:
    data = _ask(address, "/shares", None)
    if as_json:
        click.echo(json.dumps(data, indent=2))
        return
    click.echo(f"{data['controller']}: coordinator {data['coordinator']}, {data['moves_received']} shares taken over")
    if not data["begun"]:
        click.echo("sharing has not begun: not every controller knows of it")
    if data["refusal"]:
        click.echo(f"the stored assignment is refused: {data['refusal']}")
    for row in data["shares"]:
        owner = row["owner"] or "the coordinator"
        moving = f", moving to {row['moving_to']}" if row["moving_to"] else ""
        refused = f"; last move refused: {row['refused']}" if row["refused"] else ""
        machines = f", {row['machines']} machines" if row["machines"] is not None else ""
        click.echo(
            f"share {row['share']}: assigned to {owner}, led by {row['leader']} (token {row['token']}), "
            f"here {row['state']}{machines}{moving}{refused}"
        )


def _move(address: str, share: int, receiver: str) -> None:
    _ask(address, "/shares/move", {"share": share, "receiver": receiver})
    click.echo(f"share {share} is being moved to {receiver}")


def _ask(address: str, path: str, body: dict[str, Any] | None) -> Any:
    data = json.dumps(body).encode() if body is not None else None
    try:
        with urllib.request.urlopen(f"http://{address}{path}", data=data, timeout=TIMEOUT_S) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        if error.code == 404:
            fail(f"{address}: sharing is not switched on there", REFUSED)
        fail(f"{address}: {_reason(error)}", REFUSED)
    except (OSError, ValueError, urllib.error.URLError) as error:
        fail(f"{address}: cannot be reached: {error}", 1)
    sys.exit(1)


def _reason(error: urllib.error.HTTPError) -> str:
    try:
        return str(json.load(error)["error"])
    except (ValueError, KeyError, TypeError):
        return f"status {error.code}"
