"""Decisions on new flows: which targets may get one, and when one is refused."""
