import { Agent } from 'node:http';
import type { RandomSource } from '@camphorbarrow/core';
import { callHost } from '@camphorbarrow/platform/testing';
import { sleep } from './sleep.js';
import type { StreamEvent, StreamRecord, StreamTry } from './StreamRecord.js';
import { STREAM_EVENTS } from './versionedService.js';
import type { VersionedService } from './versionedService.js';

const MAX_TRIES = 6;
/** Time limit of a caller for a stream over all its tries. */
const TIME_LIMIT_MS = 5_000;
/** Shortest remaining time in which a caller tries once more. */
const MIN_REMAINING_MS = 200;
/** Mean pause between two streams, and between two tries without a time to come back. */
const MEAN_PAUSE_MS = 60;
/** Share of tries whose connection the caller loses, and the longest time until then. */
const LOSS_RATIO = 0.3;
const MAX_LOSS_MS = 500;
/** Share of tries on connections that are kept. */
const KEPT_RATIO = 0.5;

export interface ReturningCallerOptions {
  readonly name: string;
  readonly random: RandomSource;
  /** Base URLs of the hosts. */
  readonly urls: readonly string[];
  /** Whether a host runs an earlier version of the system now. */
  readonly isEarlierHost: (host: number) => boolean;
  /** Chooses the service of the next stream. */
  readonly chooseService: (random: RandomSource) => VersionedService;
  readonly onStream: (stream: StreamRecord) => void;
  /** Ends the loop after the current stream. */
  readonly signal: AbortSignal;
}

/** Reads the complete events of a body; one that is cut or joined to another is not counted. */
export function parseWrittenEvents(body: string): StreamEvent[] {
  return [...body.matchAll(/^id: (\d+)\ndata: part of (\S+) at (\S+)-\1\n\n/gm)].map(
    ([, id, server = '', version = '']) => ({ id: Number(id), server, version }),
  );
}

/**
 * Requests streams one after another until the signal aborts. When a stream breaks off, the caller
 * comes back at any host for the events after the last one that it has received.
 */
export async function runReturningCaller(options: ReturningCallerOptions): Promise<void> {
  const { name, random, urls, isEarlierHost, chooseService, onStream, signal } = options;
  const agent = new Agent({ keepAlive: true });
  const pause = (): Promise<void> => sleep(random.next() * 2 * MEAN_PAUSE_MS);

  async function attempt(
    { name: service, pathPrefix }: VersionedService,
    attemptId: string,
    remainingMs: number,
    earlier: Pick<StreamTry, 'resumes' | 'lastEventId'>,
  ): Promise<{ readonly made: StreamTry; readonly retryAfterMs: number | undefined }> {
    const host = Math.floor(random.next() * urls.length);
    const isLost = random.next() < LOSS_RATIO;
    const lossMs = Math.round(random.next() * MAX_LOSS_MS);
    const kept = random.next() < KEPT_RATIO;
    const end = AbortSignal.timeout(
      Math.round(isLost ? Math.min(lossMs, remainingMs) : remainingMs),
    );
    const earlierHost = isEarlierHost(host);
    const startedAtMs = performance.now();
    const result = await callHost(urls[host] ?? '', `${pathPrefix}${attemptId}`, {
      attemptId,
      signal: end,
      keepsPartial: true,
      body: attemptId,
      deadlineMs: Math.floor(remainingMs),
      resumes: earlier.resumes,
      lastEventId: earlier.resumes === undefined ? undefined : earlier.lastEventId,
      ...(kept ? { agent } : {}),
    }).catch(() => undefined);
    return {
      made: {
        ...earlier,
        attemptId,
        service,
        host,
        earlierHost,
        startedAtMs,
        endedAtMs: performance.now(),
        left: end.aborted,
        status: result?.status,
        complete: result?.complete ?? false,
        events: result?.status === 200 ? parseWrittenEvents(result.body) : [],
      },
      retryAfterMs: result?.retryAfterMs,
    };
  }

  for (let count = 1; !signal.aborted; count += 1) {
    const service = chooseService(random);
    const endMs = performance.now() + TIME_LIMIT_MS;
    const tries: StreamTry[] = [];
    let isOver = false;
    while (!isOver) {
      const events = tries.flatMap((made) => made.events);
      const first = tries.find((made) => made.events.length > 0);
      const { made, retryAfterMs } = await attempt(
        service,
        `${name}-${count}-${tries.length + 1}`,
        endMs - performance.now(),
        { resumes: first?.attemptId, lastEventId: events.at(-1)?.id ?? 0 },
      );
      tries.push(made);
      const hasEnded = made.status === 200 && made.complete;
      const hasAll = made.events.at(-1)?.id === STREAM_EVENTS;
      await (retryAfterMs === undefined || hasEnded || hasAll
        ? pause()
        : sleep(Math.max(0, Math.min(retryAfterMs, endMs - performance.now()))));
      isOver =
        hasEnded ||
        hasAll ||
        signal.aborted ||
        tries.length === MAX_TRIES ||
        endMs - performance.now() < MIN_REMAINING_MS;
    }
    onStream(tries);
  }
  agent.destroy();
}
