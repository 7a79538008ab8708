"""Ranges of task indices as compact text, such as `0-3,7`."""

# Two below the first index, so that index 0 does not continue a range.
_NO_INDEX = -2


def format_ranges(indices: list[int]) -> str:
    """Return the text of sorted, distinct indices; an empty text if there are none."""
    parts: list[str] = []
    start = last = _NO_INDEX
    for index in indices:
        if index == last + 1:
            last = index
            continue
        if start >= 0:
            parts.append(_format_range(start, last))
        start = last = index
    if start >= 0:
        parts.append(_format_range(start, last))
    return ",".join(parts)


def _format_range(first: int, last: int) -> str:
    return str(first) if first == last else f"{first}-{last}"


def parse_ranges(text: str) -> list[int]:
    """Return the sorted indices in a text written by `format_ranges`."""
    indices: list[int] = []
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        indices.extend(range(int(first), int(last or first) + 1))
    return indices
