"""Adapters between the core and the network, by aiohttp."""
