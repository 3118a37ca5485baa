"""The filters of the request chain, and the cores that decide for them."""

from daisyhub.filters._account import AccountFilter
from daisyhub.filters._admission_core import (
    AdmissionCore,
    compute_concurrency_limit,
)
from daisyhub.filters._admission_types import (
    AdmissionTick,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestAbandoned,
    RequestArrived,
    RequestDeparted,
    ShedRequest,
)
from daisyhub.filters._admit import AdmitFilter
from daisyhub.filters._attempts import AttemptOutcome, run_attempts
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
    RefuseRequest,
    ReplayResponse,
    RequestEnded,
    ReturnOutcome,
    StoredResponse,
    WriteClaim,
)
from daisyhub.filters._forward import ForwardFilter
from daisyhub.filters._forward_core import (
    AttemptCompleted,
    AttemptFailed,
    DeliverResponse,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    ForwardStarted,
    ForwardTick,
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
    "AdmitFilter",
    "AdmitRequest",
    "AttemptCompleted",
    "AttemptFailed",
    "AttemptOutcome",
    "ClaimCancelled",
    "ClaimController",
    "ClaimCore",
    "ClaimReadCompleted",
    "ClaimReadFailed",
    "ClaimRecord",
    "ClaimRequested",
    "ClaimStored",
    "ClaimTick",
    "ClaimWriteRejected",
    "ClaimWriteUncertain",
    "ConcurrencyLimitChanged",
    "DeliverResponse",
    "FailRequest",
    "ForwardCore",
    "ForwardFilter",
    "ForwardPlan",
    "ForwardRequest",
    "ForwardStarted",
    "ForwardTick",
    "IdempotencyFilter",
    "IdentifyFilter",
    "LotsFilter",
    "MeasureFilter",
    "ReadClaim",
    "RefuseRequest",
    "ReplayResponse",
    "RequestAbandoned",
    "RequestArrived",
    "RequestDeparted",
    "RequestEnded",
    "RetryBudget",
    "ReturnOutcome",
    "RouteFilter",
    "RouteTable",
    "ShedRequest",
    "StartAttempt",
    "StoredResponse",
    "ValidateFilter",
    "WriteClaim",
    "build_chain",
    "compute_concurrency_limit",
    "run_attempts",
]
