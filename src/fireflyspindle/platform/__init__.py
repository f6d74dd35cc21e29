"""Adapter to the platform: its names, formats and calls.

Platform data is decoded here into types of the core, which makes all
decisions.
"""
