"""Counters of admitted requests and the reports of others on them."""

from chervilpitch.policy import AccountUsage, ReportedUsage, UsageCounters


def test_reports_count_increases_since_the_first_one():
    total = UsageCounters()
    reports = ReportedUsage(total)
    reports.add("a", (AccountUsage("fitters", 100),))
    reports.add("a", (AccountUsage("fitters", 104),))
    reports.add("a", (AccountUsage("fitters", 102),))
    assert total.take_unsent() == (AccountUsage("fitters", 4),)


def test_a_late_older_report_is_not_counted_again():
    total = UsageCounters()
    reports = ReportedUsage(total)
    for admitted in (100, 104, 102, 104):
        reports.add("a", (AccountUsage("fitters", admitted),))
    assert total.take_unsent() == (AccountUsage("fitters", 4),)


def test_first_report_of_a_later_instance_counts_in_full():
    total = UsageCounters()
    reports = ReportedUsage(total)
    reports.add("a", (AccountUsage("fitters", 7),), started_no_earlier=True)
    assert total.take_unsent() == (AccountUsage("fitters", 7),)


def test_only_changed_counters_are_returned_until_all_are_asked_for():
    counters = UsageCounters()
    counters.add("fitters", 3)
    counters.add("clerks")
    assert len(counters.take_unsent()) == 2
    counters.add("clerks")
    assert counters.unsent == {"clerks"}
    assert counters.take_unsent() == (AccountUsage("clerks", 2),)
    counters.mark_all_unsent()
    expected = (AccountUsage("clerks", 2), AccountUsage("fitters", 3))
    assert counters.take_unsent() == expected
