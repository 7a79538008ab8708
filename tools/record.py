"""Writes `tests/recorded/production.json`: records and messages as the checkout that runs this writes them.

Run it in a checkout of the version that `deploy/service.toml` names as `production`:
`python -m tools.record > production.json` (copied there, if that version lacks it).
"""

import json
import random
import sys
from typing import Any

from driftcleat import wire
from driftcleat.model import Batch, Job, Place, TaskState
from driftcleat.store import records
from driftcleat.wire import peers
from driftcleat.wire.users import parse_submission


def jobs() -> list[Job]:
    """Return jobs of all kinds and sizes, some tasks placed, stopped or done."""
    rng = random.Random(1)
    out = []
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
        job.launch = 7
        for index in range(tasks):
            roll = rng.random()
            if roll < 0.6:
                job.places[index] = Place(
                    f"vm-{rng.randrange(40):06d}", "north", rng.randrange(1, 8), 2.0 if roll < 0.1 else None
                )
                job.status[index] = TaskState.PLACED
            elif roll < 0.8 and kind == "array":
                job.status[index] = TaskState.DONE
                job.done += 1
        out.append(job)
    return out


def main() -> None:
    """Print everything."""
    layout = records.Layout(8192, 24)
    rows: dict[str, Any] = {}
    for job in jobs():
        batch = Batch({}, layout.chunk_of, 1000, 1 << 30)
        batch.create(job)
        batch.chunks[job.id] = {layout.chunk_of(job, index) for index in range(job.spec.tasks)} - {0}
        encoded = records.encode_batch(batch, records.Layout(8192, 1000), 5, 1, 0)
        for change in json.loads(encoded.body)["then"]:
            rows[change["put"]] = change["v"]
    messages = [
        peers.Ask("a"),
        peers.Ping("a"),
        peers.View("a", "leading", "a", 5, 0.1, -1.0, True, peers.LeaderStatus(0.0, ["req-000001"])),
        peers.Pong("a", True, "a", 5, peers.LeaderStatus(0.5, None)),
        peers.Pong("b", False, None, 0),
        peers.Forward("GET", "/v1/jobs/req-000001", ""),
        peers.Forwarded(200, "{}", None),
    ]
    json.dump(
        {
            "value_bytes": 8192,
            "txn_ops": 24,
            "records": rows,
            "messages": [json.loads(wire.encode(message)) for message in messages],
        },
        sys.stdout,
        indent=0,
    )


if __name__ == "__main__":
    main()
