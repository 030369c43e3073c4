import type { Clock } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';

/** Maximum number of waiting requests of a service at this host. */
const MAX_WAITING = 64;
/** Interval of the rounds in which the waiting requests of a service try again. */
const RETRY_INTERVAL_MS = 20;
/**
 * Failed turns of a rank after which its other requests wait for the next round. More than one, so that
 * a request for which no server is suitable does not keep the others out.
 */
const MAX_FAILED_TURNS = 2;
/**
 * Part of the target latency that a request may wait here. One that finds no room is then rejected
 * early enough for its caller to return within its target.
 */
const MAX_WAIT_RATIO = 1 / 8;
/** Time before the end of its wait at which a request has its last turn. */
const LAST_TURN_MARGIN_MS = 5;

/** Request that found no room. The same object stands for the request in all its turns. */
export interface WaitingRequest {
  readonly service: ServiceName;
  readonly rank: number;
  /** Target of the request, from its arrival. */
  readonly targetLatencyMs: number;
  readonly arrivedAtMs: number;
  /** Monotonic time until which it may wait. @default after an eighth of its target */
  readonly latestAtMs?: number;
}

/** Order in which requests that found no room try again. */
export interface AdmissionQueue {
  /**
   * Waits for the turn of the request. Returns false if it has waited for as long as it may, if the
   * queue is full of requests that go first, or if the signal is aborted.
   */
  waitForTurn(request: WaitingRequest, signal: AbortSignal): Promise<boolean>;
  /** Ends the turn of the request, if it has one. The next turn begins at once if it was sent. */
  endTurn(request: WaitingRequest, isSent: boolean): void;
  /** Time for which the request may still wait; 0 once that is over. */
  remainingMs(request: WaitingRequest): number;
  waiting(service: ServiceName): number;
}

interface Entry {
  readonly request: WaitingRequest;
  readonly failedTurns: number;
  readonly latestAtMs: number;
  readonly settle: (hasTurn: boolean) => void;
}

interface ServiceQueue {
  entries: Entry[];
  isRunning: boolean;
}

const latestAtMsOf = ({ arrivedAtMs, targetLatencyMs, latestAtMs }: WaitingRequest): number =>
  latestAtMs ?? arrivedAtMs + targetLatencyMs * MAX_WAIT_RATIO;

/**
 * More urgent requests go first, and of equal ones those that have failed less often, then those whose
 * time to wait ends first.
 */
const byPrecedence = (a: Entry, b: Entry): number =>
  a.request.rank - b.request.rank || a.failedTurns - b.failedTurns || a.latestAtMs - b.latestAtMs;

/**
 * Creates the queue of one host. It answers short bursts: for a moment all servers have longer queues
 * than the target allows, and a tenth of a second later there is room. Requests try again in rounds,
 * one after the other while they are sent; a few failures of a rank end its round, so that a long queue
 * costs little more processor time than a short one. Each request has a last turn when its wait ends.
 */
export function createAdmissionQueue(clock: Clock): AdmissionQueue {
  const queues = new Map<ServiceName, ServiceQueue>();
  const turns = new WeakMap<WaitingRequest, (isSent: boolean) => void>();
  const failedTurns = new WeakMap<WaitingRequest, number>();

  const lastTurnAtMs = ({ latestAtMs }: Entry): number => latestAtMs - LAST_TURN_MARGIN_MS;

  function settle(queue: ServiceQueue, entry: Entry, hasTurn: boolean): void {
    queue.entries = queue.entries.filter((other) => other !== entry);
    entry.settle(hasTurn);
  }

  /** Returns whether the request was sent; undefined if its turn takes longer than the interval. */
  async function giveTurn(queue: ServiceQueue, entry: Entry): Promise<boolean | undefined> {
    const timeout = new AbortController();
    const ended = new Promise<boolean>((resolve) => {
      turns.set(entry.request, resolve);
    });
    settle(queue, entry, true);
    const isSent = await Promise.race([
      ended,
      clock.sleep(RETRY_INTERVAL_MS, timeout.signal).then(
        () => undefined,
        () => undefined,
      ),
    ]);
    timeout.abort();
    return isSent;
  }

  /** Returns false if a turn took so long that the next round is due. */
  async function giveRound(queue: ServiceQueue): Promise<boolean> {
    const tried = new Set<WaitingRequest>();
    const failuresByRank = new Map<number, number>();
    const mayTry = ({ request }: Entry): boolean =>
      !tried.has(request) && (failuresByRank.get(request.rank) ?? 0) < MAX_FAILED_TURNS;
    for (let entry = queue.entries.find(mayTry); entry !== undefined;) {
      const { request } = entry;
      tried.add(request);
      const isSent = await giveTurn(queue, entry);
      if (isSent === undefined) {
        return false;
      }
      if (!isSent) {
        failuresByRank.set(request.rank, (failuresByRank.get(request.rank) ?? 0) + 1);
      }
      entry = queue.entries.find(mayTry);
    }
    return true;
  }

  function giveLastTurns(queue: ServiceQueue): void {
    const nowMs = clock.monotonicMs();
    queue.entries
      .filter((entry) => lastTurnAtMs(entry) <= nowMs)
      .forEach((entry) => settle(queue, entry, true));
  }

  function delayMs({ entries }: ServiceQueue): number {
    const firstLastTurnMs = Math.min(...entries.map(lastTurnAtMs)) - clock.monotonicMs();
    return Math.max(1, Math.min(RETRY_INTERVAL_MS, firstLastTurnMs));
  }

  async function run(queue: ServiceQueue): Promise<void> {
    queue.isRunning = true;
    let isInTime = true;
    while (queue.entries.length > 0) {
      if (isInTime) {
        await clock.sleep(delayMs(queue));
      }
      isInTime = await giveRound(queue);
      giveLastTurns(queue);
    }
    queue.isRunning = false;
  }

  function add(queue: ServiceQueue, entry: Entry): void {
    queue.entries = [...queue.entries, entry].sort(byPrecedence);
    if (queue.entries.length > MAX_WAITING) {
      queue.entries.pop()?.settle(false);
    }
    if (!queue.isRunning) {
      void run(queue);
    }
  }

  return {
    waitForTurn(request, signal) {
      const queue = queues.get(request.service) ?? {
        entries: [],
        isRunning: false,
      };
      queues.set(request.service, queue);
      const failed = failedTurns.get(request) ?? 0;
      const latestAtMs = latestAtMsOf(request);
      const lastStartAtMs = failed > 0 ? latestAtMs - LAST_TURN_MARGIN_MS : latestAtMs;
      if (signal.aborted || lastStartAtMs <= clock.monotonicMs()) {
        return Promise.resolve(false);
      }
      let leave = (): void => undefined;
      const turn = new Promise<boolean>((resolve) => {
        const entry = { request, failedTurns: failed, latestAtMs, settle: resolve };
        leave = () => settle(queue, entry, false);
        add(queue, entry);
      });
      signal.addEventListener('abort', leave);
      return turn.finally(() => signal.removeEventListener('abort', leave));
    },
    endTurn(request, isSent) {
      if (!isSent) {
        failedTurns.set(request, (failedTurns.get(request) ?? 0) + 1);
      }
      turns.get(request)?.(isSent);
      turns.delete(request);
    },
    remainingMs: (request) => Math.max(0, latestAtMsOf(request) - clock.monotonicMs()),
    waiting: (service) => queues.get(service)?.entries.length ?? 0,
  };
}
