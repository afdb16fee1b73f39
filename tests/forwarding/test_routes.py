"""Routing by host and path, and the shares of a split."""

from sesamepost.internal.forwarding.routes import (
    Route,
    RoutingSettings,
    Share,
    SplitSelector,
)


def route(prefix: str, *shares: Share, host: str = "a.example") -> Route:
    shares = shares or (Share("s", 1.0),)
    return Route(prefix, host, prefix, True, 1.0, 0.5, 2, 1, shares)


def test_the_longest_prefix_of_the_host_wins():
    routes = (route("/"), route("/a/"), route("/a/b/"), route("/a/", host="b.example"))
    index = RoutingSettings(1, routes, {}).index()
    assert index.find("a.example", "/a/b/c").prefix == "/a/b/"
    assert index.find("A.EXAMPLE", "/a/bc").prefix == "/a/"
    assert index.find("a.example", "/x").prefix == "/"
    assert index.find("b.example", "/a/b/c").prefix == "/a/"
    assert index.find("b.example", "/b") is None
    assert index.find("c.example", "/a/") is None


def test_the_shares_of_a_split_are_accurate_over_short_periods():
    # Guards against shares that deviate more than the operator allows.
    split = route("/a/", Share("s", 90.0), Share("t", 10.0))
    selector = SplitSelector()
    selected = [selector.select(split) for _ in range(100)]
    assert 9 <= selected.count("t") <= 11


def test_a_share_without_weight_gets_nothing():
    split = route("/a/", Share("s", 0.0), Share("t", 5.0))
    selector = SplitSelector()
    assert {selector.select(split) for _ in range(20)} == {"t"}
