"""Quotas of organisations that hold over all gate hosts."""
