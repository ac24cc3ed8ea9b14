"""Manual clocks for tests."""


class Clock:
    """A clock that advances only when a test sets ``now_s``."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s
