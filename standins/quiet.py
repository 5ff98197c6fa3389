"""What stand-in parts that say little have in common."""


class Quiet:
    """A part that says nothing."""

    topics, period = (), 0.5

    def on_start(self, now, view, stored):
        self.view = view
        return []

    def on_tick(self, now):
        return []

    def on_member(self, *_):
        return []

    on_entry = on_message = on_disk = on_leave = on_member
