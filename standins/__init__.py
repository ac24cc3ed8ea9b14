"""Stand-ins for the systems outside the fleet, for tests and demonstrations."""
