"""Controllers, each of which keeps one part of the daemon's state current."""

from daisyhub.controllers._config import ConfigController
from daisyhub.controllers._endpoints import EndpointController
from daisyhub.controllers._lots import LotController
from daisyhub.controllers._orders import OrderController
from daisyhub.controllers._peers import PeerController
from daisyhub.controllers._usage import UsageController
from daisyhub.controllers._watch import WatchController
from daisyhub.controllers._weights import WeightController

__all__ = [
    "ConfigController",
    "EndpointController",
    "LotController",
    "OrderController",
    "PeerController",
    "UsageController",
    "WatchController",
    "WeightController",
]
