"""Prints the records and messages that this checkout writes, for the files in `tests/recorded`.

Run `python -m tools.record > VERSION.json` in a checkout of the version to record; each version has its own copy of
this tool. `production.json` holds the output of the version that `deploy/service.toml` names as `production`. Since
0.4.0 the output contains records of data version 2 as well.
"""

import json
import random
import sys
from typing import Any

from driftcleat import wire
from driftcleat.cluster import Batch, Job, TaskPlacement, TaskState
from driftcleat.store import records
from driftcleat.store.encoding import encode_batch
from driftcleat.store.layout import RecordLayout
from driftcleat.wire import peers
from driftcleat.wire.job_spec_parsing import parse_submission


def sample_jobs() -> list[Job]:
    """Return jobs of all kinds and several sizes, with some tasks placed, stopped or done."""
    rng = random.Random(1)
    jobs = []
    for number, (kind, tasks) in enumerate(
        [("array", 1), ("array", 60), ("array", 240), ("group", 3), ("group", 130), ("daemon", 12)], 1
    ):
        raw = {
            "nameId": f"req-{number:06d}",
            "cargo": "train",
            "crew": "red",
            "rig": kind,
            "rank": "high",
            "hands": tasks,
            "cores": 1.0,
            "accelerators": 0.0,
            "memGb": 4.0,
            "hull": "img-1",
            "imageGb": 2.0,
            "builds": ["big"],
            "harbor": None,
            "together": False,
            "spread": False,
            "driftwood": True,
            "voyageS": 30.0,
            "mooringS": 10.0,
            "stowS": 2.0,
            "tideS": 100.0,
        }
        job = Job(parse_submission(raw), 1000.0 + number)
        job.last_attempt = 7
        for index in range(tasks):
            roll = rng.random()
            if roll < 0.6:
                job.placements[index] = TaskPlacement(
                    f"vm-{rng.randrange(40):06d}", "north", rng.randrange(1, 8), 2.0 if roll < 0.1 else None
                )
                job.task_states[index] = TaskState.PLACED
            elif roll < 0.8 and kind == "array":
                job.task_states[index] = TaskState.DONE
                job.tasks_done += 1
        jobs.append(job)
    return jobs


def encode_records(jobs: list[Job], layout: RecordLayout) -> dict[str, Any]:
    """Return the records of these jobs by key."""
    records_by_key: dict[str, Any] = {}
    for job in jobs:
        batch = Batch({}, layout, 1000, 1 << 30)
        batch.create_job(job)
        batch.changed_chunks[job.id] = {layout.chunk_of(job, index) for index in range(job.spec.tasks)} - {0}
        written = encode_batch(batch, layout, 5, 1, 0)
        for change in json.loads(written.body)["then"]:
            records_by_key[change["put"]] = change["v"]
    return records_by_key


def version_2_records() -> dict[str, Any]:
    """Return the records in data version 2 of the sample jobs, and of a job that depends on two of them."""
    layout = RecordLayout(2048, 4, 8192, 24, ("north", "south"))
    layout.version_2_active = True
    jobs = sample_jobs()
    raw = wire.decode(wire.encode(jobs[0].spec), dict)
    jobs.append(Job(parse_submission(raw | {"nameId": "req-000007", "tows": ["req-000001", "req-000003"]}), 1007.0))
    for job in jobs:
        layout.assign_tasks_per_record(job)
    # Here, one transaction holds all records of a job.
    layout.txn_ops = 1000
    return encode_records(jobs, layout)


def sample_messages() -> list[Any]:
    """Return messages of each kind as JSON, as they are sent."""
    version = records.DATA_VERSION
    messages: list[peers.PeerMessage] = [
        peers.ViewRequest("a", version),
        peers.Ping("a", version),
        peers.ViewResponse("a", "leading", "a", 5, 0.1, -1.0, True, peers.LeaderStatus(0.0, ["req-000001"]), version),
        peers.Pong("a", True, "a", 5, peers.LeaderStatus(0.5, None), version),
        peers.Pong("b", False, None, 0, data_version=version),
        peers.ForwardRequest("GET", "/v1/jobs/req-000001", ""),
        peers.ForwardResponse(200, "{}", None),
    ]
    return [json.loads(wire.encode(message)) for message in messages]


def main() -> None:
    """Print the recording as JSON."""
    recording: dict[str, Any] = {
        "value_bytes": 8192,
        "txn_ops": 24,
        "records": encode_records(sample_jobs(), RecordLayout(8192, 1000)),
        "messages": sample_messages(),
        "second_version": version_2_records(),
    }
    json.dump(recording, sys.stdout, indent=0)


if __name__ == "__main__":
    main()
