import type { RandomSource } from '@camphorbarrow/core';
import { buildRequestHead, describeResponse } from '@camphorbarrow/platform/testing';
import type { CallKind } from './CallRecord.js';
import type { ConnectionCall } from './ConnectionCall.js';
import { createCallerConnection } from './createCallerConnection.js';
import type { CallerConnection, CallerResponse } from './createCallerConnection.js';
import { sleep } from './sleep.js';

/** Part of a time limit that callers use, as on the platform. */
export const USED_LIMIT_RATIO = 0.8;

const PATHS = { safe: '/safe/', bound: '/bound/', unsafe: '/order/' } as const;
const KINDS: readonly (CallKind & keyof typeof PATHS)[] = ['safe', 'bound', 'unsafe'];
/** Shares of requests that are sent in two parts, split in the head or in the body. */
const SPLIT_HEAD_RATIO = 0.2;
const SPLIT_BODY_RATIO = 0.2;
/** Longest time between a head and the end of its body. */
const MAX_BODY_MS = 1_000;
/** Longest wait of a caller that may not use its connection again. */
const MAX_RECONNECT_MS = 200;
const POLL_MS = 20;
/** Time after the last byte after which a caller disconnects. */
const CALLER_TIMEOUT_MS = 6_000;
const MS_PER_S = 1_000;

export interface IdleCallerOptions {
  readonly name: string;
  readonly random: RandomSource;
  /** Index of the host that is called. */
  readonly host: number;
  readonly url: string;
  /** Idle timeout that the caller must assume now. */
  readonly idleTimeoutMs: () => number;
  readonly headerTimeoutMs: number;
  readonly onCall: (call: ConnectionCall) => void;
  /** Ends the loop after the current request. */
  readonly signal: AbortSignal;
}

/** Time for which an idle connection may be used again according to the last response. */
function announcedIdleMs({ complete, headers }: CallerResponse): number {
  if (!complete || headers.get('connection')?.toLowerCase() === 'close') {
    return 0;
  }
  const [, seconds] = /timeout=(\d+)/.exec(headers.get('keep-alive') ?? '') ?? [];
  return seconds === undefined ? Infinity : Number(seconds) * MS_PER_S;
}

/**
 * Sends requests one after another on a connection that is idle between them, until the signal
 * aborts. Opens another connection only if the host or a time limit ends the use of the last one.
 */
export async function runIdleCaller(options: IdleCallerOptions): Promise<void> {
  const { name, random, host, url, idleTimeoutMs, headerTimeoutMs, onCall, signal } = options;
  let connection: CallerConnection | undefined;
  let announcedMs = 0;
  let idleSinceMs = performance.now();
  const reuseMs = (): number => Math.min(USED_LIMIT_RATIO * idleTimeoutMs(), announcedMs);

  /** Waits for a share of the time for which the idle connection may be used. */
  async function waitIdle(ratio: number): Promise<void> {
    const remainingMs = (): number =>
      ratio * (reuseMs() || MAX_RECONNECT_MS) - (performance.now() - idleSinceMs);
    for (let leftMs = remainingMs(); !signal.aborted && leftMs > 0; leftMs = remainingMs()) {
      await sleep(Math.min(POLL_MS, leftMs));
    }
  }

  /** Sends both parts of a request, with a pause between them, and receives its response. */
  async function exchange(
    { write, receive, close }: CallerConnection,
    parts: readonly [string, string],
    partGapMs: number,
  ): Promise<Pick<ConnectionCall, 'startedAtMs' | 'left'> & { response: CallerResponse }> {
    let hasResponse = false;
    const received = receive().finally(() => {
      hasResponse = true;
    });
    const [first, last] = parts;
    if (partGapMs > 0) {
      write(first);
      await Promise.race([sleep(partGapMs), received]);
    }
    const startedAtMs = performance.now();
    const isWhole = !hasResponse;
    if (isWhole) {
      write(partGapMs > 0 ? last : first + last);
    }
    let left = false;
    const timer = setTimeout(() => {
      left = true;
      close();
    }, CALLER_TIMEOUT_MS);
    const response = await received;
    clearTimeout(timer);
    if (!isWhole) {
      close();
    }
    return { startedAtMs, left, response };
  }

  for (let count = 1; !signal.aborted; count += 1) {
    const idleRatio = random.next();
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'safe';
    const split = random.next();
    const gapRatio = random.next() * USED_LIMIT_RATIO;
    await waitIdle(idleRatio);
    const reused = connection?.isOpen() === true && performance.now() - idleSinceMs <= reuseMs();
    if (!reused) {
      connection?.close();
      idleSinceMs = performance.now();
      connection = await createCallerConnection(url).catch(() => undefined);
    }
    if (connection === undefined) {
      continue;
    }

    const attemptId = `${name}-${count}`;
    const head = buildRequestHead({
      path: `${PATHS[kind]}${attemptId}`,
      attemptId,
      bodyBytes: attemptId.length,
    });
    const splitsHead = split < SPLIT_HEAD_RATIO;
    const splitsBody = !splitsHead && split < SPLIT_HEAD_RATIO + SPLIT_BODY_RATIO;
    let partGapMs = 0;
    if (splitsHead) {
      partGapMs = gapRatio * headerTimeoutMs;
    } else if (splitsBody) {
      partGapMs = Math.min(gapRatio * idleTimeoutMs(), MAX_BODY_MS);
    }
    const firstByteAtMs = performance.now();
    const { startedAtMs, left, response } = await exchange(
      connection,
      splitsHead ? [head, `\r\n\r\n${attemptId}`] : [`${head}\r\n\r\n`, attemptId],
      partGapMs,
    );
    const endedAtMs = performance.now();
    const { leavingServer, answeredAttemptId } = describeResponse(
      Object.fromEntries(response.headers),
    );
    onCall({
      attemptId,
      kind,
      host,
      startedAtMs,
      endedAtMs,
      left,
      status: response.status,
      complete: response.complete,
      leavingServer,
      responseAttemptId: answeredAttemptId,
      eventIds: [],
      idleMs: firstByteAtMs - idleSinceMs,
      reused,
      headMs: splitsHead ? startedAtMs - firstByteAtMs : 0,
      bodyMs: splitsBody ? startedAtMs - firstByteAtMs : 0,
    });
    announcedMs = announcedIdleMs(response);
    idleSinceMs = endedAtMs;
  }
  connection?.close();
}
