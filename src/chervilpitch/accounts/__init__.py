"""Client accounts and their keys."""

from .concurrency import InProgress
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
from .messages import RevisionAnswer, RevisionQuestion
from .questions import QuestionState
from .suspension import check_not_suspended

__all__ = [
    "Evidence",
    "Freshness",
    "InProgress",
    "MAX_KEY_BYTES",
    "PresentedKey",
    "QuestionState",
    "RevisionAnswer",
    "RevisionQuestion",
    "check",
    "check_admitted",
    "check_not_suspended",
    "digest_of",
    "evidence",
    "follow_instances",
    "identify",
    "peer_heard",
    "platform_heard",
    "put_in_force",
    "tick",
]
