"""Randomized soak of the node: real processes, faults injected from outside."""
