"""Previews of where a request would be sent, for operators."""
