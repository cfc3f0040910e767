"""Experiments over the stand-ins: demo, load tool, soak, benchmarks, capacity."""
