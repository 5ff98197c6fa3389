"""Answers kept for some seconds, and served again only while that is known to be true."""
