"""Stand-ins of the platform, servers and clients for the review's cases."""
