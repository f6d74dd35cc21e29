"""Adapters between the core and the network, built on aiohttp."""
