"""The settings that the platform provides: one TOML file per controller."""

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from driftcleat.errors import DriftcleatError

# With fewer file descriptors, lease keep-alives and other uses could not each have connections of their own.
MIN_DESCRIPTORS = 128


class SettingsError(DriftcleatError):
    """A settings file is invalid; the message names the file and the key."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Another controller of the deployment, reached at its `back` address."""

    label: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class Team:
    """A team's quota: `cpus` and `gpus` are guaranteed, `cpus_max` and `gpus_max` are limits; 0 means none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective, for one class of jobs if `job_class` is given."""

    kind: str
    job_class: str | None
    within_s: float
    share: float


@dataclass(frozen=True, slots=True)
class Platform:
    """The validated settings of the platform; most fields are named after their key in the TOML file."""

    label: str
    zone: str
    # Addresses to listen on: `bind` for users and workers, `back` for other controllers and operators.
    bind: str
    back: str
    peers: tuple[Peer, ...]
    # Addresses of the cloud and of the state service.
    cloud: str
    state: str
    zones: tuple[str, ...]
    # The largest possible error of a clock, in seconds.
    clock_off_s: float
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    # Heartbeat interval and lease of the workers, and the limits for gangs and cancellations.
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float
    # Limits of the state service: each is the lower of the current one and the one under `next`, since the time at
    # which `next` takes effect is not announced.
    state_rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int
    # The current limits, by which data version 1 splits jobs into records.
    version_1_value_bytes: int
    version_1_txn_ops: int
    cloud_rps: float
    list_lag_s: float
    core_share: float
    memory_mb: float
    fd_limit: int

    def controllers_outside(self, zone: str) -> int:
        """Return how many controllers are outside a zone.

        If a network partition isolates a zone with the leader inside, work in that zone continues, while all other
        work ends when its lease expires.
        """
        return 1 + len(self.peers) - self.controllers_in(zone)

    def controllers_in(self, zone: str) -> int:
        """Return how many controllers are in a zone."""
        return sum(other == zone for other in (self.zone, *(peer.zone for peer in self.peers)))


_REQUIRED = object()


class _TableReader:
    """Reads and validates the values of one TOML table."""

    def __init__(self, path: str, table: Any, where: str) -> None:
        self.path, self.where = path, where
        if not isinstance(table, dict):
            raise SettingsError(f"{path}: {where or 'file'}: must be a table")
        self.table = table

    def error(self, key: str, reason: str) -> SettingsError:
        name = f"{self.where}.{key}" if self.where else key
        return SettingsError(f"{self.path}: {name}: {reason}")

    def value(self, key: str, default: Any = _REQUIRED) -> Any:
        if key in self.table:
            return self.table[key]
        if default is _REQUIRED:
            raise self.error(key, "is missing")
        return default

    def text(self, key: str, default: Any = _REQUIRED) -> str:
        value = self.value(key, default)
        if not isinstance(value, str) or not value:
            raise self.error(key, "must be a text that is not empty")
        return value

    def number(self, key: str, default: Any = _REQUIRED, positive: bool = False) -> float:
        value = self.value(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise self.error(key, "must be a number")
        if value < 0 or (positive and value == 0):
            raise self.error(key, "must be above 0" if positive else "must not be negative")
        return float(value)

    def count(self, key: str, default: Any = _REQUIRED) -> int:
        value = self.value(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            raise self.error(key, "must be a whole number above 0")
        return value

    def address(self, key: str) -> str:
        text = self.text(key)
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise self.error(key, "must be HOST:PORT")
        return text

    def table_at(self, key: str) -> "_TableReader":
        return _TableReader(self.path, self.value(key), f"{self.where}.{key}" if self.where else key)

    def tables_at(self, key: str) -> list["_TableReader"]:
        value = self.value(key, [])
        if not isinstance(value, list):
            raise self.error(key, "must be a list of tables")
        name = f"{self.where}.{key}" if self.where else key
        return [_TableReader(self.path, entry, f"{name}[{number}]") for number, entry in enumerate(value)]


def load_platform(path: str) -> Platform:
    """Return the validated settings of a file; raise `SettingsError`, whose text is one line, if it is invalid."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML: {error}") from None
    return parse_platform(path, raw)


def parse_platform(path: str, raw: Any) -> Platform:
    """Return the validated settings of data read from `path`."""
    top = _TableReader(path, raw, "")
    external = top.table_at("external")
    deployment = top.table_at("deployment")
    workers = deployment.table_at("workers")
    state = deployment.table_at("state")
    # Lower limits that take effect at a time which is not announced.
    next_limits = state.table_at("next") if state.value("next", None) is not None else state
    value_kb, txn_ops = state.number("value_kb", positive=True), state.count("txn_ops")
    rps, write_rps = state.number("rps", positive=True), state.number("write_rps", positive=True)
    cloud = deployment.table_at("cloud")
    resources = deployment.table_at("resources")
    zones = deployment.value("zones")
    if not isinstance(zones, list) or not zones or not all(isinstance(zone, str) for zone in zones):
        raise deployment.error("zones", "must be a list of names")
    teams = {}
    for table in deployment.tables_at("teams"):
        team = Team(
            table.text("name"),
            table.number("cpus", 0.0),
            table.number("cpus_max", 0.0),
            table.number("gpus", 0.0),
            table.number("gpus_max", 0.0),
        )
        if team.name in teams:
            raise table.error("name", "appears twice")
        teams[team.name] = team
    objectives = []
    for table in deployment.tables_at("objectives"):
        job_class = table.value("class", None)
        if job_class is not None:
            job_class = table.text("class")
        objectives.append(
            Objective(table.text("kind"), job_class, table.number("within_s", 0.0), table.number("share", 0.0))
        )
    peers = tuple(
        Peer(table.text("label"), table.text("domain", "unknown"), table.address("address"))
        for table in top.tables_at("known")
    )
    label = top.text("label")
    names = [label, *(peer.label for peer in peers)]
    if len(set(names)) != len(names):
        raise top.error("known", "a label appears twice")
    fd_limit = resources.count("fd_limit", 1024)
    if fd_limit < MIN_DESCRIPTORS:
        raise resources.error("fd_limit", f"must be at least {MIN_DESCRIPTORS}")
    return Platform(
        label=label,
        zone=top.text("domain"),
        bind=top.address("bind"),
        back=top.address("back"),
        peers=peers,
        cloud=external.address("cloud"),
        state=external.address("state"),
        zones=tuple(zones),
        clock_off_s=deployment.number("clock_off_ms", 0.0) / 1000,
        teams=teams,
        objectives=tuple(objectives),
        report_s=workers.number("report_s", positive=True),
        lease_s=workers.number("lease_s", positive=True),
        gang_wait_s=workers.number("gang_wait_s", positive=True),
        gang_peer_s=workers.number("gang_peer_s", positive=True),
        cancel_s=workers.number("cancel_s", positive=True),
        state_rps=min(rps, next_limits.number("rps", rps, positive=True)),
        write_rps=min(write_rps, next_limits.number("write_rps", write_rps, positive=True)),
        value_bytes=int(min(value_kb, next_limits.number("value_kb", value_kb, positive=True)) * 1024),
        txn_ops=min(txn_ops, next_limits.count("txn_ops", txn_ops)),
        version_1_value_bytes=int(value_kb * 1024),
        version_1_txn_ops=txn_ops,
        cloud_rps=cloud.number("rps", positive=True),
        list_lag_s=cloud.number("list_lag_s"),
        core_share=resources.number("core_share", 1.0, positive=True),
        memory_mb=resources.number("memory_mb", 256.0, positive=True),
        fd_limit=fd_limit,
    )
