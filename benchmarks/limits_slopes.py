"""Cost of the limits by the number of accounts in use, for docs/CAPACITY.md.

Run ``python -m benchmarks.limits_slopes``. Times are processor seconds of one core.
"""

import sys
import time

from chervilpitch.limits import admit, core, group_seats, home_seats
from chervilpitch.limits.state import LimitState
from chervilpitch.limits.witnesses import witness_seats
from chervilpitch.model import (
    EMPTY_CATALOGUE,
    ClientAccount,
    Instance,
    Send,
    Sender,
)

SEATS = 3_700
DOMAINS = 12
ACCOUNTS = 100_000


def seat_table():
    """Return 3,700 seats in four regions of three failure domains."""
    return {s: f"r{s % DOMAINS // 3}/d{s % 3}" for s in range(SEATS)}


def timed(action, times):
    """Return the processor seconds of one call of an action."""
    start_s = time.process_time()
    for number in range(times):
        action(number)
    return (time.process_time() - start_s) / times


def started_state(seats):
    """Return a state without tenure that borrows all its tokens."""
    names = (f"account-{number}" for number in range(ACCOUNTS))
    accounts = {name: ClientAccount(name, 5.0, 30.0) for name in names}
    catalogue = EMPTY_CATALOGUE._replace(revision=1, accounts=accounts, seats=seats)
    state = LimitState(Sender("n0", 1), 0)
    took_s = timed(lambda _: core.put_in_force(state, catalogue, 0.0), 1)
    print(f"put in force, {ACCOUNTS} accounts       {took_s * 1e3:9.1f} ms")
    changed = catalogue._replace(
        accounts=accounts | {"account-1": ClientAccount("account-1", 6.0, 30.0)}
    )
    took_s = timed(lambda _: core.put_in_force(state, changed, 0.0), 1)
    print(f"change of one account             {took_s * 1e3:9.1f} ms")
    names = {f"n{s}": Instance(f"n{s}", s, d, "", "") for s, d in seats.items()}
    core.follow_instances(state, names, 0.0)
    return state


def main():
    """Print the slopes."""
    seats = seat_table()
    groups = group_seats(seats)
    took_s = timed(lambda n: home_seats(f"account-{n}", groups), 100)
    print(f"homes of an account, once         {took_s * 1e6:9.1f} us")
    took_s = timed(lambda _: witness_seats(0, seats), 5)
    print(f"witnesses of a seat, once         {took_s * 1e3:9.1f} ms")
    state = started_state(seats)
    tick_at_s = [1.0]

    def tick(_):
        tick_at_s[0] += 0.05
        return core.tick(state, tick_at_s[0])

    for active in (0, 100, 400):
        for number in range(active):
            admit(state, f"account-{number}", tick_at_s[0])
        sends = [e for e in tick(0) if isinstance(e, Send)]
        took_s = timed(tick, 100)
        core_share = took_s / 0.05
        print(
            f"tick, {active:4} accounts in use        {took_s * 1e6:9.1f} us"
            f" = {100 * core_share:.2f} % of a core; first tick {len(sends)} messages"
        )
    took_s = timed(lambda _: admit(state, "account-1", tick_at_s[0]), 2_000)
    print(f"admission                         {took_s * 1e6:9.1f} us")
    borrowing = state.borrowings["account-1"]
    size = sys.getsizeof(borrowing) + sys.getsizeof(vars(borrowing))
    print(f"state of an account in use        {size:9} bytes and its loans")


if __name__ == "__main__":
    main()
