"""Stand-ins for the platform, the targets, and the fabric, for tests and demos."""
