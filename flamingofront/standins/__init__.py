"""Simulated platform services and endpoints, for development and tests only."""

__all__ = []
