"""Terms that tests build by hand, without a world around them."""

import random
from collections.abc import Callable

from driftcleat.model import Cluster
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import Layout, encode_batch
from driftcleat.term import Term, Ticket
from driftcleat.wire.users import Submission
from driftcleat.wire.workers import Report

from .samples import TYPES, platform

# The leader of every term that `fleet` makes.
TOKEN = 5


def new_term(site: Platform, cluster: Cluster, now: list[float], clock: Callable[[], float] | None = None) -> Term:
    """Return a term on a store that is brand new; `clock` stands for the time in `now`."""
    return Term(
        site,
        Tuning(),
        cluster,
        Layout(site.value_bytes, site.txn_ops),
        random.Random(1),
        clock or (lambda: now[0]),
        lambda: now[0],
        brand_new=True,
    )


def fleet(machines: int) -> tuple[Term, list[float]]:
    """Return a term with that many empty machines, and its clock."""
    now = [0.0]
    site = platform()
    cluster = Cluster(TOKEN, {}, dict(TYPES), 0.0, site.lease_s)
    term = new_term(site, cluster, now)
    for number in range(machines):
        zone = ("north", "south")[number % 2]
        cluster.observe(Report(f"vm-{number}", "h", "big", zone, False, 1, 1, TOKEN, ()), 0.0)
    return term, now


def commit_next(term: Term) -> bool:
    """Commit the next batch; False if there is nothing to commit."""
    batch = term.build()
    if batch.empty:
        return False
    number = term.counters.batches + 1
    term.commit(batch, number, encode_batch(batch, term.layout, TOKEN, number, 0).garbage)
    return True


def commit_all(term: Term) -> None:
    """Commit until nothing is left to do."""
    while commit_next(term):
        pass


def accept(term: Term, *specs: Submission) -> None:
    """Commit submissions; what they ask for may be placed from now on, and is not yet."""
    term.pacing.place_from = float("inf")
    for spec in specs:
        term.admission.submit(Ticket(lambda view: None, spec))
    commit_all(term)
    term.pacing.place_from = 0.0
    term.pacing.note_change()
