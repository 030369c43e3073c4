import { AttemptBrokenError, ConnectFailedError } from '@camphorbarrow/core';
import type { RegionId } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { Workload } from '../workload/Workload.js';
import { createEventStream } from './createEventStream.js';

const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1000;

export interface FakeLinks {
  /** Whether traffic can pass between two regions. */
  isOpen(from: RegionId, to: RegionId): boolean;
  /** Sends bytes to another region; rejects with ConnectFailedError when the link is cut. */
  send(from: RegionId, to: RegionId, sizeBytes: number): Promise<void>;
  /** Forwards a stream to another region; the gaps between events change only on a busy link. */
  forwardEvents(
    from: RegionId,
    to: RegionId,
    events: AsyncIterable<string>,
  ): AsyncGenerator<string, void>;
  cut(region: string): void;
  restore(region: string): void;
}

/** Links between regions: a delay and a bandwidth that all traffic of a direction shares. */
export function createFakeLinks(clock: VirtualClock, settings: Workload['link']): FakeLinks {
  const cutRegions = new Set<string>();
  /** Time until which each direction is busy with earlier transfers. */
  const busyUntilMs = new Map<string, number>();

  const isOpen = (from: RegionId, to: RegionId): boolean =>
    !cutRegions.has(from) && !cutRegions.has(to);

  function arrivalMs(from: RegionId, to: RegionId, sizeBytes: number): number {
    const key = `${from}>${to}`;
    const startMs = Math.max(clock.monotonicMs(), busyUntilMs.get(key) ?? 0);
    const endMs = startMs + (sizeBytes * BITS_PER_BYTE * MS_PER_SECOND) / settings.bitsPerSecond;
    busyUntilMs.set(key, endMs);
    return endMs + settings.oneWayMs;
  }

  return {
    isOpen,
    async send(from, to, sizeBytes) {
      if (!isOpen(from, to)) {
        throw new ConnectFailedError('The link between the regions is cut.');
      }
      await clock.sleep(arrivalMs(from, to, sizeBytes) - clock.monotonicMs());
    },
    async *forwardEvents(from, to, events) {
      const stream = createEventStream();
      const source = events[Symbol.asyncIterator]();
      const deliver = (data: string): void => {
        if (isOpen(from, to)) {
          stream.push(data);
        } else {
          stream.fail(new AttemptBrokenError('The link between the regions was cut.'));
        }
      };
      const forwardAll = async (): Promise<void> => {
        try {
          for (let next = await source.next(); next.done !== true; next = await source.next()) {
            const data = next.value;
            clock.schedule(arrivalMs(from, to, data.length), () => deliver(data));
          }
          clock.schedule(arrivalMs(from, to, 0), stream.end);
        } catch (error) {
          clock.schedule(arrivalMs(from, to, 0), () => stream.fail(error));
        }
      };
      void forwardAll();
      yield* stream.read(() => {
        void source.return?.();
      });
    },
    cut: (region) => {
      cutRegions.add(region);
    },
    restore: (region) => {
      cutRegions.delete(region);
    },
  };
}
