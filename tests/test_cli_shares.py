"""Output and exit status of `run.py shares` against an HTTP server with fixed responses."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from driftcleat.cli.commands import main
from tools.mixed import to_toml

from .samples import raw_settings

ROW = {"share": 1, "owner": "b", "leader": "b", "token": 7, "state": "owned", "machines": 3, "moving_to": "c"}
VIEW = {
    "controller": "b",
    "coordinator": "a",
    "begun": True,
    "refusal": None,
    "moves_received": 2,
    "shares": [ROW | {"refused": "c is silent"}],
}


class FixedResponseHandler(BaseHTTPRequestHandler):
    """Responds to every GET with `shards_response` and to every POST with `move_response`."""

    move_response: tuple[int, dict[str, Any]] = (200, {})
    shards_response: tuple[int, dict[str, Any]] = (200, VIEW)

    def _answer(self, status: int, value: Any) -> None:
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        self._answer(*self.shards_response)

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self._answer(*self.move_response)

    def log_message(self, *_: Any) -> None:
        pass


@pytest.fixture
def address() -> Iterator[str]:
    server = HTTPServer(("127.0.0.1", 0), FixedResponseHandler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def run_shares(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["shares", *arguments])


def test_shares_command_prints_moves_and_the_last_rejection(address: str) -> None:
    result = run_shares(address)
    assert result.exit_code == 0
    assert "share 1: assigned to b, led by b (token 7), here owned, 3 machines, moving to c" in result.output
    assert "last move refused: c is silent" in result.output
    assert json.loads(run_shares(address, "--json").output) == VIEW


def test_move_command_succeeds_or_prints_the_reason_of_its_rejection(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_shares("move", address, "1", "c").exit_code == 0
    monkeypatch.setattr(FixedResponseHandler, "move_response", (409, {"error": "b owns share 1 already"}))
    rejected = run_shares("move", address, "1", "b")
    assert rejected.exit_code == 3 and "b owns share 1 already" in rejected.output
    monkeypatch.setattr(FixedResponseHandler, "shards_response", (404, {"error": "no such path"}))
    assert run_shares(address).exit_code == 3


@pytest.mark.parametrize("arguments", [(), ("move", "x:1"), ("move", "x:1", "one", "b"), ("split", "x:1", "1", "2")])
def test_invalid_arguments_exit_with_2(arguments: tuple[str, ...]) -> None:
    assert run_shares(*arguments).exit_code == 2


def test_unreachable_controller_exits_with_1_and_invalid_settings_with_2(tmp_path: Path) -> None:
    assert run_shares("127.0.0.1:1").exit_code == 1
    invalid_ini = tmp_path / "sharing.ini"
    invalid_ini.write_text("[sharing]\nshares = 99\n")
    site_toml = tmp_path / "site.toml"
    site_toml.write_text("".join(f"{key} = {to_toml(value)}\n" for key, value in raw_settings().items()))
    assert CliRunner().invoke(main, ["check", str(site_toml)]).exit_code == 0
    rejected = CliRunner().invoke(main, ["check", str(site_toml), "--sharing", str(invalid_ini)])
    assert rejected.exit_code == 2 and "sharing.shares" in rejected.output
