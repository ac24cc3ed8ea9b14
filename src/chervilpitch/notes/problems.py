"""Problem reports for release notes."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["NoteProblem", "ProblemKind"]


class ProblemKind(StrEnum):
    """Kinds of problems of a release note."""

    TOO_LARGE = "too-large"
    BAD_ENCODING = "bad-encoding"
    BAD_CHARACTER = "bad-character"
    TRUNCATED = "truncated"
    BAD_LINE = "bad-line"
    BAD_SECTION = "bad-section"
    REPEATED_SECTION = "repeated-section"
    REPEATED_OPTION = "repeated-option"
    UNKNOWN_OPTION = "unknown-option"
    MISSING_OPTION = "missing-option"
    BAD_VALUE = "bad-value"
    NOTHING_CHANGED = "nothing-changed"
    TOO_MANY_PROBLEMS = "too-many-problems"
    WRONG_REVISION = "wrong-revision"
    WRONG_PREDECESSOR = "wrong-predecessor"
    ALREADY_EXISTS = "already-exists"
    DOES_NOT_EXIST = "does-not-exist"
    UNKNOWN_ACCOUNT = "unknown-account"
    SERVICE_WITHOUT_UPSTREAMS = "service-without-upstreams"
    REPEATED_PREFIX = "repeated-prefix"
    REPEATED_ADDRESS = "repeated-address"


class NoteProblem(NamedTuple):
    """One problem of a release note.

    Parameters
    ----------
    kind : ProblemKind
        Kind of the problem.
    file : str
        Name of the file or value that was parsed.
    line : int
        Line number from 1; 0 if the problem has no line.
    section : str
        Name of the section; a key given in place of its digest is redacted.
    option : str
        Name of the option, or empty.
    seen : str
        Text or value found, truncated.
    allowed : str
        Description of what is allowed.
    """

    kind: ProblemKind
    file: str
    line: int
    section: str
    option: str
    seen: str
    allowed: str
