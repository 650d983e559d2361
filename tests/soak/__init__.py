"""Randomised soak test: real node processes with faults injected from outside."""
