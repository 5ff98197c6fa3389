"""Engine discovery: watchers of the bulletin, of SRV records and of DNS-SD services."""
