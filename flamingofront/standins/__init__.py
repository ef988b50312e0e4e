"""Stand-ins for the platform and the endpoints, for development and tests only."""

__all__ = []
