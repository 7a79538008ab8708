"""What a controller knows about the leadership, and what it may do by that in each role.

| role               | decide, commit       | answer heartbeats | send starts          | keep worker leases only   |
| ------------------ | -------------------- | ----------------- | -------------------- | ------------------------- |
| follower           | no                   | no                | no                   | no                        |
| partitioned        | no                   | no                | no                   | with the last known token |
| campaigning        | no                   | no                | no                   | no                        |
| recovering         | no                   | yes, bounded      | while certain        | -                         |
| leader             | while lease is valid | yes, bounded      | while certain        | -                         |
| unconfirmed leader | no                   | yes, bounded      | while certain        | -                         |

- bounded: until `max_unconfirmed_s` after `last_confirmed_at`; keeping worker leases has the same bound, counted from
  the last contact with a leader.
- while certain: while the lease is valid, or every other controller has confirmed a moment ago that nobody leads
  after us.
"""

import logging
from collections.abc import Callable

from driftcleat.leadership.lease import LeaseClock
from driftcleat.leadership.peer_survey import PeerSurvey
from driftcleat.leadership.role import Role, RoleStateMachine
from driftcleat.settings import Platform, Tuning

log = logging.getLogger(__name__)

# How long a confirmation by all other controllers permits to send starts, as a part of the leader lease.
PEER_CONFIRMATION_VALIDITY = 0.4

_NEVER = float("-inf")


class LeadershipState(RoleStateMachine):
    """The role, the known leader and the moments from which every permission is derived.

    Moments are seconds of `clock`, a steady clock of this process; minus infinity means never.
    """

    def __init__(self, platform: Platform, tuning: Tuning, clock: Callable[[], float]) -> None:
        super().__init__()
        self.label = platform.label
        self.clock = clock
        # The leader lease: its full time to live, and what is left of ours.
        self.ttl_s = platform.lease_s * tuning.leader_ttl_leases
        self.lease = LeaseClock(self.ttl_s, tuning.clock_drift_share)
        # Our own latest term; 0 before the first.
        self.fencing_token = 0
        # The controller that leads as far as known.
        self.leader: str | None = None
        # Whether a leader key was read in this incarnation: before, an earlier incarnation of ours may have led
        # without our knowledge.
        self.has_read_leader_key = False
        # No campaign before this moment.
        self.back_off_until = _NEVER
        # While unconfirmed: when every other controller last confirmed that nobody leads after us.
        self.peers_confirmed_at = _NEVER
        # As of when a leader that we have heard from was confirmed, and the cancelled jobs whose tasks it had yet to
        # see terminated. Before the first contact no lease is kept: a leader may have confirmed cancellations that we
        # never heard of.
        self.leader_contact_at = _NEVER
        self.cancelled_jobs: frozenset[str] = frozenset()
        # Whether somebody else leads in a term that we do not know, or may do so: no lease is ours to keep.
        self.superseded = False
        # Worker leases kept by a controller that cannot hear of cancellations must end within the time that a
        # cancellation has.
        self.max_unconfirmed_s = max(
            0.0,
            min(
                platform.lease_s * tuning.max_unconfirmed_leases,
                platform.cancel_s - platform.lease_s - platform.report_s,
            ),
        )

    # -- permissions --------------------------------------------------------------------------------------

    @property
    def may_decide(self) -> bool:
        """Whether decisions may be made and committed, and current answers given to users."""
        return self.role is Role.LEADER and self.lease.is_valid(self.clock())

    @property
    def may_answer_heartbeats(self) -> bool:
        """Whether heartbeats are answered with our own fencing token.

        Guards against a process that was suspended, or a recovery that hangs: whatever the loops do, no worker lease
        is kept for longer than a cancellation confirmed by a leader after us allows.
        """
        return self.is_leader and self.clock() - self.last_confirmed_at <= self.max_unconfirmed_s

    @property
    def may_send_starts(self) -> bool:
        """Whether committed starts may be sent: it is certain that nobody led after us up to a moment ago.

        Guards against a task that a leader without the store starts after the next leader has confirmed its
        cancellation.
        """
        now = self.clock()
        return self.is_leader and (
            self.lease.is_valid(now) or now - self.peers_confirmed_at <= self.ttl_s * PEER_CONFIRMATION_VALIDITY
        )

    @property
    def last_confirmed_at(self) -> float:
        """The last moment at which it was certain that no controller had confirmed what we cannot know.

        Of a leader: that nobody led after it. Of any other controller: that the leader which it last heard from was
        itself confirmed. Worker leases kept beyond this moment are bounded by `max_unconfirmed_s`, and the next
        controller to keep them counts from the same moment, so that the bounds of two controllers in turn do not add
        up.
        """
        if self.is_leader:
            return max(self.lease.held_until(self.clock()), self.peers_confirmed_at)
        return self.leader_contact_at

    @property
    def lease_keeping_token(self) -> int | None:
        """The token with which a partitioned follower keeps workers' leases; None if it must not.

        Guards against all work of a zone ending with its leases although a controller in it could be asked, seen on
        the bench: half of a service's replicas came back a minute after the partition had ended.
        """
        if self.role is not Role.PARTITIONED or self.clock() - self.leader_contact_at > self.max_unconfirmed_s:
            return None
        return self.leader_fencing_token

    @property
    def may_become_partitioned(self) -> bool:
        """Whether this follower may keep workers' leases once neither the store nor a controller answers."""
        return (
            self.role is Role.FOLLOWER
            and self.leader_fencing_token > 0
            and not self.superseded
            and self.clock() - self.leader_contact_at < self.max_unconfirmed_s
        )

    def may_extend_worker_lease(self, jobs: set[str]) -> bool:
        """Whether a partitioned follower may keep the lease of a worker with tasks of these jobs.

        Guards against a machine that did not receive the stop of a cancelled task in time, and whose lease would be
        extended once more: the bound counts from our last contact, the cancellation may be older.
        """
        return jobs.isdisjoint(self.cancelled_jobs)

    # -- what is learnt -----------------------------------------------------------------------------------

    def record_leader_contact(self, survey: PeerSurvey) -> None:
        """Note what a leader said of itself, unless a later contact is known.

        The contact with a leader that is itself unconfirmed counts from when it was last confirmed. Guards against
        two bounds that add up: a leader partitioned together with us keeps the leases to its end, and we once more
        after it.
        """
        if survey.leader_confirmed_at > self.leader_contact_at:
            self.leader_contact_at = survey.leader_confirmed_at
            self.cancelled_jobs = survey.cancelled_jobs
            self.superseded = False

    def observe_leader(self, label: str | None, token: int) -> None:
        """A peer says who leads; what the store says, and a higher token, have precedence."""
        if (
            self.role in (Role.FOLLOWER, Role.PARTITIONED)
            and label not in (None, self.label)
            and token > self.leader_fencing_token
        ):
            log.info("term %d: leader is controller %s, as a peer reports", token, label)
            self.leader = label
            self.leader_fencing_token = token

    def observe_higher_token(self, token: int) -> None:
        """A worker has seen this token: if it is above the known one, another controller leads."""
        if token > self.leader_fencing_token:
            self.superseded = True
            if self.role is Role.PARTITIONED:
                self.transition(Role.FOLLOWER)
