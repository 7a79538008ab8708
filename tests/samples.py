"""Sample jobs, machine types and settings for tests."""

import asyncio
from typing import Any

from driftcleat.cluster import Job
from driftcleat.settings.platform import Platform, parse_platform
from driftcleat.store.decoding import decode_jobs
from driftcleat.wire import state
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.job_spec_parsing import parse_submission
from driftcleat.wire.users import JobSpec


def raw_job(number: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the JSON of a submission as a user sends it, with `changes` applied."""
    raw: dict[str, Any] = {
        "nameId": f"req-{number:06d}",
        "cargo": "train",
        "crew": "red",
        "rig": "array",
        "rank": "standard",
        "hands": 2,
        "cores": 4.0,
        "accelerators": 1.0,
        "memGb": 8.0,
        "hull": "img-1",
        "imageGb": 2.0,
        "builds": None,
        "harbor": None,
        "together": False,
        "spread": False,
        "driftwood": False,
        "voyageS": 30.0,
        "mooringS": 10.0,
        "stowS": 2.0,
        "tideS": None,
    }
    raw.update(changes)
    return raw


def job(number: int = 1, **changes: Any) -> JobSpec:
    """Return a parsed submission, with `changes` applied to its JSON."""
    return parse_submission(raw_job(number, **changes))


BIG = MachineType("big", 16.0, 4.0, 64.0, 100.0, 1.0, 10.0, 3.0, 30.0, ("north", "south"))
SMALL = MachineType("small", 8.0, 2.0, 32.0, 100.0, 1.0, 4.0, 1.5, 30.0, ("north", "south"))
MACHINE_TYPES = {kind.name: kind for kind in (BIG, SMALL)}


def raw_settings() -> dict[str, Any]:
    """Return the raw platform settings of controller `a`."""
    return {
        "label": "a",
        "domain": "north",
        "bind": "127.0.0.1:18080",
        "back": "127.0.0.1:18081",
        "known": [{"label": "b", "domain": "south", "address": "127.0.0.1:18083"}],
        "external": {"cloud": "127.0.0.1:18443", "state": "127.0.0.1:12379"},
        "deployment": {
            "count": 2,
            "zones": ["north", "south"],
            "clock_off_ms": 50.0,
            "teams": [
                {"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 8.0},
                {"name": "blue", "cpus": 0.0, "cpus_max": 0.0, "gpus": 2.0, "gpus_max": 6.0},
            ],
            "objectives": [{"kind": "wait", "class": "train", "within_s": 30.0, "share": 0.9}],
            "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 20.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
            "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 2.0, "list_lag_s": 5.0},
            "resources": {"core_share": 0.3, "memory_mb": 128.0, "fd_limit": 500},
        },
    }


def platform(**limits: Any) -> Platform:
    """Return parsed platform settings; `limits` replace those of the state service."""
    raw = raw_settings()
    raw["deployment"]["state"].update(limits)
    return parse_platform("test.toml", raw)


def decode_job_records(heads: list[state.KeyValue], chunks: list[state.KeyValue]) -> tuple[dict[str, Job], list[str]]:
    """Return the jobs that a new leader decodes from head and chunk records, and the keys of orphaned chunks."""
    return asyncio.run(decode_jobs(heads, chunks))
