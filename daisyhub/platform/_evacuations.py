"""Evacuations of failure domains as operators write them to the store.

The object `evacuations/ZONE` with the spec `{}` evacuates a zone, which is a
failure domain, until it is deleted.
"""

import msgspec

from daisyhub.balancing import EndpointDirectory
from daisyhub.evacuations import EvacuationController, Revisions
from daisyhub.fleet_settings import FleetSettings
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import ObjectSource
from daisyhub.peers import PeerNetwork

__all__ = ["EVACUATIONS_KIND", "build_evacuations", "tell_evacuations"]

EVACUATIONS_KIND = "evacuations"


def build_evacuations(
    cfg: FleetSettings,
    source: ObjectSource,
    network: PeerNetwork,
    directory: EndpointDirectory,
    metrics: Metrics,
    log: DecisionLog,
) -> tuple[EvacuationController, ...]:
    """Returns the controller; nothing if operators don't evacuate."""
    if not cfg.evacuate_ms:
        return ()
    controller = EvacuationController(
        source, EVACUATIONS_KIND, _find_fault, directory, metrics, log
    )
    network.add_receiver(controller.receive)
    return (controller,)


def tell_evacuations(
    controllers: tuple[EvacuationController, ...],
) -> dict[str, Revisions]:
    """Returns what a ping tells of evacuations."""
    return {d: r for c in controllers for d, r in c.told().items()}


def _find_fault(spec: bytes) -> str:
    """Returns why a spec is no JSON object; empty if it is one."""
    try:
        decode_json(spec, type=dict)
    except msgspec.DecodeError as exc:
        return str(exc)
    return ""
