"""Organisations: API keys and the proof that they are current."""
