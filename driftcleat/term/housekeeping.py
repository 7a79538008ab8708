"""Keys of the store that are no job's record: notes of cached images, and keys that are left over."""

from functools import partial

from driftcleat import wire
from driftcleat.model import Batch, Machine
from driftcleat.store.records import MACHINES, MachineRecord

from .context import TermContext


class Housekeeping:
    """What is written or removed only when the store has changes to spare."""

    def __init__(self, context: TermContext) -> None:
        self._cluster, self._layout = context.cluster, context.layout
        self.garbage: list[str] = []
        self.notes: dict[str, object] = {}
        # The images that the note of each machine names, or will name.
        self._noted: dict[str, tuple[str, ...]] = {}

    @property
    def pending(self) -> bool:
        """Whether there is anything to write or to remove."""
        return bool(self.garbage or self.notes)

    def take(self, batch: Batch) -> None:
        """Put as much as fits into a batch."""
        while self.garbage and batch.has_room_for_keys():
            key = self.garbage.pop()
            batch.remove(key)
            batch.undo.append(partial(self.garbage.append, key))
        while self.notes and batch.has_room_for_keys():
            key, value = self.notes.popitem()
            batch.put(key, value)
            batch.undo.append(partial(self.notes.__setitem__, key, value))

    def note_images(self, machine: Machine) -> None:
        """Keep what a machine has cached: a new leader would otherwise fetch it all again elsewhere."""
        images = [(image, size_gb) for image, size_gb in machine.images.items() if image in machine.fetched]
        while len(wire.encode(MachineRecord(images))) > self._layout.value_bytes:
            images = images[1 + len(images) // 8 :]
        names = tuple(sorted(image for image, _ in images))
        if names != self._noted.get(machine.name):
            self._noted[machine.name] = names
            self.notes[MACHINES + machine.name] = MachineRecord(images)

    def forget_images(self, name: str) -> None:
        """A machine is gone; so is what it had cached."""
        self._cluster.known_images.pop(name, None)
        self.notes.pop(MACHINES + name, None)
        if self._noted.pop(name, None) is not None:
            self.garbage.append(MACHINES + name)

    def restore_images(self, name: str, record: MachineRecord) -> None:
        """Take in a machine's images as an earlier leader noted them."""
        self._cluster.known_images[name] = record.images
        self._noted[name] = tuple(sorted(image for image, _ in record.images))
