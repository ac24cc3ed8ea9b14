"""Client accounts, their keys and the freshness of the configuration."""

from .concurrency import ConcurrencyLimit
from .evidence import Evidence, check_freshness, current_evidence, tick
from .freshness import (
    Freshness,
    apply_catalogue,
    record_peer_answer,
    record_platform_answer,
    update_instances,
)
from .identify import MAX_KEY_BYTES, check_admitted, identify
from .keys import PresentedKey, digest_of
from .messages import RevisionAnswer, RevisionQuestion
from .questions import QuestionState
from .suspension import check_not_suspended

__all__ = [
    "Evidence",
    "Freshness",
    "ConcurrencyLimit",
    "MAX_KEY_BYTES",
    "PresentedKey",
    "QuestionState",
    "RevisionAnswer",
    "RevisionQuestion",
    "check_freshness",
    "check_admitted",
    "check_not_suspended",
    "digest_of",
    "current_evidence",
    "update_instances",
    "identify",
    "record_peer_answer",
    "record_platform_answer",
    "apply_catalogue",
    "tick",
]
