"""Client accounts and their keys."""

from .evidence import Evidence, check, evidence, tick
from .freshness import (
    Freshness,
    follow_instances,
    peer_heard,
    platform_heard,
    put_in_force,
)
from .identify import MAX_KEY_BYTES, check_admitted, identify
from .keys import PresentedKey, digest_of

__all__ = [
    "Evidence",
    "Freshness",
    "MAX_KEY_BYTES",
    "PresentedKey",
    "check",
    "check_admitted",
    "digest_of",
    "evidence",
    "follow_instances",
    "identify",
    "peer_heard",
    "platform_heard",
    "put_in_force",
    "tick",
]
