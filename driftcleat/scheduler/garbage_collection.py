"""Deferred writes: keys of the store that are no job's record, written or deleted once there are writes to spare."""

from collections.abc import Iterable
from functools import partial

from driftcleat import wire
from driftcleat.cluster import Batch, Machine
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.store.keys import MACHINE_IMAGES_PREFIX
from driftcleat.store.records import MachineImagesRecord

# While a machine's image record is above the store's limit, its first images are left out, one in so many at a time.
IMAGES_TRIM_DIVISOR = 8


class GarbageCollector:
    """Deletes obsolete keys, and keeps the records of cached images up to date."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster = context.cluster
        self._layout = context.layout
        self._obsolete_keys: list[str] = []
        self._pending_puts: dict[str, object] = {}
        # The names of the images in each machine's record, as stored or about to be.
        self._recorded_images: dict[str, tuple[str, ...]] = {}

    @property
    def pending(self) -> bool:
        """Whether there is anything to put or to delete."""
        return bool(self._obsolete_keys or self._pending_puts)

    def put_later(self, key: str, value: object) -> None:
        """Put a key in one of the next batches; a value that is still pending for it is replaced."""
        self._pending_puts[key] = value

    def delete_later(self, keys: Iterable[str]) -> None:
        """Delete obsolete keys in the next batches that have room."""
        self._obsolete_keys.extend(keys)

    def cancel_deletes(self, prefix: str) -> None:
        """Keep the keys with this prefix: they are about to be written anew."""
        self._obsolete_keys[:] = [key for key in self._obsolete_keys if not key.startswith(prefix)]

    def append_to(self, batch: Batch) -> None:
        """Append as many deletes and puts as the batch has room for."""
        while self._obsolete_keys and batch.has_room_for_keys():
            key = self._obsolete_keys.pop()
            batch.delete(key)
            batch.on_discard.append(partial(self._obsolete_keys.append, key))
        while self._pending_puts and batch.has_room_for_keys():
            key, value = self._pending_puts.popitem()
            batch.put(key, value)
            batch.on_discard.append(partial(self.put_later, key, value))

    def record_images(self, machine: Machine) -> None:
        """Record what a machine has cached: a new leader would otherwise have it all fetched again elsewhere."""
        images = [
            (image, size_gb) for image, size_gb in machine.cached_images.items() if image in machine.fetched_images
        ]
        while len(wire.encode(MachineImagesRecord(images))) > self._layout.value_bytes:
            images = images[1 + len(images) // IMAGES_TRIM_DIVISOR :]
        names = tuple(sorted(image for image, _ in images))
        if names != self._recorded_images.get(machine.name):
            self._recorded_images[machine.name] = names
            self.put_later(MACHINE_IMAGES_PREFIX + machine.name, MachineImagesRecord(images))

    def forget_images(self, name: str) -> None:
        """Drop the image record of a machine that is terminated."""
        self._cluster.image_hints.pop(name, None)
        self._pending_puts.pop(MACHINE_IMAGES_PREFIX + name, None)
        if self._recorded_images.pop(name, None) is not None:
            self._obsolete_keys.append(MACHINE_IMAGES_PREFIX + name)

    def restore_images(self, name: str, record: MachineImagesRecord) -> None:
        """Restore a machine's images from the record that an earlier leader wrote."""
        self._cluster.image_hints[name] = record.images
        self._recorded_images[name] = tuple(sorted(image for image, _ in record.images))
