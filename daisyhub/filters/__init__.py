"""The request chain: one filter, one file, one job."""

from daisyhub.filters._account import AccountFilter
from daisyhub.filters._admission_core import (
    AdmissionCore,
    AdmissionTick,
    Admit,
    Arrive,
    Depart,
    Leave,
    Shed,
)
from daisyhub.filters._admit import AdmitFilter
from daisyhub.filters._chain import build_chain
from daisyhub.filters._claims import ClaimRecord, ClaimVerdict, decide_claim
from daisyhub.filters._forward import ForwardFilter
from daisyhub.filters._forward_core import (
    AttemptAnswered,
    AttemptFailed,
    Begin,
    Deliver,
    ForwardCore,
    ForwardPlan,
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
    "AdmissionTick",
    "Admit",
    "AdmitFilter",
    "Arrive",
    "AttemptAnswered",
    "AttemptFailed",
    "Begin",
    "ClaimRecord",
    "ClaimVerdict",
    "Deliver",
    "Depart",
    "ForwardCore",
    "ForwardFilter",
    "ForwardPlan",
    "GiveUp",
    "IdempotencyFilter",
    "IdentifyFilter",
    "Leave",
    "LotsFilter",
    "MeasureFilter",
    "RetryBudget",
    "RouteFilter",
    "RouteTable",
    "Shed",
    "StartAttempt",
    "ValidateFilter",
    "build_chain",
    "decide_claim",
]
