"""Terms that tests build by hand, without a world around them."""

import random
from collections.abc import Callable

from driftcleat.model import Cluster
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import Layout
from driftcleat.term import Term


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
