"""Admission of requests while a service is short of capacity."""

from .level import PRIORITY_CLASSES, AdmissionLevel, AdmissionRequest
from .priority import effective_priority

__all__ = [
    "PRIORITY_CLASSES",
    "AdmissionLevel",
    "AdmissionRequest",
    "effective_priority",
]
