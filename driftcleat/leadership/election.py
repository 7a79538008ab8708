"""The election's state machine: follower, isolated, campaigning, rebuilding, leading, unsure.

Longer than other modules: every rule about who may answer workers, and for how long, reads the same few moments, and
is easier to check in one place.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from driftcleat import wire
from driftcleat.leadership.leader_key import LeaderRecord
from driftcleat.leadership.lease import LeaseClock
from driftcleat.leadership.peer_survey import PeerSurvey
from driftcleat.leadership.role import _MOVES, Role
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import CompareFailedError, LeaseNotFoundError, StoreClient, StoreError
from driftcleat.store.records import LEADER_KEY
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)


class Election:
    """Takes part in the election and keeps the lease while it holds the key."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        store: StoreClient,
        rng: random.Random,
        clock: Callable[[], float],
        rebuild: Callable[[int], Awaitable[None]],
        resign: Callable[[], None],
        ask_peers: Callable[[], Awaitable[PeerSurvey]],
        ask_leader: Callable[[], Awaitable[PeerSurvey]],
    ) -> None:
        self.platform, self.tuning, self.store, self.rng, self.clock = platform, tuning, store, rng, clock
        self.recover, self.on_step_down, self.ask_peers, self.ask_leader = rebuild, resign, ask_peers, ask_leader
        self.role = Role.FOLLOWER
        self.ttl_s = platform.lease_s * tuning.ttl
        self.lease = LeaseClock(self.ttl_s, tuning.drift)
        self.fencing_token = 0
        self.leader: str | None = None
        self.leader_fencing_token = 0
        self.incarnation = f"{rng.getrandbits(64):016x}"
        self.back_off_until = float("-inf")
        self._step_down_reason: str | None = None
        self._revision = 0
        # While unsure: when last every other controller confirmed that nobody leads after us.
        self._confirmed_at = float("-inf")
        # Whether a leader key was read in this life: before, an earlier life of ours may have led unknown to us.
        self.has_read_leader_key = False
        # As of when a leader last told us how it stands, and the cancelled jobs that it had yet to see gone; whether
        # a worker since showed a token above ours. Before the first contact nothing is kept: a leader may have
        # confirmed what we never heard of.
        self._leader_contact_at = float("-inf")
        self.cancelled_jobs: frozenset[str] = frozenset()
        self.superseded = False
        # Leases kept by who cannot hear of cancellations must end within the time that a cancellation has.
        self.max_unconfirmed_s = max(
            0.0, min(platform.lease_s * tuning.uncertain, platform.cancel_s - platform.lease_s - platform.report_s)
        )
        self._wake = asyncio.Event()

    def transition(self, to: Role) -> None:
        """Move to another role; the only place that does."""
        if to is self.role:
            return
        if (self.role, to) not in _MOVES:
            raise RuntimeError(f"{self.role.value} -> {to.value}")
        log.info("role %s -> %s (token %d)", self.role.value, to.value, self.fencing_token)
        self.role = to

    @property
    def may_decide(self) -> bool:
        """Whether decisions may be made and current answers given."""
        return self.role is Role.LEADER and self.lease.is_valid(self.clock())

    @property
    def is_leader(self) -> bool:
        """Whether this is a leader, sure of it or not."""
        return self.role in (Role.RECOVERING, Role.LEADER, Role.UNCONFIRMED_LEADER)

    @property
    def may_answer_heartbeats(self) -> bool:
        """Whether reports are answered with our token.

        Guards against a process that was held up, or a rebuilding that hangs: however it stands with the loops, no
        lease is kept for longer than a cancellation confirmed by a leader after us allows.
        """
        return self.is_leader and self.clock() - self.last_confirmed_at <= self.max_unconfirmed_s

    @property
    def may_send_starts(self) -> bool:
        """Whether committed starts may be told: it is certain that nobody led after us up to a moment ago.

        Guards against a task that a leader without the store starts after the next one has confirmed its
        cancellation.
        """
        now = self.clock()
        return self.is_leader and (self.lease.is_valid(now) or now - self._confirmed_at <= self.ttl_s * 0.4)

    @property
    def last_confirmed_at(self) -> float:
        """Return the last moment at which it was certain that no controller had confirmed what we cannot know.

        Of a leader: that nobody led after it. Otherwise: that a leader was, when it told us. What is kept beyond it
        is bounded by `max_uncertain_s`, and counted from it by whoever keeps it next, so that the bounds of two
        controllers in turn do not add up.
        """
        if self.is_leader:
            return max(self.lease.held_until(self.clock()), self._confirmed_at)
        return self._leader_contact_at

    @property
    def lease_keeping_token(self) -> int | None:
        """The token with which a follower that is cut off keeps workers' leases; None if it must not.

        Guards against all work of a zone ending with its leases although a controller in it could be asked, seen on
        the bench: half of a service's replicas came back a minute after the cut had ended.
        """
        if self.role is not Role.PARTITIONED or self.clock() - self._leader_contact_at > self.max_unconfirmed_s:
            return None
        return self.leader_fencing_token

    def may_extend_worker_lease(self, jobs: set[str]) -> bool:
        """Whether the lease of a worker with tasks of these jobs may be kept.

        Guards against a machine that did not hear the stop of a cancelled task in time, and would have its lease kept
        once more: the bound counts from our last contact, its cancellation may be older.
        """
        return jobs.isdisjoint(self.cancelled_jobs)

    def observe_higher_token(self, token: int) -> None:
        """A worker has seen this token, so somebody else leads: its leases are not ours to keep."""
        if token > self.leader_fencing_token:
            self.superseded = True
            if self.role is Role.PARTITIONED:
                self.transition(Role.FOLLOWER)

    def request_step_down(self, why: str) -> None:
        """Step down as soon as possible."""
        if self.is_leader:
            self._step_down_reason = why
            self._wake.set()

    async def run(self) -> None:
        """Take part for ever."""
        await self._revoke_previous_incarnation()
        while True:
            try:
                if self.role in (Role.FOLLOWER, Role.PARTITIONED):
                    await self._follow()
                elif self.role in (Role.LEADER, Role.UNCONFIRMED_LEADER):
                    await self._hold_leadership()
                else:
                    self._step_down("left in between")
            except asyncio.CancelledError:
                raise
            except StoreError as error:
                log.debug("election: %s", error)
                if self.role in (Role.CAMPAIGNING, Role.RECOVERING):
                    lease = self.lease.lease_id
                    self._step_down(str(error))
                    if lease is not None:
                        await self._revoke_lease(lease)
                elif self.role in (Role.FOLLOWER, Role.PARTITIONED):
                    await self._consider_partition()
                await asyncio.sleep(self.ttl_s * self.rng.uniform(0.05, 0.12))
            except Exception:
                log.exception("election: unexpected")
                if self.role is not Role.FOLLOWER:
                    self._step_down("unexpected error")
                await asyncio.sleep(self.ttl_s * 0.2)

    async def _revoke_previous_incarnation(self) -> None:
        """A holder that was restarted ends its old lease, so that nobody waits for it to run out."""
        for _ in range(3):
            try:
                key_value = await self.store.get(LEADER_KEY)
                if (
                    key_value is not None
                    and key_value.lease_id is not None
                    and self._key(key_value).controller_id == self.platform.label
                ):
                    log.info("ending the lease of an earlier life")
                    await self.store.revoke_lease(key_value.lease_id)
                return
            except (StoreError, wire.WireError) as error:
                log.debug("old lease: %s", error)
                await asyncio.sleep(self.ttl_s * 0.1)

    @staticmethod
    def _key(key_value: messages.KeyValue) -> LeaderRecord:
        return wire.decode(bytes(key_value.value), LeaderRecord)

    def _record_leader(self, key_value: messages.KeyValue) -> None:
        label = self._key(key_value).controller_id
        if label != self.leader:
            log.info("leader is %s (token %d)", label, key_value.mod_revision)
        self.leader, self.leader_fencing_token, self.has_read_leader_key = label, key_value.mod_revision, True

    def observe_leader(self, label: str | None, token: int) -> None:
        """A peer says who leads; the store's word, and a higher token, go before it."""
        if (
            self.role in (Role.FOLLOWER, Role.PARTITIONED)
            and label not in (None, self.platform.label)
            and (token > self.leader_fencing_token)
        ):
            log.info("leader is %s (token %d), a peer says", label, token)
            self.leader, self.leader_fencing_token = label, token

    async def _consider_partition(self) -> None:
        """The store does not serve us: if no controller answers either, keep the leases of workers that ask.

        The contact with a leader that is itself unsure counts from when it was last assured. Guards against two
        bounds that add up: a leader cut off with us keeps the leases to its end, and we once more after it.
        """
        survey = await self.ask_peers()
        self.observe_leader(survey.leader, survey.highest_fencing_token)
        self._record_leader_contact(survey)
        if survey.peer_reaches_store:
            if self.role is Role.PARTITIONED:
                self.transition(Role.FOLLOWER)
        elif (
            self.role is Role.FOLLOWER
            and self.leader_fencing_token
            and not self.superseded
            and (self.clock() - self._leader_contact_at < self.max_unconfirmed_s)
        ):
            self.transition(Role.PARTITIONED)
        elif self.role is Role.PARTITIONED and self.lease_keeping_token is None:
            self.transition(Role.FOLLOWER)

    def _record_leader_contact(self, survey: PeerSurvey) -> None:
        """A leader has told how it stands."""
        if survey.leader_confirmed_at > self._leader_contact_at:
            self._leader_contact_at, self.cancelled_jobs, self.superseded = (
                survey.leader_confirmed_at,
                survey.cancelled_jobs,
                False,
            )

    async def _follow(self) -> None:
        # A read that hangs must not outlast the workers' leases.
        page = await self.store.list_page(LEADER_KEY, None, 1, self.ttl_s)
        if self.role is Role.PARTITIONED:
            self.transition(Role.FOLLOWER)
        self._revision = page.revision
        if page.key_values:
            key_value = page.key_values[0]
            self._record_leader(key_value)
            if key_value.lease_id is not None and self._key(key_value).controller_id == self.platform.label:
                # Guards against waiting for our own earlier life: its put was carried out after we had looked.
                log.info("ending the lease of an earlier life")
                await self.store.revoke_lease(key_value.lease_id)
                return
            self._record_leader_contact(await self.ask_leader())
            await self._watch_leader()
            return
        self.leader = None
        now = self.clock()
        if now < self.back_off_until:
            await asyncio.sleep(min(self.ttl_s * 0.25, self.back_off_until - now))
            return
        await asyncio.sleep(self.rng.uniform(0.0, 0.02) * self.ttl_s)
        await self._campaign()

    async def _watch_leader(self) -> None:
        """Wait until the leader key changes, or long enough to look again."""
        answer = await self.store.watch(LEADER_KEY, self._revision, self.ttl_s)
        if answer is not None and answer.events:
            log.debug("leader key changed")

    def _campaign_transaction(self, lease: int) -> messages.Transaction:
        """Return the transaction that makes this controller the leader, if nobody is."""
        value = LeaderRecord(self.platform.label, self.incarnation)
        return messages.Transaction([messages.Compare(LEADER_KEY, 0)], [messages.Put(LEADER_KEY, value, lease)])

    async def _campaign(self) -> None:
        self.transition(Role.CAMPAIGNING)
        sent_at = self.clock()
        lease = await self.store.grant_lease(self.ttl_s)
        self.lease.record_grant(lease, sent_at)
        try:
            token = await self.store.commit(self._campaign_transaction(lease))
        except CompareFailedError:
            self._step_down("another was first")
            await self._revoke_lease(lease)
            return
        except StoreError:
            # Nobody knows whether it was carried out: the key says so.
            key_value = await self.store.get(LEADER_KEY)
            if key_value is None or key_value.lease_id != lease:
                self._step_down("outcome unknown")
                await self._revoke_lease(lease)
                return
            token = key_value.mod_revision
        self.fencing_token = self.leader_fencing_token = token
        self.leader, self.has_read_leader_key = self.platform.label, True
        self._step_down_reason = None
        self._confirmed_at = float("-inf")
        self.transition(Role.RECOVERING)
        renewal = asyncio.ensure_future(self._keep_alive_while_recovering())
        try:
            await self.recover(token)
        finally:
            renewal.cancel()
        if not self.lease.is_valid(self.clock()):
            self._step_down("the lease ran out while rebuilding")
            return
        self.transition(Role.LEADER)

    async def _revoke_lease(self, lease: int) -> None:
        try:
            await self.store.revoke_lease(lease)
        except StoreError as error:
            log.debug("lease %d not ended: %s", lease, error)

    async def _keep_alive_while_recovering(self) -> None:
        while True:
            await asyncio.sleep(self.ttl_s * self.tuning.renew)
            try:
                await self._keep_alive()
            except StoreError as error:
                log.debug("renewal: %s", error)

    async def _keep_alive(self) -> None:
        lease = self.lease.lease_id
        if lease is None:
            raise LeaseNotFoundError("none held")
        sent_at = self.clock()
        await self.store.keep_lease_alive(lease, self.ttl_s * 0.5)
        self.lease.record_renewal(sent_at)

    async def _hold_leadership(self) -> None:
        """One renewal, then a pause."""
        if self._step_down_reason is not None:
            lease = self.lease.lease_id
            self.back_off_until = self.clock() + self.platform.lease_s
            self._step_down(self._step_down_reason)
            if lease is not None:
                await self._revoke_lease(lease)
            return
        pause = self.ttl_s * self.tuning.renew
        try:
            await self._keep_alive()
            if self.role is Role.UNCONFIRMED_LEADER:
                self.transition(Role.LEADER)
        except LeaseNotFoundError:
            self._step_down("the lease has ended")
            return
        except StoreError as error:
            log.debug("renewal: %s", error)
            pause = self.ttl_s * 0.1
            if self.role is Role.LEADER and self.lease.remaining_s(self.clock()) < self.ttl_s * 0.4:
                self.transition(Role.UNCONFIRMED_LEADER)
        if self.role is Role.UNCONFIRMED_LEADER:
            await self._confirm_with_peers()
        try:
            self._wake.clear()
            await asyncio.wait_for(self._wake.wait(), pause)
        except TimeoutError:
            pass

    async def _confirm_with_peers(self) -> None:
        """The store does not serve us: go on until another leads.

        While every controller confirms that nobody leads after us, the workers' leases are kept for as long as that
        lasts. Guards against an outage of a minute that cost all running work, seen on the bench: the leader gave
        up after two worker leases. But a peer may have led after us before it was refused too, and have confirmed
        cancellations: who knows a higher token ends our term at once, and who is silent, or was started since and
        has not read the store, confirms for nothing. That the store serves a peer is no reason yet: it cannot lead
        before our lease has ended, and if an outage comes first, nobody would keep the leases.
        """
        asked_at = self.clock()
        survey = await self.ask_peers()
        if survey.highest_fencing_token > self.fencing_token:
            self.back_off_until = self.clock() + self.platform.lease_s
            self._step_down(f"a controller knows token {survey.highest_fencing_token}")
            self.observe_leader(survey.leader, survey.highest_fencing_token)
            return
        if survey.all_have_read_leader_key:
            self._confirmed_at = asked_at
        if not self.may_answer_heartbeats:
            # If the store serves somebody, a new leader has shown our workers its token by now, unless all of us
            # here are cut off from it.
            self._step_down("unsure for too long")

    def _step_down(self, why: str) -> None:
        if self.role is not Role.FOLLOWER:
            log.info("stepping down: %s", why)
            leading = self.is_leader
            # What was kept so far counts, should we find ourselves in contact with nobody.
            self._leader_contact_at = self.last_confirmed_at
            self.transition(Role.FOLLOWER)
            # Leases that we kept as a leader are not kept on in isolation: the bound is used up, or another leads.
            self.superseded = True
            self.lease.clear()
            if self.leader == self.platform.label:
                self.leader = None
            self._step_down_reason = None
            if leading:
                self.on_step_down()
