"""Structured logs, prefixed with the part that wrote them, without secrets."""

import logging
import re
import threading
from collections.abc import Callable, Collection, Mapping
from enum import StrEnum
from typing import Any, TextIO

import structlog

__all__ = ["LogFormat", "SecretRegister", "configure_logs", "part_logger"]

REDACTED = "[redacted]"
SECRET_NAME_PATTERN = re.compile(
    r"(?:^|[_-])(?:keys?|secrets?|tokens?|passwords?|authorization|cookies?)(?:$|[_-])",
    re.IGNORECASE,
)
MIN_SECRET_CHARACTERS = 4

EventDict = Mapping[str, Any]


class LogFormat(StrEnum):
    """Output format of log lines."""

    TEXT = "text"
    JSON = "json"


class SecretRegister:
    """Keys presented by callers, to be redacted in log lines.

    A key is held in memory only while a request that presented it is served. Texts
    shorter than ``MIN_SECRET_CHARACTERS`` are not redacted: they are not keys, and
    replacing them would make log lines unreadable.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def add(self, secret: str) -> None:
        """Redact a secret until :meth:`discard` was called as often as this method."""
        if len(secret) < MIN_SECRET_CHARACTERS:
            return
        with self._lock:
            self._counts[secret] = self._counts.get(secret, 0) + 1

    def discard(self, secret: str) -> None:
        """Release a secret after its request has ended."""
        with self._lock:
            remaining = self._counts.pop(secret, 0) - 1
            if remaining > 0:
                self._counts[secret] = remaining

    def redact(self, text: str) -> str:
        """Replace every registered secret in a text."""
        with self._lock:
            secrets = sorted(self._counts, key=len, reverse=True)
        for secret in secrets:
            text = text.replace(secret, REDACTED)
        return text


class _Redactor:
    """Structlog processor that redacts secrets in the fields of a log line."""

    def __init__(self, secrets: SecretRegister) -> None:
        self._secrets = secrets

    def __call__(self, logger: Any, method: str, event_dict: EventDict) -> EventDict:
        return {
            self._secrets.redact(str(name)): self._redact_value(str(name), value)
            for name, value in event_dict.items()
        }

    def _redact_value(self, name: str, value: Any) -> Any:
        if SECRET_NAME_PATTERN.search(name):
            return REDACTED
        if isinstance(value, Mapping):
            return {
                self._secrets.redact(str(n)): self._redact_value(str(n), v)
                for n, v in value.items()
            }
        if isinstance(value, (str, bytes)):
            return self._secrets.redact(_to_text(value))
        if isinstance(value, Collection):
            return [self._redact_value("", item) for item in value]
        if value is None or isinstance(value, (bool, int, float)):
            return value
        return self._secrets.redact(str(value))


def _to_text(value: str | bytes) -> str:
    return value.decode(errors="replace") if isinstance(value, bytes) else value


def _add_prefix(logger: Any, method: str, event_dict: EventDict) -> EventDict:
    """Prefix the event with the name of the part."""
    fields = dict(event_dict)
    part = fields.pop("part", "chervilpitch")
    fields["event"] = f"{part}: {fields['event']}"
    return fields


def configure_logs(
    stream: TextIO,
    log_format: LogFormat,
    secrets: SecretRegister,
    level: int = logging.INFO,
) -> Callable[[str], Any]:
    """Configure structlog and return a factory of loggers, one per part.

    Parameters
    ----------
    stream : text file
        Stream that log lines are written to.
    log_format : LogFormat
        Output format.
    secrets : SecretRegister
        Secrets to redact.
    level : int
        Minimum level, as in the standard module :mod:`logging`.

    Returns
    -------
    callable
        Takes the name of a part and returns its logger.

    Examples
    --------
    >>> import io
    >>> stream = io.StringIO()
    >>> logger = configure_logs(stream, LogFormat.JSON, SecretRegister())("limits")
    >>> logger.info("Tenure lost.", account="fitters")
    >>> '"event": "limits: Tenure lost."' in stream.getvalue()
    True
    """
    if log_format is LogFormat.JSON:
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _add_prefix,
            _Redactor(secrets),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=False,
    )
    return part_logger


def part_logger(part: str) -> Any:
    """Return the logger of a part.

    Parameters
    ----------
    part : str
        Name of the package, for example ``"limits"``.

    Returns
    -------
    structlog logger
        Logger whose lines begin with the part.
    """
    return structlog.get_logger(part=part)
