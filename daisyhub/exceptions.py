"""Exceptions with stable codes, shared by the daemon and the command line."""

import enum

__all__ = [
    "ConfigConflictError",
    "DaisyhubError",
    "DocumentError",
    "ErrorCode",
    "PlatformConflictError",
    "PlatformUnavailableError",
    "Problem",
    "ExecutionStatus",
    "Refusal",
]


class ExecutionStatus(enum.Enum):
    """Whether the refused request was executed by an endpoint."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorCode(enum.Enum):
    """Stable codes of refusals; the second item is the HTTP status."""

    KEY_MISSING = ("key_missing", 401)
    KEY_MALFORMED = ("key_malformed", 400)
    KEY_AMBIGUOUS = ("key_ambiguous", 400)
    KEY_IN_QUERY = ("key_in_query", 400)
    KEY_UNKNOWN = ("key_unknown", 401)
    KEY_WITHDRAWN = ("key_withdrawn", 401)
    ACCOUNT_FORBIDDEN = ("account_forbidden", 403)
    PATH_INVALID = ("path_invalid", 400)
    ROUTE_UNKNOWN = ("route_unknown", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    BODY_TOO_LARGE = ("body_too_large", 413)
    BODY_INVALID = ("body_invalid", 400)
    HEADERS_TOO_LARGE = ("headers_too_large", 431)
    HEADER_INVALID = ("header_invalid", 400)
    RATE_LIMITED = ("rate_limited", 429)
    OVERLOADED = ("overloaded", 503)
    SHUTTING_DOWN = ("shutting_down", 503)
    NO_CONFIGURATION = ("no_configuration", 503)
    NO_ENDPOINT = ("no_endpoint", 503)
    ENDPOINT_FAILED = ("endpoint_failed", 502)
    ENDPOINT_TIMEOUT = ("endpoint_timeout", 504)
    ANSWER_INCOMPLETE = ("answer_incomplete", 502)
    DEADLINE_EXCEEDED = ("deadline_exceeded", 504)
    CLAIM_UNAVAILABLE = ("claim_unavailable", 503)
    CLAIM_MISMATCH = ("claim_mismatch", 422)
    CLAIM_IN_PROGRESS = ("claim_in_progress", 409)
    OUTCOME_UNKNOWN = ("outcome_unknown", 409)
    ANSWER_NOT_KEPT = ("answer_not_kept", 409)
    LOT_UNKNOWN = ("lot_unknown", 404)
    LOT_CONFLICT = ("lot_conflict", 409)
    LOT_ELSEWHERE = ("lot_elsewhere", 503)
    PLATFORM_UNAVAILABLE = ("platform_unavailable", 503)
    INTERNAL = ("internal", 500)

    @property
    def label(self) -> str:
        """The code as callers see it."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status that goes with the code."""
        return self.value[1]


class DaisyhubError(Exception):
    """Base of all errors of this package; `code` is stable."""

    code = "error"


class Refusal(DaisyhubError):  # noqa: N818 - a final answer, not a fault.
    """A request that ends with an error answer.

    Attributes:
        error: The stable code and status.
        detail: One sentence for the caller.
        ran: Whether an endpoint executed the request.
        retry_after_s: When to ask again, in seconds, if that makes sense.
    """

    def __init__(
        self,
        error: ErrorCode,
        detail: str,
        *,
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(detail)
        self.error = error
        self.detail = detail
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.code = error.label


class Problem:
    """One fault of a document: where it is and what was expected."""

    __slots__ = ("file", "line", "message", "path")

    def __init__(self, path: str, message: str, line: int = 0, file: str = ""):
        self.path = path
        self.message = message
        self.line = line
        self.file = file

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.message}"


class DocumentError(DaisyhubError):
    """A settings file or configuration document with faults."""

    code = "document_invalid"

    def __init__(self, problems: list[Problem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigConflictError(DaisyhubError):
    """Another team changed the same lines since the given base version."""

    code = "config_conflict"


class PlatformUnavailableError(DaisyhubError):
    """The platform did not answer, and the call's effect is unknown."""

    code = "platform_unavailable"


class PlatformConflictError(DaisyhubError):
    """A conditional update was refused.

    Attributes:
        version: The version that the object has; 0 if it does not exist.
    """

    code = "platform_conflict"

    def __init__(self, key: str, version: int):
        super().__init__(f"object {key!r} is at version {version}")
        self.version = version
