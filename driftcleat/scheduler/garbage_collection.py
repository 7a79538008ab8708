"""Deferred writes: keys other than job records, which are put or deleted when the write budget allows it."""

from collections.abc import Iterable
from functools import partial

from driftcleat import wire
from driftcleat.cluster import Batch, Machine
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.store.keys import MACHINE_IMAGES_PREFIX
from driftcleat.store.records import MachineImagesRecord

# If a machine's image record exceeds the store's value limit, its oldest images are left out until it fits: in each
# step one image plus the number of images divided by this.
IMAGES_TRIM_DIVISOR = 8


class GarbageCollector:
    """Deletes obsolete keys and keeps the records of cached images up to date."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster = context.cluster
        self._layout = context.layout
        self._obsolete_keys: list[str] = []
        self._pending_puts: dict[str, object] = {}
        # By machine name: the images in its record, which is stored or pending.
        self._recorded_images: dict[str, tuple[str, ...]] = {}

    @property
    def pending(self) -> bool:
        """Whether any put or delete is pending."""
        return bool(self._obsolete_keys or self._pending_puts)

    def put_later(self, key: str, value: object) -> None:
        """Put a key in a later batch; this replaces a value that is still pending for the key."""
        self._pending_puts[key] = value

    def delete_later(self, keys: Iterable[str]) -> None:
        """Delete obsolete keys in later batches, when there is room."""
        self._obsolete_keys.extend(keys)

    def cancel_put(self, key: str) -> None:
        """Cancel the pending put of a key whose value cannot be stored."""
        self._pending_puts.pop(key, None)

    def cancel_deletes(self, prefix: str) -> None:
        """Cancel the pending deletes of keys with this prefix, which are about to be written again."""
        self._obsolete_keys[:] = [key for key in self._obsolete_keys if not key.startswith(prefix)]

    def append_to(self, batch: Batch) -> None:
        """Append as many pending deletes and puts as the batch has room for, deletes first."""
        while self._obsolete_keys and batch.has_room_for_delete(self._obsolete_keys[-1]):
            key = self._obsolete_keys.pop()
            batch.delete(key)
            batch.on_discard.append(partial(self._obsolete_keys.append, key))
        while self._pending_puts:
            key, value = next(reversed(self._pending_puts.items()))
            if not batch.has_room_for_put(key, value):
                return
            del self._pending_puts[key]
            batch.put(key, value)
            batch.on_discard.append(partial(self.put_later, key, value))

    def record_images(self, machine: Machine) -> None:
        """Schedule a put of a machine's image record if its images have changed.

        Without the record, a new leader would place the jobs elsewhere, where the images must be fetched again.
        """
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
        """Discard the images of a terminated machine and schedule the delete of its record."""
        self._cluster.image_hints.pop(name, None)
        self._pending_puts.pop(MACHINE_IMAGES_PREFIX + name, None)
        if self._recorded_images.pop(name, None) is not None:
            self._obsolete_keys.append(MACHINE_IMAGES_PREFIX + name)

    def restore_images(self, name: str, record: MachineImagesRecord) -> None:
        """Restore a machine's images from the record that an earlier leader stored."""
        self._cluster.image_hints[name] = record.images
        self._recorded_images[name] = tuple(sorted(image for image, _ in record.images))
