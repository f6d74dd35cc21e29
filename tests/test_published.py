"""Published rules: longest-prefix match and traffic splits."""

import pytest

from fireflyspindle.core import published
import published_driver as published_host


def table_of(*rules):
    table = published.RuleTable()
    table.replace_rules(published_host.document(rules=rules))
    return table


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/", "short"),
        ("h.example", "/a/x", "short"),
        ("h.example", "/a/b/x/y", "long"),
        ("h.example", "/a/b", "short"),
        ("h.example", "/a", None),
        ("h.example", "/other/x", None),
        ("h.example", "*", None),
        ("g.example", "/a/x", "elsewhere"),
        ("unknown.example", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host_matches(host, path, name):
    table = table_of(
        published_host.rule("short", prefix="/a/"),
        published_host.rule("long", prefix="/a/b/"),
        published_host.rule("elsewhere", prefix="/", host="g.example"),
    )
    matched_rule = table.find(host, path)
    assert (matched_rule.name if matched_rule else None) == name


@pytest.mark.parametrize("start", [0.0, 0.37, 0.999])
@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (100, 0), (5, 3)])
def test_split_matches_its_weights_over_few_calls(weights, start):
    parts = tuple(
        published.Part(f"s{number}", weight)
        for number, weight in enumerate(weights)
    )
    rule = published_host.rule(parts=parts)
    table = table_of(rule)
    calls = 100
    services = [table.choose_part(rule, start).service for _ in range(calls)]
    for part in parts:
        share = services.count(part.service) / calls
        assert share == pytest.approx(part.weight / sum(weights), abs=0.03)


def test_split_position_is_kept_across_versions():
    parts = (published.Part("a", 1), published.Part("b", 1))
    rule = published_host.rule(parts=parts)
    table = table_of(rule)
    previous_service = table.choose_part(rule, 0.0).service
    table.replace_rules(published_host.document(version=2, rules=[rule]))
    assert {previous_service, table.choose_part(rule, 0.0).service} == {
        "a",
        "b",
    }
