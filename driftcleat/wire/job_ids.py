"""Job ids: their form, and a compact encoding of lists of them."""

import re
from typing import TypeGuard

_PREFIX = "req-"
_PATTERN = re.compile(_PREFIX + r"[0-9]{1,18}\Z", re.ASCII)


def is_job_id(text: object) -> TypeGuard[str]:
    """Return whether `text` has the form of a job id, such as `req-000412`."""
    return isinstance(text, str) and _PATTERN.match(text) is not None


def encode_job_ids(job_ids: tuple[str, ...]) -> str:
    """Return job ids as a compact text, which does not keep their order.

    Ids are grouped by their number of digits. A group is `DIGITS:STEP,STEP,...`, the steps between its sorted numbers
    in hexadecimal; groups are separated by semicolons.
    """
    numbers_by_digits: dict[int, list[int]] = {}
    for job_id in job_ids:
        digits = job_id.partition("-")[2]
        numbers_by_digits.setdefault(len(digits), []).append(int(digits))
    groups = []
    for digit_count, numbers in sorted(numbers_by_digits.items()):
        numbers.sort()
        steps = [number - previous for previous, number in zip([0, *numbers], numbers, strict=False)]
        groups.append(f"{digit_count}:" + ",".join(f"{step:x}" for step in steps))
    return ";".join(groups)


def decode_job_ids(text: str) -> tuple[str, ...]:
    """Return the job ids of a text by `encode_job_ids`, ordered by number of digits, then by number."""
    job_ids: list[str] = []
    for group in text.split(";") if text else ():
        digit_count, _, steps = group.partition(":")
        number = 0
        for step in steps.split(","):
            number += int(step, 16)
            job_ids.append(f"{_PREFIX}{number:0{int(digit_count)}d}")
    return tuple(job_ids)
