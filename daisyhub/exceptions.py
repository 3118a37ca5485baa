"""Exceptions and their stable codes, for the daemon and the command line."""

import enum

__all__ = [
    "ConfigConflictError",
    "DaisyhubError",
    "DocumentError",
    "ErrorCode",
    "ExecutionStatus",
    "NOT_RUN_STATUSES",
    "PlatformConflictError",
    "PlatformUnavailableError",
    "Problem",
    "Refusal",
]


class ExecutionStatus(enum.Enum):
    """Whether an endpoint executed a request that was refused or failed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


# Statuses that tell callers of the platform that their request has not run and
# never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class ErrorCode(enum.Enum):
    """Stable codes of refusals, each with its HTTP status."""

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
    REQUEST_TIMEOUT = ("request_timeout", 408)
    BODY_TOO_LARGE = ("body_too_large", 413)
    BODY_INVALID = ("body_invalid", 400)
    HEADERS_TOO_LARGE = ("headers_too_large", 431)
    HEADER_INVALID = ("header_invalid", 400)
    RATE_LIMITED = ("rate_limited", 429)
    OVERLOADED = ("overloaded", 503)
    SHUTTING_DOWN = ("shutting_down", 503)
    NO_CONFIGURATION = ("no_configuration", 503)
    NO_ENDPOINT = ("no_endpoint", 503)
    STREAM_UNKNOWN = ("stream_unknown", 503)
    ENDPOINT_FAILED = ("endpoint_failed", 502)
    REQUEST_BLOCKED = ("request_blocked", 502)
    ENDPOINT_TIMEOUT = ("endpoint_timeout", 504)
    ANSWER_INCOMPLETE = ("answer_incomplete", 502)
    DEADLINE_EXCEEDED = ("deadline_exceeded", 504)
    CLAIM_UNAVAILABLE = ("claim_unavailable", 503)
    CLAIM_MISMATCH = ("claim_mismatch", 422)
    CLAIM_IN_PROGRESS = ("claim_in_progress", 409)
    OUTCOME_UNKNOWN = ("outcome_unknown", 409)
    ANSWER_NOT_KEPT = ("answer_not_kept", 409)
    LOT_UNKNOWN = ("lot_unknown", 404)
    ITEM_UNKNOWN = ("item_unknown", 404)
    LOT_CONFLICT = ("lot_conflict", 409)
    LOT_ELSEWHERE = ("lot_elsewhere", 503)
    LOT_UNCONFIRMED = ("lot_unconfirmed", 504)
    PLATFORM_UNAVAILABLE = ("platform_unavailable", 503)
    INTERNAL = ("internal", 500)

    @property
    def label(self) -> str:
        """The code as sent to callers."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the code."""
        return self.value[1]

    @property
    def promises_not_run(self) -> bool:
        """Whether the status promises that the request has not run."""
        return self.status in NOT_RUN_STATUSES


class DaisyhubError(Exception):
    """Base class of the exceptions that have a stable code.

    Attributes:
        code: Stable code of the error.
    """

    code = "error"


class Refusal(DaisyhubError):  # noqa: N818 - an outcome, not a fault.
    """Rejects a request with an error response.

    Attributes:
        error: The stable code and HTTP status.
        detail: One sentence for the caller.
        ran: Whether an endpoint executed the request.
        retry_after_s: Suggested delay before a retry, in seconds; None for no
            suggestion.
        code: The stable code, `error.label`.
    """

    def __init__(
        self,
        error: ErrorCode,
        detail: str,
        *,
        ran: ExecutionStatus,
        retry_after_s: float | None = None,
    ):
        super().__init__(detail)
        self.error = error
        self.detail = detail
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.code = error.label


class Problem:
    """An error in a document.

    Attributes:
        path: Path of the value, such as `$.routes.records.pool`.
        message: What is wrong with the value.
        line: Line of the value, from 1; 0 if unknown.
        file: File name of the document; empty if unknown.
    """

    __slots__ = ("file", "line", "message", "path")

    def __init__(self, path: str, message: str, line: int = 0, file: str = ""):
        self.path = path
        self.message = message
        self.line = line
        self.file = file

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.message}"


class DocumentError(DaisyhubError):
    """A settings file or configuration document is invalid.

    Attributes:
        problems: All errors found.
    """

    code = "document_invalid"

    def __init__(self, problems: list[Problem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigConflictError(DaisyhubError):
    """A change of the configuration document was refused.

    Another team changed the same entries since the base version or owns the
    section, or a required version doesn't exist.
    """

    code = "config_conflict"


class PlatformUnavailableError(DaisyhubError):
    """A call to the platform failed; a write may have taken effect."""

    code = "platform_unavailable"


class PlatformConflictError(DaisyhubError):
    """The platform rejected a conditional update.

    Attributes:
        version: Current version of the object; 0 if it doesn't exist.
    """

    code = "platform_conflict"

    def __init__(self, key: str, version: int):
        super().__init__(
            f"conditional update of object {key!r} rejected: its current"
            f" version is {version}"
        )
        self.version = version
