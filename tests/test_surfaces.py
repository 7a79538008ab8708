"""Recorded texts of the external interfaces: settings, command line, JSON, store keys, messages, enum values.

Each surface is described by a function, and its expected description is a file in `tests/surfaces`. These functions
wrote the files from the sources of 0.7.0. They name no struct and no attribute, so a rename in the code does not
change a description. A file changes only with an intended change of the interface; `description(NAME)` then returns
its new text.
"""

import dataclasses
import enum
import importlib
import json
import os
import pkgutil
import re
import subprocess
import sys
import tempfile
import types
import typing
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

import driftcleat
from driftcleat import wire
from driftcleat.settings import SettingsError
from driftcleat.settings.operator import Tuning, load_tuning
from driftcleat.settings.platform import parse_platform
from driftcleat.sharing.settings import SharingSettings, load_sharing

from .samples import raw_job
from .sharing_simulation import ShardedSimulation
from .simulation import LABELS, Simulation

ROOT = Path(__file__).resolve().parent.parent
SURFACE_FILES = ROOT / "tests" / "surfaces"

# Settings.


def _load_result(load: typing.Callable[[str], Any], path: Path, text: str) -> str:
    """Return the error message for a settings file with this text, or "accepted"."""
    path.write_text(text)
    try:
        load(str(path))
    except SettingsError as error:
        return str(error).replace(str(path), path.name)
    return "accepted"


def _operator_keys() -> Iterator[str]:
    """Yield each operator setting with its former name, default, bounds and help text."""
    for entry in dataclasses.fields(Tuning):
        metadata = entry.metadata
        names = metadata["key"] if metadata["alias"] is None else f"{metadata['key']} (once {metadata['alias']})"
        bounds = f"{metadata['low']:g} to {metadata['high']:g}"
        yield f"{metadata['section']}.{names} = {entry.default:g}, {bounds}: {metadata['help']}"


def _operator_results(folder: Path) -> Iterator[str]:
    path = folder / "ops.ini"
    for entry in dataclasses.fields(Tuning):
        metadata = entry.metadata
        for name in filter(None, (metadata["key"], metadata["alias"])):
            for value in (metadata["low"], metadata["high"], metadata["high"] * 2 + 1, "many"):
                result = _load_result(load_tuning, path, f"[{metadata['section']}]\n{name} = {value}\n")
                yield f"{metadata['section']}.{name} = {value}: {result}"
    for text in ("[fleet]\nsample = 3\n", "[other]\nsample = 3\n", "[DEFAULT]\nidle = 3\n", "idle = 3\n"):
        yield f"{text!r}: {_load_result(load_tuning, path, text)}"


def _sharing_results(folder: Path) -> Iterator[str]:
    path = folder / "sharing.ini"
    for entry in dataclasses.fields(SharingSettings):
        yield f"sharing.{entry.name} = {entry.default}"
        for value in (-1, 0, 0.1, 1, 1.5, 33, 101, 10_001, "many"):
            yield f"sharing.{entry.name} = {value}: " + _load_result(
                load_sharing, path, f"[sharing]\n{entry.name} = {value}\n"
            )
    for text in ("", "[other]\n", "[sharing]\nother = 1\n"):
        yield f"{text!r}: {_load_result(load_sharing, path, text)}"


def operator_settings() -> Iterator[str]:
    """Yield the settings of the operator's INI files, sharing included, and the results of loading values."""
    yield from _operator_keys()
    with tempfile.TemporaryDirectory() as folder:
        yield from _operator_results(Path(folder))
        yield from _sharing_results(Path(folder))


def full_settings() -> dict[str, Any]:
    """Return platform settings with every name that is read; no value occurs twice."""
    return {
        "label": "a",
        "domain": "north",
        "bind": "127.0.0.1:18001",
        "back": "127.0.0.1:18002",
        "known": [{"label": "b", "domain": "south", "address": "127.0.0.1:18003"}],
        "external": {"cloud": "127.0.0.1:18004", "state": "127.0.0.1:18005"},
        "deployment": {
            "zones": ["east", "west"],
            "clock_off_ms": 51.0,
            "teams": [{"name": "red", "cpus": 52.0, "cpus_max": 53.0, "gpus": 54.0, "gpus_max": 55.0}],
            "objectives": [{"kind": "wait", "class": "train", "within_s": 56.0, "share": 0.57}],
            "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 20.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
            "state": {
                "rps": 200.0,
                "write_rps": 50.0,
                "value_kb": 8.0,
                "txn_ops": 24,
                "next": {"rps": 190.0, "write_rps": 45.0, "value_kb": 7.0, "txn_ops": 21},
            },
            "cloud": {"rps": 2.5, "list_lag_s": 5.5},
            "resources": {"core_share": 0.3, "memory_mb": 129.0, "fd_limit": 500},
        },
    }


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each table and value within nested settings; a table precedes its entries."""
    if path:
        yield path
    entries = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in entries:
        yield from _paths(inner, (*path, key))


def _parse_result(raw: Any) -> str:
    """Return the values that settings are parsed to, or the error message."""
    try:
        # Values in their order, without attribute names, so that a rename in the code changes nothing.
        return repr(dataclasses.astuple(parse_platform("site.toml", raw)))
    except SettingsError as error:
        return str(error)


def platform_settings() -> Iterator[str]:
    """Yield the result of parsing platform settings: complete, with each name missing, with each value invalid."""
    yield f"whole: {_parse_result(full_settings())}"
    for path in _paths(full_settings()):
        for change in ("missing", "wrong"):
            raw = full_settings()
            table = raw
            for key in path[:-1]:
                table = table[key]
            if change == "missing":
                del table[path[-1]]
            else:
                table[path[-1]] = -1
            yield f"{'.'.join(map(str, path))} {change}: {_parse_result(raw)}"


# Command line.

COMMAND_LINES = [
    ["--help"],
    ["-h"],
    [],
    ["--version"],
    ["check", "--help"],
    ["status", "--help"],
    ["shares", "--help"],
    ["check", "good.toml"],
    ["check", "good.toml", "--ini", "good.ini", "--sharing", "sharing.ini"],
    ["check", "bad.toml"],
    ["check", "none.toml"],
    ["check", "nonsense.toml"],
    ["check", "good.toml", "--ini", "bad.ini"],
    ["check", "good.toml", "--sharing", "bad.ini"],
    ["check"],
    ["--config", "bad.toml"],
    ["--config", "good.toml", "--ini", "bad.ini"],
    ["nonsense"],
    ["status", "127.0.0.1:1"],
    ["shares"],
    ["shares", "127.0.0.1:1"],
    ["shares", "move", "127.0.0.1:1", "1", "b"],
]


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(inner)}" for key, inner in value.items()) + "}"
    return "[" + ", ".join(map(_toml, value)) + "]" if isinstance(value, list) else json.dumps(value)


def _write_files(folder: Path) -> None:
    good = "".join(f"{key} = {_toml(value)}\n" for key, value in full_settings().items())
    files = {
        "good.toml": good,
        "bad.toml": good.replace("lease_s = 10.0", 'lease_s = "long"'),
        "nonsense.toml": "label = \n",
        "good.ini": "[placement]\nsample = 5\n",
        "bad.ini": "[placement]\nsampel = 5\n",
        "sharing.ini": "[sharing]\nshares = 2\n",
    }
    for name, text in files.items():
        (folder / name).write_text(text)


def command_line() -> Iterator[str]:
    """Yield the output and exit code of `run.py` for each of `COMMAND_LINES`."""
    environment = {"PATH": os.environ.get("PATH", ""), "COLUMNS": "100", "PYTHONDONTWRITEBYTECODE": "1"}
    with tempfile.TemporaryDirectory() as name:
        _write_files(Path(name))
        for arguments in COMMAND_LINES:
            process = subprocess.run(
                [sys.executable, str(ROOT / "run.py"), *arguments],
                cwd=name,
                env=environment,
                capture_output=True,
                text=True,
                check=False,
            )
            yield f"$ run.py {' '.join(arguments)}"
            yield from (f"  {line}".rstrip() for line in _without_version(process.stdout).splitlines())
            yield from (f"  ! {line}".rstrip() for line in process.stderr.splitlines())
            yield f"  exit code {process.returncode}"


def _without_version(text: str) -> str:
    return text.replace(driftcleat.__version__, "VERSION")


# Paths and JSON of the HTTP interfaces.


def _keys(value: Any, path: str = "") -> Iterator[str]:
    """Yield the key paths of decoded JSON in their order, with the types of their values."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _keys(inner, f"{path}.{key}" if path else key)
        if not value:
            yield f"{path} {{}}"
    elif isinstance(value, list):
        yield from dict.fromkeys(line for inner in value for line in _keys(inner, f"{path}[]"))
    else:
        yield f"{path} {type(value).__name__}"


REQUESTS = [
    ("front", "GET", "/ready", b""),
    ("front", "POST", "/ready", b""),
    ("front", "POST", "/v1/jobs", b"{"),
    ("front", "POST", "/v1/jobs", b'{"nameId": "req-000009"}'),
    ("front", "GET", "/v1/jobs", b""),
    ("front", "GET", "/v1/jobs/req-000001", b""),
    ("front", "GET", "/v1/jobs/req-000999", b""),
    ("front", "GET", "/v1/jobs/nonsense", b""),
    ("front", "DELETE", "/v1/jobs/req-000001", b""),
    ("front", "POST", "/v1/jobs/req-000999/cancel", b""),
    ("front", "GET", "/v1/jobs/req-000001/cancel", b""),
    ("front", "POST", "/v1/jobs/req-000002/cancel", b""),
    ("front", "GET", "/agent/beat", b""),
    ("front", "POST", "/agent/beat", b"{}"),
    ("front", "GET", "/status", b""),
    ("front", "GET", "/metrics", b""),
    ("back", "GET", "/status", b""),
    ("back", "GET", "/metrics", b""),
    ("back", "POST", "/status", b""),
    ("back", "POST", "/metrics", b""),
    ("back", "GET", "/peer", b""),
    ("back", "POST", "/peer", b'["shutdown"]'),
    ("back", "POST", "/peer", b'["ping","z"]'),
    ("back", "POST", "/peer", b'["ask","z",2]'),
    ("back", "POST", "/peer", b'["forward","GET","/v1/jobs/req-000001",""]'),
    ("back", "GET", "/shares", b""),
    ("back", "POST", "/shares", b""),
    ("back", "POST", "/shares/move", b"[1]"),
    ("back", "POST", "/sharing", b"{}"),
    ("back", "GET", "/nowhere", b""),
]


async def _response_lines(controller: Any) -> list[str]:
    """Return the response to each of `REQUESTS`: status, Retry-After, keys of the body, and the text of errors."""
    lines = []
    for side, method, path, body in REQUESTS:
        handle = controller.handle_front if side == "front" else controller.handle_back
        response = await handle(method, path, body)
        lines.append(f"{side} {method} {path} {body.decode()}".rstrip())
        lines.append(f"  {response.status}, Retry-After {response.retry_after_s}")
        data = json.loads(response.body) if response.body else None
        if isinstance(data, dict):
            short = "error" in data or len(data) < 4
            lines.extend([f"  {json.dumps(data)}"] if short else [f"  {line}" for line in _keys(data)])
        else:
            lines.append(f"  {_numbers_replaced_by_types(data)}")
    return lines


def _numbers_replaced_by_types(value: Any) -> str:
    """Return decoded JSON as text with types in place of numbers, which vary between runs."""
    if isinstance(value, list):
        return "[" + ", ".join(map(_numbers_replaced_by_types, value)) + "]"
    return type(value).__name__ if isinstance(value, (int, float)) and not isinstance(value, bool) else repr(value)


async def _run_jobs(simulation: Simulation) -> None:
    """Run an array job and a service in a simulation for 60 s, so that it has a completed and a running job."""
    simulation.submit_until_accepted(raw_job(1, voyageS=1.0))
    simulation.submit_until_accepted(raw_job(2, rig="daemon", hands=3, voyageS=0.0, crew="blue"))
    await simulation.advance(60.0)
    await simulation.run_until(lambda: len(simulation.statuses) == 2)


def responses() -> Iterator[str]:
    """Yield the responses of a leader, of a follower, and of a shard host that is the coordinator."""
    simulation, shared, found = Simulation(1), ShardedSimulation(1), []

    async def scenario(running: Simulation) -> None:
        await _run_jobs(running)
        leader = running.leader_label()
        follower = next(label for label in LABELS if label != leader)
        for title, label in (("leader", str(leader)), ("follower", follower)):
            found.append(f"== {title}")
            found.extend(await _response_lines(running.controllers[label]))

    async def sharded_scenario(running: Simulation) -> None:
        await shared.wait_until_ready()
        await _run_jobs(running)
        found.append("== coordinator of shares")
        found.extend(await _response_lines(shared.controllers[str(shared.leader_label())]))

    simulation.run_scenario(scenario)
    shared.run_scenario(sharded_scenario)
    yield from found


# Store keys.


def _key_forms_used(simulation: Simulation, jobs: int) -> set[str]:
    """Return the forms of all keys that a simulation writes, removes or compares, with N in place of numbers."""
    keys: set[str] = set()
    original_txn = simulation.store_double.txn

    def txn(body: bytes) -> tuple[int, Any]:
        raw = json.loads(body)
        for row in raw["if"]:
            keys.add(row["key"])
        for change in raw["then"]:
            keys.add(change["put"] if "put" in change else change["remove"])
        return original_txn(body)

    simulation.store_double.txn = txn  # type: ignore[method-assign]

    async def scenario(running: Simulation) -> None:
        if isinstance(running, ShardedSimulation):
            await running.wait_until_ready()
        for number in range(1, jobs + 1):
            running.submit_until_accepted(
                raw_job(number, hands=90, cores=0.1, accelerators=0.0, memGb=0.1, voyageS=5.0)
            )
        running.submit_until_accepted(
            raw_job(jobs + 1, rig="daemon", hands=1, voyageS=0.0, cores=0.1, accelerators=0.0)
        )
        await running.advance(90.0)

    simulation.run_scenario(scenario)
    return {_key_form(key) for key in keys}


def _key_form(key: str) -> str:
    return re.sub(r"[0-9]+", "N", re.sub(r"rentals/.*", "rentals/REQUEST", key))


def store_keys() -> Iterator[str]:
    """Yield the forms of the store keys in both data versions and with sharing."""
    next_limits: dict[str, Any] = {"next": {"value_kb": 2.0, "txn_ops": 4, "write_rps": 45.0}}
    version_1 = Simulation(3)
    # If controllers of an older version may be present, data version 1 stays active.
    version_1.old_version_controllers = set(LABELS)
    yield "== data version 1"
    yield from sorted(_key_forms_used(version_1, 4))
    yield "== data version 2"
    yield from sorted(_key_forms_used(Simulation(3, **next_limits), 4))
    yield "== shares"
    yield from sorted(_key_forms_used(ShardedSimulation(3, **next_limits), 9))


# Messages and records.


def _subclasses(kind: type) -> list[type]:
    """Return all direct and indirect subclasses of `kind` that are defined in driftcleat."""
    for module in pkgutil.walk_packages(driftcleat.__path__, "driftcleat."):
        importlib.import_module(module.name)
    found: list[type] = []
    left = [kind]
    while left:
        for inner in list[type](left.pop().__subclasses__()):
            left.append(inner)
            if inner.__module__.startswith("driftcleat.") and inner not in found:
                found.append(inner)
    return found


def _example(kind: Any, name: str, all_fields: bool) -> Any:
    """Return a value of a type, derived from its name on the wire; `all_fields` includes optional fields."""
    if typing.get_args(kind):
        return _generic_example(kind, name, all_fields)
    if issubclass(kind, tuple):
        # A NamedTuple is encoded like any other tuple.
        return _row_example(typing.get_type_hints(kind).values(), all_fields)
    if issubclass(kind, msgspec.Struct):
        return _struct_example(kind, all_fields)
    if issubclass(kind, enum.Enum):
        return next(iter(kind))
    simple: dict[Any, Any] = {
        str: name,
        int: len(name),
        float: len(name) + 0.5,
        bool: True,
        Any: {"any": name},
        msgspec.Raw: msgspec.Raw(b'"raw"'),
    }
    return simple[kind]


def _generic_example(kind: Any, name: str, all_fields: bool) -> Any:
    origin, parts = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return _example(parts[0], name, all_fields)
    if origin in (typing.Union, types.UnionType):
        return _example(next(part for part in parts if part is not type(None)), name, all_fields)
    if origin is tuple and parts[-1] is not Ellipsis:
        return _row_example(parts, all_fields)
    if origin in (tuple, list):
        return origin([_example(parts[0], name, all_fields)])
    assert origin is dict, f"no example of {kind}"
    return {_example(parts[0], name, all_fields): _example(parts[1], name, all_fields)}


def _row_example(parts: Iterable[Any], all_fields: bool) -> tuple[Any, ...]:
    return tuple(_example(part, f"at{number}", all_fields) for number, part in enumerate(parts))


def _struct_example(kind: type[msgspec.Struct], all_fields: bool) -> msgspec.Struct:
    values = {}
    for number, field in enumerate(msgspec.structs.fields(kind)):
        # Array-like structs are encoded by position, so field names do not occur on the wire.
        name = f"at{number}" if kind.__struct_config__.array_like else field.encode_name
        if all_fields or field.required:
            values[field.name] = _example(field.type, name, all_fields)
    return kind(**values)


def _types_within(kind: Any) -> Iterator[Any]:
    yield kind
    for part in typing.get_args(kind):
        yield from _types_within(part)


def messages() -> Iterator[str]:
    """Yield the encoding of each message and record: with all fields, and with the required fields only.

    An untagged array-like struct that is part of another one appears only within that one, since its encoding does
    not differ from that of a tuple.
    """
    texts = set()
    kinds: list[Any] = _subclasses(msgspec.Struct)
    parts = {part for kind in kinds for field in msgspec.structs.fields(kind) for part in _types_within(field.type)}
    for kind in kinds:
        if kind in parts and kind.__struct_config__.array_like and kind.__struct_config__.tag is None:
            continue
        all_fields, required_only = (
            wire.encode(_struct_example(kind, all_fields=with_all)).decode() for with_all in (True, False)
        )
        texts.add(f"{all_fields} or {required_only}" if all_fields != required_only else all_fields)
    yield from sorted(texts)


SURFACES = {
    "operator-settings": operator_settings,
    "platform-settings": platform_settings,
    "command-line": command_line,
    "answers": responses,
    "store-keys": store_keys,
    "messages": messages,
}


def description(name: str) -> str:
    """Return the description of a surface according to the present sources."""
    return "".join(f"{line}\n" for line in SURFACES[name]())


@pytest.mark.parametrize("name", SURFACES)
def test_surface_matches_its_recorded_text(name: str) -> None:
    assert description(name) == (SURFACE_FILES / f"{name}.txt").read_text(encoding="utf-8")


# Names of enum members in the code, and their values in records, messages and `/status`.
ENUM_VALUES: dict[str, dict[str, str | int]] = {
    "Role": {
        "FOLLOWER": "follower",
        "PARTITIONED": "tending",
        "CAMPAIGNING": "campaigning",
        "RECOVERING": "rebuilding",
        "LEADER": "leading",
        "UNCONFIRMED_LEADER": "unsure",
    },
    "JobState": {"ACTIVE": "active", "CANCELLED": "cancelled", "DONE": "done", "TERMINATED": "gone"},
    "TaskState": {"QUEUED": 0, "PLACED": 1, "DONE": 2},
    "MachineState": {
        "BOOTING": "booting",
        "UP": "up",
        "DRAINING": "draining",
        "TERMINATING": "returning",
        "TERMINATED": "gone",
    },
    "CommandAction": {"START": "start", "STOP": "kill", "FORGET": "forget"},
    "TaskPhase": {
        "FETCHING": "pulling",
        "WAITING": "waiting",
        "RUNNING": "running",
        "CHECKPOINTING": "saving",
        "EXITED": "exited",
    },
    "ExitReason": {
        "DONE": "done",
        "STOPPED": "stopped",
        "GANG_MEMBER_LOST": "mates_gone",
        "GANG_INCOMPLETE": "alone",
        "ERROR": "error",
        "INSUFFICIENT_RESOURCES": "no_room",
        "OTHER_ATTEMPT_PRESENT": "busy",
        "UNKNOWN_JOB": "unknown",
    },
    "JobKind": {"ARRAY": "array", "GANG": "group", "SERVICE": "daemon"},
    "Priority": {"CRITICAL": "critical", "HIGH": "high", "STANDARD": "standard", "BEST_EFFORT": "best_effort"},
    "HandoffState": {
        "ELSEWHERE": "elsewhere",
        "OWNED": "owned",
        "PREPARING": "preparing",
        "RELEASING": "handing over",
        "ACQUIRING": "taking over",
    },
}


def _enumeration(name: str) -> type[Any]:
    """Return the enum class of this name in driftcleat."""
    (kind,) = [found for found in _subclasses(enum.Enum) if found.__name__ == name]
    return kind


@pytest.mark.parametrize("name", ENUM_VALUES)
def test_enum_values_are_unchanged(name: str) -> None:
    assert {member.name: member.value for member in _enumeration(name)} == ENUM_VALUES[name]


def test_priorities_keep_their_order() -> None:
    assert [priority.level for priority in _enumeration("Priority")] == [0, 1, 2, 3]
