"""Job ids: their form, and the packing of several of them into a short text."""

import re

ID_PATTERN = re.compile(r"req-[0-9]{1,18}\Z", re.ASCII)


def is_job_id(text: object) -> bool:
    """Tell whether `text` has the form every job id has."""
    return isinstance(text, str) and ID_PATTERN.match(text) is not None


def encode_job_ids(job_ids: tuple[str, ...]) -> str:
    """Return job ids as a short text; their order is lost."""
    by_length: dict[int, list[int]] = {}
    for job_id in job_ids:
        digits = job_id.partition("-")[2]
        by_length.setdefault(len(digits), []).append(int(digits))
    parts = []
    for length, numbers in sorted(by_length.items()):
        numbers.sort()
        steps = [number - before for before, number in zip([0, *numbers], numbers, strict=False)]
        parts.append(f"{length}:" + ",".join(f"{step:x}" for step in steps))
    return ";".join(parts)


def decode_job_ids(text: str) -> tuple[str, ...]:
    """Return the job ids that `pack_ids` wrote."""
    out: list[str] = []
    for part in text.split(";") if text else ():
        length, _, steps = part.partition(":")
        number = 0
        for step in steps.split(","):
            number += int(step, 16)
            out.append(f"req-{number:0{int(length)}d}")
    return tuple(out)
