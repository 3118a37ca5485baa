"""A randomized soak test: real daemons, injected faults, checked guarantees."""

from daisyhub.testing.soak._ledger import Ledger
from daisyhub.testing.soak._linked_fleet import LinkedFleet
from daisyhub.testing.soak._links import Link, LinkMode
from daisyhub.testing.soak._plan import (
    Disturbance,
    Kind,
    WriteFault,
    make_plan,
)
from daisyhub.testing.soak._soak import Soak, SoakReport

__all__ = [
    "Disturbance",
    "Kind",
    "Ledger",
    "Link",
    "LinkMode",
    "LinkedFleet",
    "Soak",
    "SoakReport",
    "WriteFault",
    "make_plan",
]
