"""The users' platform: its names, formats and calls, and nothing that decides.

Every name of the platform is decoded here into types of the core.
"""
