import { setImmediate as nextTurn } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Heap usage varies by about 10 KB on its own; copies are added until they outweigh this. */
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
  // The first object is not measured: creating it fills caches. It must stay referenced, because a
  // suspended function retains the last awaited value. Without the reference, the first object
  // would be released when the second one replaces it, which would hide the size of the second.
  const kept = [await create()];
  const baselineBytes = await heapBytes();
  let copies = 0;
  for (let batch = 1; ; batch *= 4) {
    for (let index = 0; index < batch; index += 1) {
      kept.push(await create());
    }
    copies += batch;
    const retainedBytes = (await heapBytes()) - baselineBytes;
    if (retainedBytes >= MIN_MEASURED_BYTES || copies >= MAX_COPIES) {
      // Reading `kept` after the measurement keeps the copies referenced until then.
      return kept.length === copies + 1 ? retainedBytes / copies : 0;
    }
  }
}
