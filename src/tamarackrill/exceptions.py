"""Errors with codes.

Every error that a user can cause carries a code, a one-line message, a hint and
an exit code, and knows how to show itself.  A refusal is the error that a caller
of the fleet sees: it also says whether the request may have run.
"""

from typing import Literal, NamedTuple, TypedDict

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_NOT_IN_FORCE = 5

# What the command line promises to scripts; shown by ``tamarackrill --help``.
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
    """The JSON that a refused caller receives."""

    code: str
    message: str
    run: RunState
    retry_after_s: float


class Finding(NamedTuple):
    """One fault of an input, with the place where it stands."""

    place: str
    message: str
    hint: str = ""

    def show(self) -> str:
        """Return the finding as one line."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.message}{hint}"


class TamarackrillError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    message : str
        One line for the user.
    hint : str, optional
        What the user can do about it.
    """

    code = "error"
    exit_code = EXIT_FAILURE

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def show(self) -> str:
        """Return the error as one line for a terminal."""
        hint = f"\nHint: {self.hint}" if self.hint else ""
        return f"Error [{self.code}]: {self.message}{hint}"


class FindingsError(TamarackrillError):
    """All faults found in one input, reported together.

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
        """Return one line for each finding."""
        return "\n".join(f"Error: {finding.show()}" for finding in self.findings)


class PlatformUnavailable(TamarackrillError):
    """The platform did not answer; whether a write took effect is unknown."""

    code = "platform_unavailable"
    exit_code = EXIT_UNAVAILABLE


class VersionConflict(TamarackrillError):
    """A conditional update met another version than the one it was based on."""

    code = "version_conflict"
    exit_code = EXIT_CONFLICT


class NotFound(TamarackrillError):
    """The object or router that was asked for does not exist."""

    code = "not_found"


class RouterUnavailable(TamarackrillError):
    """A router did not answer, or not in a form that is understood."""

    code = "router_unavailable"
    exit_code = EXIT_UNAVAILABLE


class NotInForce(TamarackrillError):
    """A change was written, but some routers have not been seen to apply it."""

    code = "not_in_force"
    exit_code = EXIT_NOT_IN_FORCE


class Refusal(TamarackrillError):
    """A request that the fleet answers with an error of its own.

    Parameters
    ----------
    code : str
        One of the codes listed in docs/OPERATIONS.md.
    status : int
        HTTP status of the answer.
    message : str
        One line for the caller.  Names no other team.
    run : {"not_run", "unknown"}, default="not_run"
        ``"not_run"`` only where no byte of the request can have reached an
        endpoint.
    retry_after_s : float, default=1.0
        When the caller should come back, in seconds.
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
        """Return the JSON body of the refusal."""
        return RefusalBody(
            code=self.code,
            message=self.message,
            run=self.run,
            retry_after_s=self.retry_after_s,
        )
