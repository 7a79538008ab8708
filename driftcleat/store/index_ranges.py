"""Ranges of task indices as compact text."""


def format_ranges(indices: list[int]) -> str:
    """Return sorted indices as text: 0-3,7."""
    parts: list[str] = []
    start = last = -2
    for index in indices:
        if index == last + 1:
            last = index
            continue
        if start >= 0:
            parts.append(str(start) if start == last else f"{start}-{last}")
        start = last = index
    if start >= 0:
        parts.append(str(start) if start == last else f"{start}-{last}")
    return ",".join(parts)


def parse_ranges(text: str) -> list[int]:
    """Return the indices that `ranges` wrote."""
    out: list[int] = []
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        out.extend(range(int(first), int(last or first) + 1))
    return out
