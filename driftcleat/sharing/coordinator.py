"""What the coordinator decides: the next assignment and the next allotments. Pure; the host commits them."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from driftcleat.settings import Team
from driftcleat.sharing.assignment import (
    Assignment,
    AssignmentError,
    begin_move,
    drop_move,
    grow,
    initial_assignment,
    reassign,
)
from driftcleat.sharing.messages import ShareStatus, Target
from driftcleat.sharing.planner import ShareLoad, propose
from driftcleat.sharing.quota import (
    PATIENCE,
    Allotment,
    Amount,
    Demand,
    first_allotment,
    is_divided,
    limit_of,
    raised,
    targets,
)
from driftcleat.sharing.settings import SharingSettings


@dataclass(slots=True)
class Known:
    """What a controller said last, and when."""

    heard_at: float
    shares: dict[int, ShareStatus] = field(default_factory=dict)


class Coordinator:
    """Remembers what controllers say, and decides from it. Nothing in it must outlive the coordinator."""

    def __init__(self, settings: SharingSettings, labels: Sequence[str], report_s: float) -> None:
        self._settings, self._labels = settings, sorted(labels)
        self._report_s, self._silence_s = report_s, settings.silence * report_s
        self._known: dict[str, Known] = {}
        self._begun_at = 0.0
        self._move_seen_at: dict[int, float] = {}
        self._balanced_at = 0.0
        # Why the last moves were refused or given up, by share.
        self.refusals: dict[int, str] = {}
        self._targets: list[Target] = []

    def begin(self, now: float) -> None:
        """This controller has become the coordinator: nothing is known of the others yet."""
        self._known.clear()
        self._move_seen_at.clear()
        self._targets = []
        self._begun_at = self._balanced_at = now

    def note(self, sender: str, shares: Sequence[ShareStatus], now: float) -> list[Target]:
        """A controller says how its shares stand; return what their parts are to be lowered to."""
        if sender not in self._labels:
            return []
        self._known[sender] = Known(now, {status.share: status for status in shares})
        led = {status.share for status in shares}
        return [target for target in self._targets if target.share in led]

    def alive(self, now: float) -> list[str]:
        """Return the controllers that were heard lately."""
        return [
            label
            for label in self._labels
            if label in self._known and now - self._known[label].heard_at <= self._silence_s
        ]

    # -- the assignment -----------------------------------------------------------------------------------

    def may_begin(self, now: float) -> bool:
        """Whether every controller knows of sharing: an older one would take every job into the first share."""
        return len(self.alive(now)) == len(self._labels)

    def first_assignment(self, newest_machine: str) -> Assignment:
        """Return the assignment with which sharing begins."""
        return initial_assignment(self._settings.shares, self._labels, newest_machine)

    def next_assignment(self, assignment: Assignment, now: float) -> Assignment | None:
        """Return the assignment that is to come next, or None if the present one may stay."""
        alive = self.alive(now)
        if assignment.shares < self._settings.shares:
            return grow(assignment, self._settings.shares, self._labels)
        return (
            self._without_dead_moves(assignment, alive, now)
            or self._without_lost_owners(assignment, alive, now)
            or self._balanced(assignment, alive, now)
        )

    def _without_dead_moves(self, assignment: Assignment, alive: list[str], now: float) -> Assignment | None:
        """Give up a move whose receiver is lost, or that has taken too long."""
        moving = {move.share for move in assignment.moves}
        self._move_seen_at = {share: at for share, at in self._move_seen_at.items() if share in moving}
        for move in assignment.moves:
            seen_at = self._move_seen_at.setdefault(move.share, now)
            late = now - seen_at > self._settings.move * self._report_s
            lost = move.receiver not in alive and self._settled(now)
            if late or lost:
                self.refusals[move.share] = f"{move.receiver} {'is silent' if lost else 'did not take it in time'}"
                return drop_move(assignment, move.share)
        return None

    def _settled(self, now: float) -> bool:
        """Whether every controller that lives has had the time to be heard by this coordinator."""
        return now - self._begun_at > self._silence_s * 2

    def _without_lost_owners(self, assignment: Assignment, alive: list[str], now: float) -> Assignment | None:
        """Give the shares of a silent controller to the one that has the fewest."""
        if not self._settled(now) or not alive:
            return None
        for share in range(1, assignment.shares):
            owner = assignment.owner(share)
            if owner is not None and owner not in alive:
                heir = min(alive, key=lambda label: (len(assignment.owned_by(label)), label))
                self.refusals.pop(share, None)
                return reassign(assignment, share, heir)
        return None

    def _balanced(self, assignment: Assignment, alive: list[str], now: float) -> Assignment | None:
        """Begin a move that is worth it, while everything is in order and nothing else moves."""
        pause_s = self._settings.balance * self._report_s
        if not pause_s or assignment.moves or len(alive) < len(self._labels) or now - self._balanced_at < pause_s:
            return None
        loads = self._loads()
        if len(loads) < assignment.shares:
            # Some share has no leader.
            return None
        self._balanced_at = now
        proposal = propose(loads, self._labels, self._settings.imbalance)
        if proposal is None:
            return None
        return begin_move(assignment, proposal.share, proposal.receiver, self._labels)

    def _loads(self) -> list[ShareLoad]:
        return [
            ShareLoad(share, label, float(status.machines))
            for label, known in self._known.items()
            for share, status in known.shares.items()
        ]

    def requested(self, assignment: Assignment | None, share: int, receiver: str, now: float) -> Assignment:
        """Return the assignment with a move that an operator asks for; `AssignmentError` if it cannot be."""
        if assignment is None:
            raise AssignmentError("sharing has not begun: not every controller knows of it")
        if receiver in self._labels and receiver not in self.alive(now):
            raise AssignmentError(f"{receiver} is silent")
        self.refusals.pop(share, None)
        return begin_move(assignment, share, receiver, self._labels)

    # -- allotments ---------------------------------------------------------------------------------------

    def next_allotment(self, team: Team, allotment: Allotment | None, shares: int, now: float) -> Allotment | None:
        """Return the parts of a team's limit that are to come next, or None if the present ones may stay.

        What shares are to lower is remembered for when their owners next report.
        """
        if not is_divided(team):
            return None
        if allotment is None:
            return first_allotment(team, shares)
        demands = [self._demand(team.name, share) for share in range(shares)]
        wishes = targets(limit_of(team), demands, PATIENCE * self._report_s)
        self._targets = [target for target in self._targets if target.team != team.name]
        self._targets += [
            Target(share, team.name, wish.at_most(allotment.part(share)))
            for share, wish in enumerate(wishes)
            if not wish.covers(allotment.part(share))
        ]
        found = raised(limit_of(team), allotment, wishes)
        worth = any(not allotment.part(share).covers(part) for share, part in enumerate(found.parts))
        return found if worth else None

    def _demand(self, team: str, share: int) -> Demand:
        for known in self._known.values():
            status = known.shares.get(share)
            for demand in status.demands if status is not None else ():
                if demand.team == team:
                    return Demand(demand.used, demand.wanted, demand.first_job, demand.first_job_waited_s)
        return Demand(Amount())
