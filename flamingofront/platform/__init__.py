"""Adapter for the users' platform: its names, formats and calls, and nothing that decides.

Everything that the platform sends is decoded here once, into types of the product.
"""
