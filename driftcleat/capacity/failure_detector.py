"""Failure detection: machines that fall silent alone or with others, and how long that is tolerated. Pure."""

from dataclasses import dataclass

# So few silent machines, or machines of a zone, tell nothing of the others.
FEW = 3
# From this part of a zone's machines on, the whole zone counts as silent.
MOST = 0.8


@dataclass(slots=True)
class ZoneCount:
    """The machines of a zone that are counted, and how many of them are silent."""

    silent: int = 0
    known: int = 0


class FailureDetector:
    """How many machines are silent, by zone, and how long that is tolerated.

    A machine that is silent alone is given up after `alone_s`: it is most likely gone. Many that fall silent together
    (more than the part `many` of all) were partitioned or hang, and come back with all that they have cached, often
    before new ones have booted and fetched as much: they are given up after `correlated_s`. Those that did die are
    listed as failed, and given up then. Guards against returning fifty machines three seconds before they went on,
    seen on the bench.
    """

    def __init__(self, alone_s: float, correlated_s: float, many: float) -> None:
        self.alone_s = alone_s
        self.correlated_s = max(alone_s, correlated_s)
        self.many = many
        self.zones: dict[str, ZoneCount] = {}
        self.silent = 0
        self.known = 0
        # The zones that were partitioned until a moment ago; None: many machines were silent anywhere.
        self._remembered: set[str | None] = set()

    def count(self, zone: str, silent_s: float) -> None:
        """Count a machine."""
        self.count_all(zone, int(silent_s > self.counted_s), 1)

    @property
    def counted_s(self) -> float:
        """Return the silence in seconds from which on a machine counts as silent.

        It is less than what a machine is given up for: those that fell silent a little later than the first belong to
        them.
        """
        return self.alone_s / 2

    def count_all(self, zone: str, silent: int, known: int) -> None:
        """Count machines of a zone, and how many of them are silent."""
        count = self.zones.setdefault(zone, ZoneCount())
        count.silent += silent
        count.known += known
        self.silent += silent
        self.known += known

    def remember(self, until: dict[str | None, float], now: float) -> None:
        """Let what holds now hold for `alone_s` longer: machines that come back do not all come at once.

        `until` is kept by the caller from one detector to the next. Guards against returning the rest of a zone, its
        work still running, when the first of its machines was heard again, as seen on the bench: a worker tries one
        controller after the other.
        """
        for zone in self.zones:
            if self.partitioned_now(zone):
                until[zone] = now + self.alone_s
        if self._are_many_silent():
            until[None] = now + self.alone_s
        self._remembered = {zone for zone, end in until.items() if end > now}

    def _are_many_silent(self) -> bool:
        return self.silent > max(FEW, self.known * self.many)

    def _is_zone_silent(self, zone: str) -> bool:
        count = self.zones.get(zone)
        return count is not None and count.known >= FEW and count.silent >= count.known * MOST

    def partitioned_now(self, zone: str) -> bool:
        """Tell whether nearly all of a zone is silent while others are heard."""
        return self._is_zone_silent(zone) and self.silent < self.known * MOST

    def partitioned(self, zone: str) -> bool:
        """Tell whether a zone is partitioned, or was until a moment ago."""
        return self.partitioned_now(zone) or zone in self._remembered

    def correlated(self, zone: str) -> bool:
        """Tell whether a machine that is silent in this zone most likely fell silent with others."""
        return self._is_zone_silent(zone) or self._are_many_silent() or not self._remembered.isdisjoint((zone, None))

    def tolerated_s(self, zone: str) -> float:
        """Return how long silence is tolerated in a zone, in seconds."""
        return self.correlated_s if self.correlated(zone) else self.alone_s
