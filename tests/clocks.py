"""Clocks that a test sets."""


class Clock:
    """A clock that stands still until a test moves it."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s
