"""Tasks, waits and sockets: greenlet over select.poll."""
