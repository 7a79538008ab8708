"""Decoding and encoding: submissions are validated field by field, worker and peer messages keep their format."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftcleat import wire
from driftcleat.wire import peers
from driftcleat.wire.job_ids import is_job_id
from driftcleat.wire.job_spec_parsing import InvalidFieldError, parse_job_id, parse_object, parse_submission
from driftcleat.wire.workers import Command, Heartbeat, format_task_name, parse_task_name

from .samples import raw_job


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("nameId", "job-1"),
        ("nameId", 7),
        ("nameId", "req-"),
        ("nameId", "req-1\n"),
        ("rig", "swarm"),
        ("rank", "urgent"),
        ("hands", 0),
        ("hands", 100_001),
        ("hands", 2.5),
        ("hands", True),
        ("cores", -1.0),
        ("cores", "4"),
        ("accelerators", None),
        ("memGb", float("nan")),
        ("together", 1),
        ("builds", []),
        ("builds", ["g", 3]),
        ("harbor", ""),
        ("hull", ""),
        ("voyageS", -0.5),
        ("tideS", "soon"),
        ("crew", "x" * 300),
    ],
)
def test_error_names_the_invalid_field(field: str, value: Any) -> None:
    with pytest.raises(InvalidFieldError) as caught:
        parse_submission(raw_job(**{field: value}))
    assert caught.value.field == field


def test_error_names_the_missing_field_and_unknown_fields_are_ignored() -> None:
    for field in ("nameId", "cargo", "hands", "stowS"):
        raw = raw_job()
        del raw[field]
        with pytest.raises(InvalidFieldError) as caught:
            parse_submission(raw)
        assert caught.value.field == field
    assert parse_submission(raw_job(colour="red")) == parse_submission(raw_job())
    raw = raw_job()
    for field in ("builds", "harbor", "tideS"):
        del raw[field]
    assert parse_submission(raw).deadline_s is None


@settings(derandomize=True, max_examples=200)
@given(
    st.binary(max_size=80)
    | st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
        max_leaves=6,
    ).map(msgspec.json.encode)
)
def test_any_body_is_parsed_or_rejected_with_a_field_name(body: bytes) -> None:
    wrong_field = None
    try:
        raw = parse_object(body)
        parse_job_id(raw)
    except InvalidFieldError as error:
        wrong_field = error.field
    else:
        assert is_job_id(raw["nameId"])
    assert wrong_field in (None, "body", "nameId")


def test_deep_nesting_is_rejected_without_a_crash() -> None:
    with pytest.raises(InvalidFieldError):
        parse_object(b'{"a":' + b"[" * 30_000 + b"]" * 30_000 + b"}")


def test_wire_names_of_heartbeats_and_commands() -> None:
    heartbeat = wire.decode(
        b'{"bollard":"vm-1","addr":"h:1","build":"g","harbor":"a","driftwood":true,"watch":1,"knot":8,"helm":4,'
        b'"hands":[{"hand":"req-1/3","launch":2,"bearing":"exited","wreck":"done"}],"new":1}',
        Heartbeat,
    )
    assert (heartbeat.machine, heartbeat.worker_epoch, heartbeat.sequence, heartbeat.fencing_token) == (
        "vm-1",
        1,
        8,
        4,
    )
    assert heartbeat.tasks[0].exit_reason == "done" and heartbeat.termination_notice_s is None
    assert (
        wire.encode(Command("kill", "req-1/3", 2, 0.0))
        == b'{"signal":"kill","hand":"req-1/3","launch":2,"slackS":0.0}'
    )
    assert wire.encode(Command("start", "req-1/3", 2)) == b'{"signal":"start","hand":"req-1/3","launch":2}'
    assert parse_task_name(format_task_name("req-7", 12)) == ("req-7", 12)
    for name in ("req-7", "req-7/", "req-7/-1", "req-7/x", "/1234567"):
        assert parse_task_name(name) is None


def test_peer_messages_are_tagged_arrays() -> None:
    text = wire.encode(peers.ForwardRequest("GET", "/v1/jobs/req-1", ""))
    assert text == b'["forward","GET","/v1/jobs/req-1",""]'
    assert wire.decode(text, peers.PeerMessage) == peers.ForwardRequest("GET", "/v1/jobs/req-1", "")  # type: ignore[arg-type]
    with pytest.raises(wire.WireError):
        wire.decode(b'["shutdown"]', peers.PeerMessage)  # type: ignore[arg-type]
