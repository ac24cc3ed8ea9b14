"""Outcomes of requests and at-most-once execution."""

from .answers import (
    GO_TO_HEADER,
    REFUSAL_HEADER,
    REPLAYED_HEADER,
    RUN_HEADER,
    STATUS_BY_KIND,
    TICKET_HEADER,
    RefusalBody,
    Reply,
    before_ticket,
    refusal_reply,
    replay,
)
from .at_most_once import begin, finish, follow_instances, grant, refuse, tick
from .digests import request_digest
from .hand_over import hand_over, has_open_tickets, receive, seal_unused
from .messages import FinalOutcomes, FinalRecord
from .outcomes import Answered, NotRun, Outcome, Unknown, select_headers
from .records import MAX_BODY_BYTES, FirstRun, Recorded, Records
from .retries import Attempt, FailureStage, RetryBudget, RetryDenial, may_retry
from .tickets import Ticket, issue, verify

__all__ = [
    "Answered",
    "Attempt",
    "FailureStage",
    "FinalOutcomes",
    "FinalRecord",
    "FirstRun",
    "GO_TO_HEADER",
    "MAX_BODY_BYTES",
    "NotRun",
    "Outcome",
    "REFUSAL_HEADER",
    "REPLAYED_HEADER",
    "RUN_HEADER",
    "Recorded",
    "Records",
    "RefusalBody",
    "Reply",
    "RetryBudget",
    "RetryDenial",
    "STATUS_BY_KIND",
    "TICKET_HEADER",
    "Ticket",
    "Unknown",
    "before_ticket",
    "begin",
    "finish",
    "follow_instances",
    "grant",
    "hand_over",
    "has_open_tickets",
    "issue",
    "may_retry",
    "receive",
    "refusal_reply",
    "refuse",
    "replay",
    "request_digest",
    "seal_unused",
    "select_headers",
    "tick",
    "verify",
]
