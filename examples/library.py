"""Runs a gate host inside this program, in front of two stand-in targets."""

import asyncio

import aiohttp

from fireflyspindle import testing


async def main() -> None:
    """Sends one request through the gate host and prints the response."""
    async with testing.StandInSystem() as system:
        addresses = [
            await system.add_target(testing.StandInTarget(f"target-{number}"))
            for number in (1, 2)
        ]
        targets = [{"address": address} for address in addresses]
        testing.publish(system.log, "service", "quotes", {"targets": targets})
        testing.publish(
            system.log,
            "route",
            "quotes",
            {"path_prefix": "/quotes", "service": "quotes"},
        )
        gate = await system.add_gate("gate-1")
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{gate.callers_address}/quotes/7") as response,
        ):
            print(response.headers["Fireflyspindle-Outcome"])
            print(await response.text())


if __name__ == "__main__":
    asyncio.run(main())
