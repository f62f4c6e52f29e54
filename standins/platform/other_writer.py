"""Stand-in for a writer of registry entries that name no engine."""
import base64
import json

PREFIX = "servers/"
# Names that sort before those of the engines' entries, and after them.
NAMES = ("a+b", "+", "a b", "a&b", "a&after=z", "a#b", "a%zz", "a%2Bb", "%",
         "a?b", "a;b", "a=b", "a/../b", "a'b", 'a"b', "a\\b", "a\nb", "ä",
         "z+z", "z z", "z&z", "z#z", "z%z")
UNREADABLE = b"\x01\xff["
# Fields of items that cannot be read; None leaves a field out.
ITEMS = ({"value": 7}, {"value": None}, {"value": "%%%%"}, {"rev": None},
         {"rev": "x"}, {"deleted": "no"})
# Values that no field has, besides numbers for text and text for numbers.
ODD_FIELDS = (None, [], {}, True)


class OtherWriter:
    """Writes entries that name no engine."""

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

    def write_lookalikes(self, entry, prefix=PREFIX):
        """Writes entries like a sound one, each with one field missing or of
        another type. Returns their names."""
        values = [{name: value for name, value in entry.items()
                   if name != left_out} for left_out in entry]
        values += [{**entry, name: odd} for name, value in entry.items()
                   for odd in (*ODD_FIELDS,
                               7 if isinstance(value, str) else "7")]
        names = [f"k{number}" for number in range(len(values))]
        for name, value in zip(names, values):
            self.fleet.do(self.store.put, prefix + name,
                          json.dumps(value).encode())
        return names

    def write_copy(self, name, of, address):
        """Writes the value of an engine's entry, with another address."""
        value = json.loads(
            base64.b64decode(self.store.items[PREFIX + of]["value"]))
        value["address"] = address
        self.fleet.do(self.store.put, PREFIX + name,
                      json.dumps(value).encode())

    def remove(self, name, prefix=PREFIX):
        self.fleet.do(self.store.remove, prefix + name)
