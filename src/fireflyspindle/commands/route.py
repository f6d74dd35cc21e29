"""The command that asks a gate host where it would send a request."""

import json as json_lib
import sys
from typing import Any

from fireflyspindle.commands import records
from fireflyspindle.commands import status


def route(
    method: str,
    url: str,
    *,
    organisation: str = "",
    host: str = records.DEFAULT_CONTROL_ADDRESS,
    json: bool = False,
) -> int:
    """Shows where a gate host would send a request now, and why.

    Nothing is sent, and no permit, probe or budget is used. The token of your
    team is read from the environment variable FIREFLYSPINDLE_TOKEN; gate hosts
    on the platform need none.

    Args:
        method: Method of the request, such as GET.
        url: URL of the request.
        organisation: Name of the organisation that sends it.
        host: Control address of the gate host.
        json: Print one line of JSON.

    Returns:
        The exit status: 1 if the request would be refused.
    """
    query = {"method": method, "url": url}
    if organisation:
        query["organisation"] = organisation

    async def operation(client: records.Client) -> int:
        response = await client.get("/route", **query)
        return _print(response, as_json=json)

    return records.run_with_client(host, operation, option="--host")


def _print(response: records.Response, *, as_json: bool) -> int:
    content = response.content
    if not response.ok:
        print(content.get("detail", content), file=sys.stderr)
        if response.http_status == 400:
            return status.USAGE_ERROR
        return status.FAILURE
    refused = content["decision"] == "refused"
    if as_json:
        print(json_lib.dumps(content))
    elif refused:
        print(
            f"refused with {content['status']} {content['error']}:"
            f" {content['detail']}",
            file=sys.stderr,
        )
    else:
        print("\n".join(_lines(content)))
    return status.FAILURE if refused else status.SUCCESS


def _lines(content: dict[str, Any]) -> list[str]:
    """Returns the text of a decision other than a refusal."""
    match content["decision"]:
        case "sent":
            decision = f"would be sent to {content['address']}"
        case "relayed":
            decision = f"would be relayed to gate host {content['address']}"
        case "probes":
            decision = f"would first probe {', '.join(content['probed'])}"
        case _:
            decision = "would wait"
    route_name = content["route"] or "-"
    lines = [
        f"{decision}: {content['detail']}",
        f"  host {content['host']}, configuration {content['configuration']},"
        f" route {route_name}, service {content['service']}",
    ]
    if content["decision"] == "probes" and content["address"]:
        lines.append(f"  without newer reports: {content['address']}")
    lines += [_candidate_line(each) for each in content["candidates"]]
    return lines


def _candidate_line(candidate: dict[str, Any]) -> str:
    age_ms = candidate["report_age_ms"]
    report = f"{age_ms} ms ago" if age_ms is not None else "never"
    slots = "a free slot" if candidate["has_free_slot"] else "no free slot"
    return (
        f"  {candidate['address']} ({candidate['failure_domain'] or '-'}):"
        f" answer expected in {candidate['expected_ms']:g} ms, {slots} of"
        f" {candidate['slots']}, {candidate['in_flight']} own and"
        f" {candidate['others_in_flight']} other requests, slowdown"
        f" {candidate['slowdown']:g}, last report {report}"
    )
