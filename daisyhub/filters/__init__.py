"""The request chain: one filter, one file, one job."""

from daisyhub.filters._account import AccountFilter
from daisyhub.filters._admission_core import (
    AdmissionCore,
    AdmissionTick,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestAbandoned,
    RequestArrived,
    RequestDeparted,
    ShedRequest,
    compute_concurrency_limit,
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
    "AttemptOutcome",
    "ConcurrencyLimitChanged",
    "compute_concurrency_limit",
    "AdmissionTick",
    "AdmitRequest",
    "AdmitFilter",
    "RequestArrived",
    "AttemptCompleted",
    "AttemptFailed",
    "ForwardStarted",
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
    "DeliverResponse",
    "RequestDeparted",
    "ForwardCore",
    "ForwardFilter",
    "ForwardPlan",
    "ForwardRequest",
    "ForwardTick",
    "FailRequest",
    "IdempotencyFilter",
    "IdentifyFilter",
    "StoredResponse",
    "RequestAbandoned",
    "LotsFilter",
    "MeasureFilter",
    "ReadClaim",
    "RefuseRequest",
    "ReplayResponse",
    "RequestEnded",
    "RetryBudget",
    "RouteFilter",
    "RouteTable",
    "ShedRequest",
    "StartAttempt",
    "ValidateFilter",
    "WriteClaim",
    "build_chain",
    "run_attempts",
]
