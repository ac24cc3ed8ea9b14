"""Logs: short sentences, each with the fixed prefix of its part."""

import logging
import re
import threading
from collections.abc import Callable, Collection, Mapping
from enum import StrEnum
from typing import Any, TextIO

import structlog

__all__ = ["LogFormat", "SecretRegister", "configure_logs", "part_logger"]

REDACTED = "[redacted]"
SECRET_NAME = re.compile(
    r"(?:^|[_-])(?:keys?|secrets?|tokens?|passwords?|authorization|cookies?)(?:$|[_-])",
    re.IGNORECASE,
)
SHORTEST_SECRET = 4

EventDict = Mapping[str, Any]


class LogFormat(StrEnum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


class SecretRegister:
    """Keys presented to this process, so that no log line shows one.

    The register holds them only while a request is served, in memory. Texts
    shorter than four characters are no keys and stay, since replacing them would
    garble every line.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def add(self, secret: str) -> None:
        """Keep a secret out of the logs until it is discarded as often."""
        if len(secret) < SHORTEST_SECRET:
            return
        with self._lock:
            self._counts[secret] = self._counts.get(secret, 0) + 1

    def discard(self, secret: str) -> None:
        """Forget a secret whose request has ended."""
        with self._lock:
            left = self._counts.pop(secret, 0) - 1
            if left > 0:
                self._counts[secret] = left

    def redact(self, text: str) -> str:
        """Return a text with every secret replaced."""
        with self._lock:
            secrets = sorted(self._counts, key=len, reverse=True)
        for secret in secrets:
            text = text.replace(secret, REDACTED)
        return text


class _Redactor:
    """Processor that replaces secrets in the fields of a log line."""

    def __init__(self, secrets: SecretRegister) -> None:
        self._secrets = secrets

    def __call__(self, logger: Any, method: str, event_dict: EventDict) -> EventDict:
        return {
            self._secrets.redact(str(name)): self._clean(str(name), value)
            for name, value in event_dict.items()
        }

    def _clean(self, name: str, value: Any) -> Any:
        if SECRET_NAME.search(name):
            return REDACTED
        if isinstance(value, Mapping):
            return {
                self._secrets.redact(str(n)): self._clean(str(n), v)
                for n, v in value.items()
            }
        if isinstance(value, (str, bytes)):
            return self._secrets.redact(_as_text(value))
        if isinstance(value, Collection):
            return [self._clean("", item) for item in value]
        if value is None or isinstance(value, (bool, int, float)):
            return value
        return self._secrets.redact(str(value))


def _as_text(value: str | bytes) -> str:
    return value.decode(errors="replace") if isinstance(value, bytes) else value


def _add_prefix(logger: Any, method: str, event_dict: EventDict) -> EventDict:
    """Put the part before the sentence."""
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
    """Return a factory of loggers, one per part.

    Parameters
    ----------
    stream : text file
        Where lines go.
    log_format : LogFormat
        Text or JSON.
    secrets : SecretRegister
        Secrets to keep out.
    level : int
        Least level written, as in the standard module ``logging``.

    Returns
    -------
    callable
        Takes the name of a part and gives its logger.

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
        The package, for example ``"limits"``.

    Returns
    -------
    structlog logger
        Its lines begin with the part.
    """
    return structlog.get_logger(part=part)
