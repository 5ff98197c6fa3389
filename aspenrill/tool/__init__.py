"""Writes and checks an application's file, queries its sources and prints its DNS-SD records."""
