import { setImmediate as nextTurn } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** The heap varies by some 10 KB on its own; copies are added until they outweigh this. */
const MIN_MEASURED_BYTES = 4_000_000;
const MAX_COPIES = 256;

async function heapBytes(): Promise<number> {
  await nextTurn();
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Heap bytes that one created object retains after garbage collection, as a mean over copies. */
export async function measureRetainedBytes(create: () => unknown): Promise<number> {
  // The first object stays alive: the suspended function still refers to the last awaited value,
  // so releasing the first one would hide the size of the second. It also fills caches.
  const kept = [await create()];
  const before = await heapBytes();
  let copies = 0;
  for (let batch = 1; ; batch *= 4) {
    for (let index = 0; index < batch; index += 1) {
      kept.push(await create());
    }
    copies += batch;
    const retained = (await heapBytes()) - before;
    if (retained >= MIN_MEASURED_BYTES || copies >= MAX_COPIES) {
      return kept.length === copies + 1 ? retained / copies : 0;
    }
  }
}
