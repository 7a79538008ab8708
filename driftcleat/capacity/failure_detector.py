"""Silence of machines: alone or together with others, and how long it is borne. Pure, like sizing."""

# So few silent machines say nothing of the others; so large a part of a zone is the whole of it.
FEW = 3
MOST = 0.8


class FailureDetector:
    """How many machines are silent, by zone, and how long that is borne.

    A machine that is silent alone is given up soon: it is most likely gone. Many that fall silent together were cut
    off or hang, and come back with all that they have cached, often before new ones have booted and fetched as much;
    those that did die are listed as failed, and given up then. Guards against returning fifty machines three seconds
    before they went on, seen on the bench.
    """

    def __init__(self, alone_s: float, correlated_s: float, many: float) -> None:
        self.alone_s, self.correlated_s, self.many = alone_s, max(alone_s, correlated_s), many
        self.zones: dict[str, list[int]] = {}
        self.silent = self.known = 0
        self._lately: set[str | None] = set()

    def count(self, zone: str, silent_s: float) -> None:
        """Count a machine."""
        self.count_all(zone, int(silent_s > self.counted_s), 1)

    @property
    def counted_s(self) -> float:
        """Return how long a machine that counts has been silent: less than what it is given up for, since those that
        fell silent a little later than the first belong to them."""
        return self.alone_s / 2

    def count_all(self, zone: str, silent: int, known: int) -> None:
        """Count machines of which so many are silent."""
        row = self.zones.setdefault(zone, [0, 0])
        row[0] += silent
        row[1] += known
        self.silent += silent
        self.known += known

    def remember(self, until: dict[str | None, float], now: float) -> None:
        """Let what holds now hold for a while longer: those that come back do not all come at once.

        Guards against returning the rest of a zone, its work still running, when the first of it was heard again, as
        seen on the bench: a worker tries one controller after the other.
        """
        for zone in self.zones:
            if self.partitioned_now(zone):
                until[zone] = now + self.alone_s
        if self._many():
            until[None] = now + self.alone_s
        self._lately = {zone for zone, end in until.items() if end > now}

    def _many(self) -> bool:
        return self.silent > max(FEW, self.known * self.many)

    def partitioned_now(self, zone: str) -> bool:
        """Whether nearly all of a zone is silent while others are heard."""
        silent, known = self.zones.get(zone, (0, 0))
        return known >= FEW and silent >= known * MOST and self.silent < self.known * MOST

    def partitioned(self, zone: str) -> bool:
        """Whether a zone is partitioned, or was until a moment ago."""
        return self.partitioned_now(zone) or zone in self._lately

    def correlated(self, zone: str) -> bool:
        """Whether a machine that is silent in this zone most likely fell silent with others."""
        silent, known = self.zones.get(zone, (0, 0))
        return (known >= FEW and silent >= known * MOST) or self._many() or not self._lately.isdisjoint((zone, None))

    def tolerated_s(self, zone: str) -> float:
        """Return how long silence is borne in a zone."""
        return self.correlated_s if self.correlated(zone) else self.alone_s
