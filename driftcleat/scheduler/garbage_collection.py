"""Keys of the store that are no job's record: notes of cached images, and keys that are left over."""

from functools import partial

from driftcleat import wire
from driftcleat.cluster import Batch, Machine
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.store.keys import MACHINE_IMAGES_PREFIX
from driftcleat.store.records import MachineImagesRecord


class GarbageCollector:
    """What is written or removed only when the store has changes to spare."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster, self._layout = context.cluster, context.layout
        self.obsolete_keys: list[str] = []
        self.pending_puts: dict[str, object] = {}
        # The images that the note of each machine names, or will name.
        self._noted: dict[str, tuple[str, ...]] = {}

    @property
    def pending(self) -> bool:
        """Whether there is anything to write or to remove."""
        return bool(self.obsolete_keys or self.pending_puts)

    def append_to(self, batch: Batch) -> None:
        """Put as much as fits into a batch."""
        while self.obsolete_keys and batch.has_room_for_keys():
            key = self.obsolete_keys.pop()
            batch.delete(key)
            batch.on_discard.append(partial(self.obsolete_keys.append, key))
        while self.pending_puts and batch.has_room_for_keys():
            key, value = self.pending_puts.popitem()
            batch.put(key, value)
            batch.on_discard.append(partial(self.pending_puts.__setitem__, key, value))

    def record_images(self, machine: Machine) -> None:
        """Keep what a machine has cached: a new leader would otherwise fetch it all again elsewhere."""
        images = [
            (image, size_gb) for image, size_gb in machine.cached_images.items() if image in machine.fetched_images
        ]
        while len(wire.encode(MachineImagesRecord(images))) > self._layout.value_bytes:
            images = images[1 + len(images) // 8 :]
        names = tuple(sorted(image for image, _ in images))
        if names != self._noted.get(machine.name):
            self._noted[machine.name] = names
            self.pending_puts[MACHINE_IMAGES_PREFIX + machine.name] = MachineImagesRecord(images)

    def forget_images(self, name: str) -> None:
        """A machine is gone; so is what it had cached."""
        self._cluster.image_hints.pop(name, None)
        self.pending_puts.pop(MACHINE_IMAGES_PREFIX + name, None)
        if self._noted.pop(name, None) is not None:
            self.obsolete_keys.append(MACHINE_IMAGES_PREFIX + name)

    def restore_images(self, name: str, record: MachineImagesRecord) -> None:
        """Take in a machine's images as an earlier leader noted them."""
        self._cluster.image_hints[name] = record.images
        self._noted[name] = tuple(sorted(image for image, _ in record.images))
