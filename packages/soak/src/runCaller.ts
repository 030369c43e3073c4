import { Agent } from 'node:http';
import type { RandomSource } from '@camphorbarrow/core';
import { callHost } from '@camphorbarrow/platform/testing';
import type { CallKind, CallRecord } from './CallRecord.js';
import { CUSTOMER_PATH } from './checkCustomers.js';
import { soakKey } from './soakCustomers.js';

const PATHS: Readonly<Record<CallKind, string>> = {
  safe: '/safe/',
  bound: '/bound/',
  customer: CUSTOMER_PATH,
  unsafe: '/order/',
  stream: '/stream/once/',
  resumable: '/stream/again/',
};
const KINDS: readonly CallKind[] = ['safe', 'bound', 'unsafe', 'stream', 'resumable', 'customer'];
/** Mean pause of a caller between two requests. */
const MEAN_PAUSE_MS = 60;
/** Time after which a caller disconnects. Longer than any response may take. */
const CALLER_TIMEOUT_MS = 6_000;
/** Share of requests whose caller disconnects early, and the time until then. */
const LEAVE_RATIO = 0.5;
const MAX_LEAVE_MS = 300;

export interface CallerOptions {
  readonly name: string;
  readonly random: RandomSource;
  /** Base URLs of the hosts. */
  readonly urls: readonly string[];
  readonly onCall: (call: CallRecord) => void;
  /** Ends the loop after the current request. */
  readonly signal: AbortSignal;
}

function eventIdsOf(body: string): number[] {
  // A complete event ends with an empty line; a truncated one is not counted.
  return [...body.matchAll(/^id: (\d+)\n(?:.+\n)*\n/gm)].map(([, id]) => Number(id));
}

/** Sends requests one after another on keep-alive connections, until the signal aborts. */
export async function runCaller(options: CallerOptions): Promise<void> {
  const { name, random, urls, onCall, signal } = options;
  const agent = new Agent({ keepAlive: true });
  for (let count = 1; !signal.aborted; count += 1) {
    const host = Math.floor(random.next() * urls.length);
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'safe';
    const attemptId = `${name}-${count}`;
    const leave = random.next() < LEAVE_RATIO;
    const timeout = AbortSignal.timeout(
      leave ? Math.round(random.next() * MAX_LEAVE_MS) : CALLER_TIMEOUT_MS,
    );
    const { key, customer } = soakKey(count);
    const startedAtMs = performance.now();
    const result = await callHost(urls[host] ?? '', `${PATHS[kind]}${attemptId}`, {
      agent,
      attemptId,
      signal: timeout,
      body: attemptId,
      ...(kind === 'customer' ? { apiKey: key } : {}),
    }).catch(() => undefined);
    const isStream = kind === 'stream' || kind === 'resumable';
    onCall({
      attemptId,
      kind,
      customer: kind === 'customer' ? customer : undefined,
      host,
      startedAtMs,
      endedAtMs: performance.now(),
      left: timeout.aborted,
      status: result?.status,
      complete: result?.complete ?? false,
      leavingServer: result?.leavingServer,
      responseAttemptId: result?.answeredAttemptId,
      eventIds: result !== undefined && isStream ? eventIdsOf(result.body) : [],
    });
    await new Promise((resolve) => {
      setTimeout(resolve, random.next() * 2 * MEAN_PAUSE_MS);
    });
  }
  agent.destroy();
}
