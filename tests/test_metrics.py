"""Metrics and log lines of calls."""

import io
import json

import aiohttp
import logbook
import pytest

from fireflyspindle import headers
from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle import testing
from fireflyspindle.core import effects


def call_finished(tenant: str, total_us: int, target_us: int) -> object:
    return effects.CallFinished(
        call_id=1,
        tenant=tenant,
        traffic_class="read",
        target="10.0.0.1:1",
        outcome=effects.Outcome.COMPLETE,
        total_us=total_us,
        target_us=target_us,
        attempts=1,
    )


def lines(metrics: metrics_lib.Metrics) -> list[str]:
    return metrics.render()[0].decode().splitlines()


def test_added_time_excludes_time_at_the_target():
    metrics = metrics_lib.Metrics()
    metrics.on_call_finished(call_finished("bureau", 10_250, 10_000))
    metrics.on_call_finished(call_finished("bureau", 150, 50))
    labels = 'class="read",tenant="bureau"'
    found = {
        line.rpartition(" ")[0]: float(line.rpartition(" ")[2])
        for line in lines(metrics)
        if not line.startswith("#")
    }

    def value(name: str, extra: str = "") -> float:
        wanted = set(f"{labels}{extra}".split(","))
        for key, number in found.items():
            base, _, rest = key.partition("{")
            if base == name and set(rest.rstrip("}").split(",")) == wanted:
                return number
        raise AssertionError(name)

    bucket = "fireflyspindle_added_seconds_bucket"
    assert value(bucket, ',le="0.0001"') == 1
    assert value(bucket, ',le="0.0003"') == 2
    assert value(bucket, ',le="+Inf"') == 2
    assert value("fireflyspindle_target_seconds_sum") == pytest.approx(0.01005)
    assert value("fireflyspindle_call_seconds_sum") == pytest.approx(0.0104)
    assert value("fireflyspindle_outcomes_total", ',outcome="complete"') == 2


async def test_unconfigured_tenants_share_one_label(system):
    testing.publish(system.log, "tenant", "bureau", {})
    async with aiohttp.ClientSession() as session:
        for index in range(30):
            request_headers = {
                headers.TENANT: f"t{index}",
                headers.CLASS: f"c{index}",
            }
            async with session.get(
                f"{system.url}/dossier", headers=request_headers
            ):
                pass
        url = f"http://{system.gate.control_address}/metrics"
        async with session.get(url) as answer:
            text = await answer.text()
    tenants = {
        part.partition('"')[2].partition('"')[0]
        for line in text.splitlines()
        for part in line.replace("{", ",").split(",")
        if part.startswith("tenant=")
    }
    assert tenants == {"other"}
    assert 'fireflyspindle_state{name="configuration_offset"}' in text
    assert 'fireflyspindle_state{name="configuration_age_s"}' in text


@pytest.mark.parametrize(("level", "count"), [("DEBUG", 1), ("INFO", 0)])
async def test_call_is_logged_without_body_or_secret(system, level, count):
    output = io.StringIO()
    previous_level = logs.logger.level
    logs.logger.level = logbook.lookup_level(level)
    handler = logs.JsonLinesHandler(output, level)
    try:
        with handler.applicationbound():
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"{system.url}/dossier?secret=x",
                    data=b"the body",
                    headers={"Authorization": "hidden"},
                ) as answer,
            ):
                await answer.read()
                request_id = answer.headers[headers.REQUEST_ID]
    finally:
        logs.logger.level = previous_level
    found = [json.loads(line) for line in output.getvalue().splitlines()]
    calls = [line for line in found if line["message"] == "call finished"]
    assert len(calls) == count
    for call in calls:
        assert call["request_id"] == request_id
        assert call["outcome"] == "complete"
        assert call["total_us"] >= call["target_us"] > 0
    for word in ("secret", "hidden", "the body"):
        assert word not in output.getvalue()
