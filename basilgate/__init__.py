"""Layer-4 load balancer that keeps flows and requests whole while hosts change."""

__version__ = "0.1.0"
