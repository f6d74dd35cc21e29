"""What quotas over the whole fleet cost, and how well they hold."""

import json as json_lib
import sys

import attrs

from fireflyspindle.bench import quota_fleet
from fireflyspindle.core import published

# Customer "rosters": 73 organisations, by Zipf with exponent 1.2, each with a
# quota of 1.6 times its usual rate and the burst of one second.
ORGANISATIONS = 73
EXPONENT = 1.2
QUOTA_FACTOR = 1.6
# Requests per second that a host usually gets.
REQUESTS_PER_S_AND_HOST = 4.0
# Share of its quota that an organisation sends where it is not to be refused.
BELOW_QUOTA = 0.95
# Hosts that the clients of an organisation connect to, where these are few.
FEW_HOSTS = 3
# Load of one organisation in its worst seconds, relative to its usual rate.
OVERLOAD = 9.0
OVERLOAD_S = 8.0


@attrs.define(frozen=True)
class Result:
    """Figures of one load.

    Attributes:
        load: Name of the load.
        hosts: Number of hosts.
        requests: Number of requests.
        messages_per_request: Requests for permits per request.
        bytes_per_request: Their bytes, with replies and HTTP heads, per
            request.
        bytes_per_s_and_host: The same per second and host.
        refused_share: Refused requests as a share of all.
        worst_refused_share: The largest share of one organisation with at
            least 100 requests.
        mean_wait_ms: Mean time from arrival to sending.
        worst_excess: Largest number of requests of an organisation in a
            window, less the bound; below 0 where it holds.
    """

    load: str
    hosts: int
    requests: int
    messages_per_request: float
    bytes_per_request: float
    bytes_per_s_and_host: float
    refused_share: float
    worst_refused_share: float
    mean_wait_ms: float
    worst_excess: float


def quotas(
    *, hosts: int = 99, seconds: float = 20.0, seed: int = 1, json: bool = False
) -> int:
    """Measures quotas of organisations over all hosts in virtual time.

    Args:
        hosts: Number of gate hosts.
        seconds: Length of each load in virtual time.
        seed: Seed of the runs.
        json: Print one line of JSON per load.

    Returns:
        The exit status: 1 if a bound does not hold, 2 if an argument is out of
        bounds.
    """
    if not 3 <= hosts <= 2_000 or seconds <= 0:
        print(
            f"bench quotas: --hosts must be 3 to 2000, got {hosts}; --seconds"
            f" above 0, got {seconds}",
            file=sys.stderr,
        )
        return 2
    holds = True
    for load in ("usual", "below-few", "below-all", "overload"):
        result = measure(load, hosts, seconds, seed)
        holds = holds and result.worst_excess <= 0
        if json:
            print(json_lib.dumps(attrs.asdict(result)), flush=True)
            continue
        print(
            f"{load}: {result.requests} requests at {hosts} hosts,"
            f" {result.messages_per_request:.2f} messages and"
            f" {result.bytes_per_request:.0f} bytes a request,"
            f" {result.bytes_per_s_and_host:.0f} bytes/s a host,"
            f" refused {result.refused_share:.4f}, at worst"
            f" {result.worst_refused_share:.4f},"
            f" waited {result.mean_wait_ms:.1f} ms, worst window"
            f" {result.worst_excess:.0f} of the bound",
            flush=True,
        )
    return 0 if holds else 1


def measure(load: str, hosts: int, seconds: float, seed: int) -> Result:
    """Runs one load; "overload" adds much of one organisation to the usual."""
    organisations = _organisations(hosts)
    fleet = quota_fleet.QuotaFleet(hosts, organisations, seed)
    for organisation in organisations:
        callers = list(range(hosts))
        if load == "below-few":
            callers = fleet.random.sample(callers, FEW_HOSTS)
        share = 1 / QUOTA_FACTOR
        if load.startswith("below"):
            share = BELOW_QUOTA
        rate = share * organisation.requests_per_s
        fleet.offer(organisation.name, rate, callers, seconds)
    if load == "overload":
        usual_per_s = organisations[0].requests_per_s / QUOTA_FACTOR
        added_per_s = (OVERLOAD - 1) * usual_per_s
        callers = list(range(hosts))
        fleet.offer(organisations[0].name, added_per_s, callers, OVERLOAD_S)
    fleet.run(seconds + 1)
    return _result(load, hosts, seconds, fleet, organisations)


def _result(
    load: str,
    hosts: int,
    seconds: float,
    fleet: quota_fleet.QuotaFleet,
    organisations: list[published.Organisation],
) -> Result:
    tallies = fleet.tallies.values()
    runs = sum(len(tally.runs_us) for tally in tallies)
    refused = sum(sum(tally.errors.values()) for tally in tallies)
    requests = max(1, runs + refused)
    shares = [
        tally.refused_share
        for tally in tallies
        if len(tally.runs_us) + sum(tally.errors.values()) >= 100
    ]
    return Result(
        load=load,
        hosts=hosts,
        requests=runs + refused,
        messages_per_request=round(fleet.messages / requests, 3),
        bytes_per_request=round(fleet.bytes / requests, 1),
        bytes_per_s_and_host=round(fleet.bytes / seconds / hosts, 1),
        refused_share=round(refused / requests, 5),
        worst_refused_share=round(max(shares, default=0.0), 5),
        mean_wait_ms=round(
            sum(tally.wait_us for tally in tallies) / 1000 / max(1, runs), 2
        ),
        worst_excess=round(
            max(fleet.worst_excess(each) for each in organisations), 1
        ),
    )


def _organisations(hosts: int) -> list[published.Organisation]:
    weights = [(rank + 1) ** -EXPONENT for rank in range(ORGANISATIONS)]
    quota_per_s = QUOTA_FACTOR * REQUESTS_PER_S_AND_HOST * hosts
    return [
        quota_fleet.organisation(
            f"organisation-{rank}",
            quota_per_s * weight / sum(weights),
            quota_per_s * weight / sum(weights),
        )
        for rank, weight in enumerate(weights)
    ]
