"""Exceptions with error codes and exit codes.

Every error that a user can cause has a code, a one-line message, an optional hint, an
exit code and a `show` method that formats it.  `Refusal` is the error response to a
client; it also says whether the request may have run.
"""

from typing import Literal, NamedTuple, TypedDict

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_NOT_IN_FORCE = 5

# Stable interface for scripts; shown by ``tamarackrill --help``.
EXIT_CODES = {
    0: "done",
    EXIT_FAILURE: "failed for another reason, such as an object that does not exist",
    EXIT_USAGE: "faulty input; nothing was changed",
    EXIT_CONFLICT: "another operator's change came first; nothing was changed",
    EXIT_UNAVAILABLE: "platform or router did not answer; the message says what stands",
    EXIT_NOT_IN_FORCE: "written, but not yet in force at every known router",
}

RunState = Literal["not_run", "unknown"]


class RefusalBody(TypedDict):
    """JSON body of an error response to a client."""

    code: str
    message: str
    run: RunState
    retry_after_s: float


class Finding(NamedTuple):
    """One error in an input, with its location in `place`."""

    place: str
    message: str
    hint: str = ""

    def show(self) -> str:
        """Format the finding as one line."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.message}{hint}"


class TamarackrillError(Exception):
    """Base class of all exceptions of this package.

    Parameters
    ----------
    message : str
        One-line message for the user.
    hint : str, optional
        How the user can resolve the error.
    """

    code = "error"
    exit_code = EXIT_FAILURE

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def show(self) -> str:
        """Format the error for a terminal, with the hint on a second line."""
        hint = f"\nHint: {self.hint}" if self.hint else ""
        return f"Error [{self.code}]: {self.message}{hint}"


class FindingsError(TamarackrillError):
    """All errors found in the input, reported together.

    Parameters
    ----------
    findings : sequence of Finding
        At least one finding.
    """

    code = "invalid_input"
    exit_code = EXIT_USAGE

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__(f"{len(findings)} fault(s) found")
        self.findings = tuple(findings)

    def show(self) -> str:
        """Format each finding as one line."""
        return "\n".join(f"Error: {finding.show()}" for finding in self.findings)


class PlatformUnavailable(TamarackrillError):
    """The platform did not answer; whether a write took effect is unknown."""

    code = "platform_unavailable"
    exit_code = EXIT_UNAVAILABLE


class VersionConflict(TamarackrillError):
    """The object of a conditional update has changed from the expected version."""

    code = "version_conflict"
    exit_code = EXIT_CONFLICT


class NotFound(TamarackrillError):
    """The requested object or router does not exist."""

    code = "not_found"


class RouterUnavailable(TamarackrillError):
    """A router did not answer, or its response could not be parsed."""

    code = "router_unavailable"
    exit_code = EXIT_UNAVAILABLE


class NotInForce(TamarackrillError):
    """A change was written, but not all routers are known to have applied it."""

    code = "not_in_force"
    exit_code = EXIT_NOT_IN_FORCE


class Refusal(TamarackrillError):
    """Error response that the fleet generates itself, not an endpoint.

    Parameters
    ----------
    code : str
        One of the codes listed in docs/OPERATIONS.md.
    status : int
        HTTP status of the response.
    message : str
        One-line message for the client; must not name other teams.
    run : {"not_run", "unknown"}, default="not_run"
        ``"not_run"`` only if no byte of the request can have reached an endpoint.
    retry_after_s : float, default=1.0
        Seconds after which the client should retry.
    """

    def __init__(
        self,
        code: str,
        status: int,
        message: str,
        run: RunState = "not_run",
        retry_after_s: float = 1.0,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.run = run
        self.retry_after_s = retry_after_s

    def to_body(self) -> RefusalBody:
        """Return the JSON body of the error response."""
        return RefusalBody(
            code=self.code,
            message=self.message,
            run=self.run,
            retry_after_s=self.retry_after_s,
        )


class ClientTooSlow(Exception):
    """A client did not read its response before its endpoint or deadline ended it."""
