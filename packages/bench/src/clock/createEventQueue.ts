interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

export interface EventQueue {
  push(atMs: number, action: () => void): void;
  /** Time of the earliest event; undefined when there is none. */
  nextAtMs(): number | undefined;
  pop(): ScheduledEvent | undefined;
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

/** Binary heap of events, earliest first, equal times in the order of insertion. */
export function createEventQueue(): EventQueue {
  const heap: ScheduledEvent[] = [];
  let pushed = 0;

  function swap(left: number, right: number): void {
    const previous = heap[left] as ScheduledEvent;
    heap[left] = heap[right] as ScheduledEvent;
    heap[right] = previous;
  }

  function comesBefore(left: number, right: number): boolean {
    return isBefore(heap[left] as ScheduledEvent, heap[right] as ScheduledEvent);
  }

  function siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!comesBefore(index, parent)) {
        return;
      }
      swap(index, parent);
      index = parent;
    }
  }

  function siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let first = index;
      if (left < heap.length && comesBefore(left, first)) {
        first = left;
      }
      if (right < heap.length && comesBefore(right, first)) {
        first = right;
      }
      if (first === index) {
        return;
      }
      swap(index, first);
      index = first;
    }
  }

  return {
    push(atMs, action) {
      pushed += 1;
      heap.push({ atMs, sequence: pushed, action });
      siftUp(heap.length - 1);
    },
    nextAtMs: () => heap[0]?.atMs,
    pop() {
      const earliest = heap[0];
      const last = heap.pop();
      if (last !== undefined && heap.length > 0) {
        heap[0] = last;
        siftDown();
      }
      return earliest;
    },
  };
}
