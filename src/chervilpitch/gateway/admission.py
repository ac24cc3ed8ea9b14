"""Admission levels of the services on this instance, with their log lines."""

import random

from chervilpitch.model import RefusalKind
from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    PRIORITY_CLASSES,
    AdmissionLevel,
    AdmissionRequest,
    retry_after_s,
)

__all__ = ["AdmissionControl"]

log = part_logger("admission")

LOG_INTERVAL_S = 1.0
"""Minimum time between two lines on the level of one service."""


class _LoggedLevel:
    """Level of a service that was logged last."""

    def __init__(self) -> None:
        self.number = PRIORITY_CLASSES
        self.next_at_s = float("-inf")


class AdmissionControl:
    """Admission levels by service, or the overload rule alone without them.

    Levels are soft state that begins empty.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    has_levels : bool
        Whether services have admission levels.
    """

    def __init__(self, clock, has_levels: bool):
        self._clock = clock
        self._has_levels = has_levels
        # An iterator without an end, as random.random never returns None.
        self._draws = iter(random.random, None)
        self._levels: dict[str, AdmissionLevel] = {}
        self._logged: dict[str, _LoggedLevel] = {}

    def refusal(self, service: str, request: AdmissionRequest) -> RefusalKind | None:
        """Count a request for a service; return why it is refused, or None."""
        if not self._has_levels:
            return RefusalKind.NO_SLOT if request.is_overloaded else None
        now_s = self._clock()
        level = self._level(service)
        refusal = level.refusal(request, self._draws, now_s)
        self._log_change(service, level, now_s)
        return refusal

    def admits_retry(self, service: str, priority: int) -> bool:
        """Return whether a request may be sent to another upstream."""
        if not self._has_levels:
            return True
        return self._level(service).admits_retry(priority, self._draws, self._clock())

    def retry_after_s(
        self, service: str, refusal: RefusalKind, request: AdmissionRequest | None
    ) -> float:
        """Return the delay in seconds after which a refused request may be retried.

        Parameters
        ----------
        service : str
            Name of the service.
        refusal : RefusalKind
            Why the request was refused.
        request : AdmissionRequest or None
            The request; None if no upstream was usable.
        """
        if not self._has_levels:
            return retry_after_s(refusal) * (0.5 + random.random())
        return self._level(service).retry_after_s(
            refusal, request, random.random(), self._clock()
        )

    def record_served(self, service: str) -> None:
        """Record a response of an upstream of a service."""
        if self._has_levels:
            self._level(service).record_served(self._clock())

    def record_shed(self, service: str) -> None:
        """Record that an upstream of a service shed a request, being full."""
        if self._has_levels:
            self._level(service).record_shed(self._clock())

    def numbers(self) -> dict[str, int]:
        """Return the most urgent priority of which requests are refused, by service.

        It is the number of priorities for a service that is not short of capacity.
        """
        now_s = self._clock()
        return {name: level.number(now_s) for name, level in self._levels.items()}

    def _level(self, service) -> AdmissionLevel:
        level = self._levels.get(service)
        if level is None:
            level = self._levels[service] = AdmissionLevel()
            self._logged[service] = _LoggedLevel()
        return level

    def _log_change(self, service, level, now_s):
        number = level.number(now_s)
        logged = self._logged[service]
        if number == logged.number or now_s < logged.next_at_s:
            return
        log.info(
            "Admission level changed.",
            service=service,
            level=number,
            before=logged.number,
            shares=[
                round(level.share(priority, now_s), 2)
                for priority in range(PRIORITY_CLASSES)
            ],
        )
        logged.number = number
        logged.next_at_s = now_s + LOG_INTERVAL_S
