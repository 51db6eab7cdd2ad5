"""Received data of a connection that its parser has not been given yet."""


class InputBuffer:
    """Data in the order of its receipt, taken in slices."""

    def __init__(self):
        self._data = b""
        self._position = 0
        # Whether the peer has closed; there may be data left before that.
        self.is_closed = False

    def __len__(self) -> int:
        """Return the number of bytes left."""
        return len(self._data) - self._position

    @property
    def is_at_end(self) -> bool:
        """Whether the peer has closed and all data was taken."""
        return self.is_closed and not self

    def add(self, data: bytes) -> None:
        """Add received data; none means that the peer has closed."""
        if not data:
            self.is_closed = True
        elif self:
            self._data = self._data[self._position :] + data
            self._position = 0
        else:
            self._data, self._position = data, 0

    def take(self, size: int) -> bytes:
        """Remove and return that many bytes, or what is left."""
        start, end = self._position, self._position + size
        if start == 0 and end >= len(self._data):
            data, self._data = self._data, b""
            return data
        data = self._data[start:end]
        self._position = end
        if end >= len(self._data):
            self._data, self._position = b"", 0
        return data
