"""Layer-4 load balancer whose flows and requests survive changes of its hosts."""

__version__ = "0.1.0"
