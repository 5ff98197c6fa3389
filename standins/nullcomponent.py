"""Base class of simulated components that react to little."""


class NullComponent:
    """A component without effects."""

    topics, period = (), 0.5

    def on_start(self, now, view, stored):
        """See Part; keeps the view."""
        self.view = view
        return []

    def on_tick(self, now):
        """See Part."""
        return []

    def on_member(self, *_):
        """See Part."""
        return []

    on_entry = on_message = on_disk = on_leave = on_member
