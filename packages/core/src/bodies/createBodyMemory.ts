import type { BodyBuffer, BodyBufferOptions, BodyMemory } from './BodyMemory.js';

interface Holder {
  isComplete: boolean;
  capacityBytes: number;
  readonly evict: () => void;
}

/** Share of the memory above which a large body may find no room. */
const SHORT_RATIO = 0.5;
const EMPTY: Buffer = Buffer.alloc(0);
/** Size above which an incomplete body has memory of its own that returns to the system at once. */
const MAX_SMALL_BYTES = 65_536;

/**
 * Creates a memory for bodies with a limit on all of them together. When it is full, the largest
 * incomplete body is released: bytes without end must not displace the bodies of sound senders.
 * Complete bodies stay, as a request with such a body may be running.
 *
 * @param maxBytes limit on the memory of all bodies
 * @param onEvict called with the size of a body that was released to make room
 * @param onAllocation called with the size of a buffer or chunk that was allocated for a body
 */
export function createBodyMemory(
  maxBytes: number,
  onEvict: (sizeBytes: number) => void = () => undefined,
  onAllocation: (sizeBytes: number) => void = () => undefined,
): BodyMemory {
  const holders = new Set<Holder>();
  let heldBytes = 0;

  function findLargestIncomplete(): Holder | undefined {
    let largest: Holder | undefined;
    holders.forEach((holder) => {
      if (!holder.isComplete && holder.capacityBytes > (largest?.capacityBytes ?? 0)) {
        largest = holder;
      }
    });
    return largest;
  }

  /** Makes room for more bytes of a body; false if it is the largest incomplete one itself. */
  function makeRoom(holder: Holder, additionalBytes: number): boolean {
    while (heldBytes + additionalBytes > maxBytes) {
      const largest = findLargestIncomplete();
      if (largest === undefined || largest.capacityBytes <= holder.capacityBytes) {
        return false;
      }
      largest.evict();
    }
    return true;
  }

  function open(options: BodyBufferOptions): BodyBuffer {
    let storage: Buffer = EMPTY;
    /** Memory of a large incomplete body. Freed by the garbage collector, it would come later and in pieces. */
    let pages: ArrayBuffer | undefined;
    let sizeBytes = 0;
    let isReleased = false;

    function freePages(): void {
      pages?.resize(0);
      pages = undefined;
    }

    function release(): void {
      if (!isReleased) {
        isReleased = true;
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
        holders.delete(holder);
        heldBytes -= storage.length;
        freePages();
        storage = EMPTY;
        sizeBytes = 0;
      }
    }

    const holder: Holder = {
      isComplete: false,
      capacityBytes: 0,
      evict() {
        onEvict(sizeBytes);
        release();
        options.onEvicted?.();
      },
    };
    holders.add(holder);

    function allocate(capacityBytes: number): Buffer {
      if (capacityBytes <= MAX_SMALL_BYTES) {
        onAllocation(capacityBytes);
        return Buffer.allocUnsafe(capacityBytes);
      }
      pages ??= new ArrayBuffer(0, { maxByteLength: Math.min(options.maxBytes, maxBytes) });
      pages.resize(capacityBytes);
      return Buffer.from(pages, 0, capacityBytes);
    }

    /** Doubles the capacity, so that the cost of copying stays in proportion to the body. */
    function grow(neededBytes: number): boolean {
      const capacityBytes = Math.min(options.maxBytes, Math.max(neededBytes, storage.length * 2));
      const additionalBytes = capacityBytes - storage.length;
      if (!makeRoom(holder, additionalBytes)) {
        return false;
      }
      const isInPlace = pages !== undefined;
      const grown = allocate(capacityBytes);
      if (!isInPlace) {
        storage.copy(grown, 0, 0, sizeBytes);
      }
      storage = grown;
      heldBytes += additionalBytes;
      holder.capacityBytes = capacityBytes;
      return true;
    }

    return {
      append(chunk) {
        onAllocation(chunk.length);
        const neededBytes = sizeBytes + chunk.length;
        if (neededBytes > options.maxBytes) {
          release();
          return 'too-long';
        }
        if (isReleased || (neededBytes > storage.length && !grow(neededBytes))) {
          release();
          return 'no-memory';
        }
        chunk.copy(storage, sizeBytes);
        sizeBytes = neededBytes;
        return 'kept';
      },
      sizeBytes: () => sizeBytes,
      bytes: () => storage.subarray(0, sizeBytes),
      take(takenBytes) {
        const taken = Buffer.from(storage.subarray(0, takenBytes));
        storage.copyWithin(0, takenBytes, sizeBytes);
        sizeBytes -= taken.length;
        return taken;
      },
      complete() {
        holder.isComplete = true;
        if (pages !== undefined) {
          // A user of the complete body may still hold it when it has been released.
          onAllocation(sizeBytes);
          const complete = Buffer.from(storage.subarray(0, sizeBytes));
          heldBytes -= storage.length - sizeBytes;
          freePages();
          storage = complete;
        }
        return storage.subarray(0, sizeBytes);
      },
      release,
    };
  }

  return { open, heldBytes: () => heldBytes, isShort: () => heldBytes > maxBytes * SHORT_RATIO };
}
