"""Tests of the document versions in load reports."""

from types import SimpleNamespace

from reactivex.subject import Subject

from sesamepost.internal.balance.load_table import LoadTable
from sesamepost.internal.balance.reports import read_report
from sesamepost.internal.daemon.reporting import (
    PARTIAL_REPORTS_BETWEEN_FULL,
    Reporter,
)
from sesamepost.internal.documents.views import CONTROLLER_DOCUMENT
from sesamepost.internal.identity import NodeId

NODE = NodeId("vm-a", 1)


class FakeLink:
    """Records the reports sent to the controller."""

    def __init__(self):
        self.sent = []
        self.reached_controller = True

    def send(self, report):
        self.sent.append(read_report(report))


def reporter_with(versions):
    views = SimpleNamespace(changed=Subject(), fleet=[], in_force=versions)
    dispatcher = SimpleNamespace(
        endpoints={}, releases=SimpleNamespace(released=lambda: [])
    )
    link = FakeLink()
    return Reporter(NODE, views, dispatcher, link), views, link


def report(reporter, link, now):
    reporter.next_report = 0.0
    reporter.tick(now)
    return link.sent[-1].versions


def test_a_report_lists_only_the_versions_that_changed():
    # Guards against 480 nodes that send all 35 versions in every report.
    versions = {"settings/a": 1, "settings/b": 1}
    reporter, _, link = reporter_with(versions)
    assert report(reporter, link, 1.0) == versions
    versions["settings/a"] = 2
    assert report(reporter, link, 2.0) == {"settings/a": 2}
    assert report(reporter, link, 3.0) == {}


def test_all_versions_are_reported_after_a_new_controller_a_failure_or_many_reports():
    # Guards against a controller that never receives a version because the report that
    # contained it was lost or sent to another controller.
    versions = {"settings/a": 1}
    reporter, views, link = reporter_with(versions)
    report(reporter, link, 1.0)
    views.changed.on_next(CONTROLLER_DOCUMENT)
    assert report(reporter, link, 2.0) == versions
    link.reached_controller = False
    assert report(reporter, link, 3.0) == versions
    link.reached_controller = True
    later = [
        report(reporter, link, 4.0 + n) for n in range(PARTIAL_REPORTS_BETWEEN_FULL + 1)
    ]
    assert later.count(versions) == 1


def test_the_controller_adds_reported_versions_to_those_known():
    # Guards against treating a node as outdated after a report with only some versions.
    versions = {"settings/a": 1, "settings/b": 1}
    reporter, _, link = reporter_with(versions)
    report(reporter, link, 1.0)
    versions["settings/a"] = 2
    report(reporter, link, 2.0)
    table = LoadTable()
    for load in link.sent:
        table.receive(load, 3.0)
    assert table.reports[NODE].load.versions == {"settings/a": 2, "settings/b": 1}
