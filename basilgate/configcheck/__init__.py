"""Check of a configuration before it is sent to the store."""
