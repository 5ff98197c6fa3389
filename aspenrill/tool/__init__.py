"""Writes and checks an application's file, and prints the records that announce its front."""
