"""Serving system for language model and application requests on reclaimable VMs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
