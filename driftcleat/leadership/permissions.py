"""The leadership state of a controller, and what it may do in each role.

| role               | decide, commit       | handle heartbeats | send starts          | keep worker leases only   |
| ------------------ | -------------------- | ----------------- | -------------------- | ------------------------- |
| follower           | no                   | no                | no                   | no                        |
| partitioned        | no                   | no                | no                   | with the last known token |
| campaigning        | no                   | no                | no                   | no                        |
| recovering         | no                   | yes, bounded      | while certain        | -                         |
| leader             | while lease is valid | yes, bounded      | while certain        | -                         |
| unconfirmed leader | no                   | yes, bounded      | while certain        | -                         |

- bounded: until `max_unconfirmed_s` after `last_confirmed_at`. Keeping worker leases has the same bound, counted from
  the last contact with a leader.
- while certain: while the lease is valid, or if every other controller has confirmed within the last
  `PEER_CONFIRMATION_VALIDITY_TTLS` that there is no later leader.
"""

import logging
from collections.abc import Callable, Collection

from driftcleat.leadership.lease import LeaseClock
from driftcleat.leadership.peer_survey import PeerSurvey
from driftcleat.leadership.role import Role, RoleStateMachine
from driftcleat.settings import Platform, Tuning

log = logging.getLogger(__name__)

# How long a confirmation by all other controllers permits this one to send starts, in TTLs of the leader lease.
PEER_CONFIRMATION_VALIDITY_TTLS = 0.4

_NEVER = float("-inf")


class LeadershipState(RoleStateMachine):
    """The role, the known leader and the timestamps from which all permissions are derived.

    Timestamps are seconds of `clock`, a monotonic clock of this process; minus infinity means never.
    """

    def __init__(self, platform: Platform, tuning: Tuning, clock: Callable[[], float]) -> None:
        super().__init__()
        self.label = platform.label
        self.clock = clock
        # The TTL of a leader lease, and the validity of this controller's own lease.
        self.ttl_s = platform.lease_s * tuning.leader_ttl_leases
        self.lease = LeaseClock(self.ttl_s, tuning.clock_drift_share)
        # The fencing token of this controller's latest own term; 0 before the first.
        self.fencing_token = 0
        # The label of the last known leader.
        self.leader: str | None = None
        # Whether a leader key was read in this incarnation. Until then, a previous incarnation of this controller may
        # have led in a term that this one does not know.
        self.has_read_leader_key = False
        # No campaign starts before this time.
        self.back_off_until = _NEVER
        # For an unconfirmed leader: when every other controller last confirmed that there is no later leader.
        self.peers_confirmed_at = _NEVER
        # When the leader that last responded was itself confirmed, and the cancelled jobs whose tasks it had not yet
        # seen terminated. No worker lease is kept before the first contact, since a leader may have confirmed
        # cancellations that this controller does not know.
        self.leader_contact_at = _NEVER
        self.cancelled_jobs: frozenset[str] = frozenset()
        # Whether another controller leads, or may lead, in a term that is not known here. If so, this controller must
        # not keep worker leases as a partitioned follower.
        self.superseded = False
        # A controller that cannot learn of cancellations must let worker leases expire within the deadline for
        # cancelling a job: `cancel_s`.
        self.max_unconfirmed_s = max(
            0.0,
            min(
                platform.lease_s * tuning.max_unconfirmed_leases,
                platform.cancel_s - platform.lease_s - platform.report_s,
            ),
        )

    @property
    def may_decide(self) -> bool:
        """Whether this controller may make and commit decisions, and give current responses to users."""
        return self.role is Role.LEADER and self.lease.is_valid(self.clock())

    @property
    def may_respond_to_heartbeats(self) -> bool:
        """Whether heartbeats get a response with this controller's own fencing token.

        Checked against the clock at each heartbeat, so that the bound holds even if the process was suspended or a
        recovery hangs: a later leader that confirms a cancellation relies on these worker leases to expire in time.
        """
        return self.is_leader and self.clock() - self.last_confirmed_at <= self.max_unconfirmed_s

    @property
    def may_send_starts(self) -> bool:
        """Whether committed starts may be sent: it is certain that there was no later leader until a moment ago.

        Otherwise a leader without the store could start a task whose cancellation the next leader has confirmed.
        """
        now = self.clock()
        return self.is_leader and (
            self.lease.is_valid(now) or now - self.peers_confirmed_at <= self.ttl_s * PEER_CONFIRMATION_VALIDITY_TTLS
        )

    @property
    def last_confirmed_at(self) -> float:
        """The last time at which no other controller can have confirmed a cancellation that is not known here.

        For a leader, the last time at which there was certainly no later leader. For any other controller, the time
        at which the leader that last responded to it was itself confirmed; also for one that recovers, which has not
        read the records yet: recoveries that fail one after the other, while the store is slow, would otherwise keep
        the leases of workers with cancelled tasks without end. Worker leases are kept for at most
        `max_unconfirmed_s` beyond this time. The next controller that keeps them counts from the same time, so the
        bounds of two controllers in turn do not add up.
        """
        if self.is_leader and self.role is not Role.RECOVERING:
            return max(self.lease.held_until(self.clock()), self.peers_confirmed_at)
        return self.leader_contact_at

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader has responded to this controller, or it has led, in this incarnation."""
        return self.leader_contact_at > _NEVER

    @property
    def lease_keeping_token(self) -> int | None:
        """The fencing token with which a partitioned follower keeps workers' leases; None if it must not keep them.

        Without this, the leases of all workers in a partitioned zone would expire although a controller in the zone
        can respond: half of a service's replicas came back only a minute after the partition had ended.
        """
        if self.role is not Role.PARTITIONED or self.clock() - self.leader_contact_at > self.max_unconfirmed_s:
            return None
        return self.leader_fencing_token

    @property
    def may_become_partitioned(self) -> bool:
        """Whether this follower may keep workers' leases if it reaches neither the store nor a leader."""
        return (
            self.role is Role.FOLLOWER
            and self.leader_fencing_token > 0
            and not self.superseded
            and self.clock() - self.leader_contact_at < self.max_unconfirmed_s
        )

    def record_end_of_term(self, cancelled_jobs: Collection[str]) -> None:
        """Record the cancelled jobs whose tasks the own term had not seen terminated when it ended."""
        self.cancelled_jobs = frozenset(cancelled_jobs)

    def may_extend_worker_lease(self, jobs: set[str]) -> bool:
        """Whether a controller that cannot stop tasks may keep the lease of a worker with tasks of these jobs.

        A worker may have missed the stop command of a cancelled task. Its lease must not be extended, since the bound
        counts from the last contact with the leader and the cancellation may be older.
        """
        return jobs.isdisjoint(self.cancelled_jobs)

    def record_leader_contact(self, survey: PeerSurvey) -> None:
        """Record the leader's response in a survey, unless a later confirmation is known already.

        The contact counts from when that leader was last confirmed, so that two bounds do not add up: otherwise an
        unconfirmed leader in the same partition would keep the leases up to its bound, and this controller would keep
        them for another bound after it.
        """
        if survey.leader_confirmed_at > self.leader_contact_at:
            self.leader_contact_at = survey.leader_confirmed_at
            self.cancelled_jobs = survey.cancelled_jobs
            self.superseded = False

    def observe_leader(self, label: str | None, token: int) -> None:
        """Record another leader that a peer reports, if this controller follows and its known token is lower."""
        if (
            self.role in (Role.FOLLOWER, Role.PARTITIONED)
            and label not in (None, self.label)
            and token > self.leader_fencing_token
        ):
            log.info("term %d: leader is controller %s, reported by a peer", token, label)
            self.leader = label
            self.leader_fencing_token = token

    def observe_higher_token(self, token: int) -> None:
        """Record a token that a worker has seen; if it is above the known one, another controller leads."""
        if token > self.leader_fencing_token:
            self.superseded = True
            if self.role is Role.PARTITIONED:
                self.transition(Role.FOLLOWER)
