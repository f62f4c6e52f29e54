"""Stand-in for a writer of registry entries that name no engine."""

PREFIX = "servers/"
# Names that sort before those of the engines' entries, and after them.
NAMES = ("a+b", "+", "a b", "a&b", "a&after=z", "a#b", "a%zz", "a%2Bb", "%",
         "a?b", "a;b", "a=b", "a/../b", "a'b", 'a"b', "a\\b", "a\nb", "ä",
         "z+z", "z z", "z&z", "z#z", "z%z")
UNREADABLE = b"\x01\xff["
# Fields of items that cannot be read; None leaves a field out.
ITEMS = ({"value": 7}, {"value": None}, {"value": "%%%%"}, {"rev": None},
         {"rev": "x"}, {"deleted": "no"})


class OtherWriter:
    """Writes entries whose values cannot be read."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.store = fleet.store

    def write(self, name, length=len(UNREADABLE), prefix=PREFIX):
        value = UNREADABLE.ljust(length, b"[")
        self.fleet.do(self.store.put, prefix + name, value)

    def write_item(self, name, fields, prefix=PREFIX):
        """Writes an item with odd fields."""
        self.write(name, prefix=prefix)
        item = {**self.store.items[prefix + name], **fields}
        self.store.items[prefix + name] = {
            field: value for field, value in item.items() if value is not None}

    def remove(self, name, prefix=PREFIX):
        self.fleet.do(self.store.remove, prefix + name)
