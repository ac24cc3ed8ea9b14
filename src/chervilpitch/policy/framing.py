"""Bounds on the pieces of a message, apart from its size.

Parsing costs time for each piece, however small. A message in tiny pieces, or with
headers before the header, can therefore hold up an instance without being large.
"""

__all__ = ["FramingAllowance", "ParsingTurn"]

MAX_INTERIM_RESPONSES = 16
MAX_SMALL_PIECES = 4_096
MIN_MEAN_PIECE_BYTES = 64
"""Mean size of the pieces behind the first ``MAX_SMALL_PIECES``."""
MAX_FRAMING_BYTES = 1_048_576
"""Bytes received beyond twice the body: headers, and the framing of pieces."""
MAX_EVENTS_PER_TURN = 32


class FramingAllowance:
    """Pieces and bytes of one message, and whether they are more than a sound one has.

    Examples
    --------
    >>> allowance = FramingAllowance()
    >>> allowance.add_piece(1_000_000)
    >>> allowance.is_exceeded
    False
    >>> for _ in range(30_000):
    ...     allowance.add_piece(2)
    >>> allowance.is_exceeded
    True
    """

    def __init__(self) -> None:
        self._received_bytes = 0
        self._body_bytes = 0
        self._pieces = 0
        self._interim_responses = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether there are more than a sound message has."""
        small_pieces = self._pieces - self._body_bytes // MIN_MEAN_PIECE_BYTES
        framing_bytes = self._received_bytes - 2 * self._body_bytes
        return (
            small_pieces > MAX_SMALL_PIECES
            or framing_bytes > MAX_FRAMING_BYTES
            or self._interim_responses > MAX_INTERIM_RESPONSES
        )

    def add_received(self, size_bytes: int) -> None:
        """Count bytes that were parsed, framing included."""
        self._received_bytes += size_bytes

    def add_piece(self, size_bytes: int) -> None:
        """Count a piece of the body."""
        self._pieces += 1
        self._body_bytes += size_bytes

    def add_interim_response(self) -> None:
        """Count an interim response, which precedes the final one."""
        self._interim_responses += 1


class ParsingTurn:
    """Events parsed in one go, so that other tasks run after a number of them.

    Examples
    --------
    >>> turn = ParsingTurn()
    >>> sum(turn.take() for _ in range(2 * MAX_EVENTS_PER_TURN))
    2
    """

    def __init__(self) -> None:
        self._events = 0

    def take(self) -> bool:
        """Count an event, and return whether other tasks are to run now."""
        self._events += 1
        if self._events < MAX_EVENTS_PER_TURN:
            return False
        self._events = 0
        return True

    def reset(self) -> None:
        """Begin anew, as other tasks have run."""
        self._events = 0
