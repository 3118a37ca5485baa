"""The request chain: one filter, one file, one job."""

from daisyhub.filters._account import AccountFilter
from daisyhub.filters._admission_core import (
    AdmissionCore,
    AdmissionTick,
    Admit,
    Arrive,
    Depart,
    Leave,
    PlacesChanged,
    Shed,
    places_for,
)
from daisyhub.filters._admit import AdmitFilter
from daisyhub.filters._attempts import Outcome, run_attempts
from daisyhub.filters._chain import build_chain
from daisyhub.filters._claim_controller import ClaimController
from daisyhub.filters._claim_core import ClaimCore
from daisyhub.filters._claim_types import (
    ClaimCancelled,
    ClaimReadCompleted,
    ClaimReadFailed,
    ClaimRecord,
    ClaimRequested,
    ClaimStored,
    ClaimTick,
    ClaimWriteRejected,
    ClaimWriteUncertain,
    ForwardRequest,
    ReadClaim,
    RefuseRepeat,
    ReplayResponse,
    RequestEnded,
    ReturnOutcome,
    StoredResponse,
    WriteClaim,
)
from daisyhub.filters._forward import ForwardFilter
from daisyhub.filters._forward_core import (
    AttemptAnswered,
    AttemptFailed,
    Begin,
    Deliver,
    ForwardCore,
    ForwardPlan,
    ForwardTick,
    GiveUp,
    RetryBudget,
    StartAttempt,
)
from daisyhub.filters._idempotency import IdempotencyFilter
from daisyhub.filters._identify import IdentifyFilter
from daisyhub.filters._lots import LotsFilter
from daisyhub.filters._measure import MeasureFilter
from daisyhub.filters._route import RouteFilter, RouteTable
from daisyhub.filters._validate import ValidateFilter

__all__ = [
    "AccountFilter",
    "AdmissionCore",
    "Outcome",
    "PlacesChanged",
    "places_for",
    "AdmissionTick",
    "Admit",
    "AdmitFilter",
    "Arrive",
    "AttemptAnswered",
    "AttemptFailed",
    "Begin",
    "ClaimRequested",
    "ClaimWriteRejected",
    "ClaimController",
    "ClaimCore",
    "ClaimCancelled",
    "ClaimReadCompleted",
    "ClaimReadFailed",
    "ClaimRecord",
    "ReturnOutcome",
    "ClaimStored",
    "ClaimTick",
    "ClaimWriteUncertain",
    "Deliver",
    "Depart",
    "ForwardCore",
    "ForwardFilter",
    "ForwardPlan",
    "ForwardRequest",
    "ForwardTick",
    "GiveUp",
    "IdempotencyFilter",
    "IdentifyFilter",
    "StoredResponse",
    "Leave",
    "LotsFilter",
    "MeasureFilter",
    "ReadClaim",
    "RefuseRepeat",
    "ReplayResponse",
    "RequestEnded",
    "RetryBudget",
    "RouteFilter",
    "RouteTable",
    "Shed",
    "StartAttempt",
    "ValidateFilter",
    "WriteClaim",
    "build_chain",
    "run_attempts",
]
