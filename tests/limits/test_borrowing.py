"""Loans on the borrower's side."""

from chervilpitch.limits.borrowing import BorrowedLoan, Borrowing
from chervilpitch.limits.messages import Closing


def test_a_spent_loan_is_closed_with_nothing_unspent():
    borrowing = Borrowing("fitters", 0.0)
    borrowing.add(BorrowedLoan("n2", 7, 2.0, 3.0))
    assert borrowing.spend(3.0) == 0.0
    assert borrowing.pop_closings() == [("n2", Closing(7, "fitters", 0.0))]


def test_a_returned_loan_reports_its_unspent_tokens():
    borrowing = Borrowing("fitters", 0.0)
    borrowing.add(BorrowedLoan("n2", 7, 2.0, 3.0))
    borrowing.spend(1.0)
    borrowing.return_loans()
    assert borrowing.tokens(0.0) == 0.0
    assert borrowing.pop_closings() == [("n2", Closing(7, "fitters", 2.0))]


def test_a_refusal_requests_a_whole_token_despite_an_available_fraction():
    borrowing = Borrowing("fitters", 0.0)
    borrowing.record_refusal(1.0)
    assert (
        borrowing.tokens_to_request(available_tokens=0.95, rate_per_s=10.0, burst=10.0)
        >= 1.0
    )
