"""The leader key."""

import msgspec


class LeaderRecord(msgspec.Struct, array_like=True):
    """The leader key's value: who holds it, and which of its lives."""

    controller_id: str
    incarnation: str
