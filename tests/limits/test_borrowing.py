"""Loans on the receiver's side."""

from chervilpitch.limits.borrowing import BorrowedLoan, Borrowing
from chervilpitch.limits.messages import Closing


def test_a_spent_loan_is_closed_with_nothing_unspent():
    borrowing = Borrowing("fitters", 0.0)
    borrowing.add(BorrowedLoan("n2", 7, 2.0, 3.0))
    assert borrowing.spend(3.0) == 0.0
    assert borrowing.take_closings() == [("n2", Closing(7, "fitters", 0.0))]


def test_loans_handed_back_name_the_unspent_tokens():
    borrowing = Borrowing("fitters", 0.0)
    borrowing.add(BorrowedLoan("n2", 7, 2.0, 3.0))
    borrowing.spend(1.0)
    borrowing.hand_back()
    assert borrowing.tokens(0.0) == 0.0
    assert borrowing.take_closings() == [("n2", Closing(7, "fitters", 2.0))]


def test_a_refused_request_asks_for_a_whole_token_beside_a_fraction_at_hand():
    borrowing = Borrowing("fitters", 0.0)
    borrowing.miss(1.0)
    assert borrowing.need(on_hand=0.95, rate_per_s=10.0, burst=10.0) >= 1.0
