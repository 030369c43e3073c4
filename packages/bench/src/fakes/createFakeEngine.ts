import { asId } from '@camphorbarrow/core';
import type { CacheEvent, Incarnation, LoadReport, RandomSource } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { Workload } from '../workload/Workload.js';
import type { EngineJob } from './EngineJob.js';
import { createFakePrefixCache } from './createFakePrefixCache.js';

const TOKENS_PER_BLOCK = 256;
const MS_PER_SECOND = 1000;
const LOAD_SAMPLE_INTERVAL_MS = 100;

export interface FakeEngine {
  readonly serverId: string;
  isUp(): boolean;
  /** Returns the function that cancels the job, or undefined when the queue is full. */
  submit(job: EngineJob): (() => void) | undefined;
  /** Load as it was `loadLagMs` ago. */
  readLoad(): LoadReport;
  cacheEventsAfter(sequence: number): readonly CacheEvent[];
  /** Fails all jobs and clears the cache. */
  stop(): void;
  restart(): void;
  /** Time during which the engine was busy. */
  busyMs(): number;
}

interface ActiveJob {
  readonly job: EngineJob;
  readonly order: number;
  uncachedTokens: number;
  generated: number;
}

/** Engine with continuous batching: a step decodes one token per request and prefills one chunk. */
export function createFakeEngine(options: {
  readonly serverId: string;
  readonly clock: VirtualClock;
  readonly random: RandomSource;
  readonly settings: Workload['engine'];
}): FakeEngine {
  const { clock, settings } = options;
  const cache = createFakePrefixCache({
    maxBlocks: settings.cacheBlocks,
    eventLossRatio: settings.cacheEventLossRatio,
    random: options.random,
    nowMs: clock.monotonicMs,
  });
  let waiting: ActiveJob[] = [];
  let running: ActiveJob[] = [];
  let up = true;
  let stepping = false;
  let incarnation = 1;
  let submitted = 0;
  let busyMs = 0;
  let reports: { readonly atMs: number; readonly load: LoadReport }[] = [];

  function currentLoad(): LoadReport {
    return {
      incarnation: asId<Incarnation>(`${options.serverId}/${incarnation}`),
      state: 'live',
      runningRequests: running.length,
      waitingRequests: waiting.length,
      waitingTokens: waiting.reduce((sum, { job }) => sum + job.promptTokens, 0),
      maxConcurrentRequests: settings.maxConcurrentRequests,
      kvCacheUsageRatio: running.length / settings.maxConcurrentRequests,
    };
  }

  function fillBatch(): void {
    while (running.length < settings.maxConcurrentRequests && waiting.length > 0) {
      const next = waiting.reduce((best, job) =>
        job.job.priority < best.job.priority ? job : best,
      );
      waiting = waiting.filter((job) => job !== next);
      const cachedTokens = Math.min(
        cache.lookUpAndStore(next.job.blockHashes) * TOKENS_PER_BLOCK,
        next.job.promptTokens - 1,
      );
      next.job.onCacheLookup(cachedTokens);
      next.uncachedTokens = next.job.promptTokens - cachedTokens;
      running.push(next);
    }
  }

  /** Prefills a chunk of prompt tokens in order of priority; returns the tokens prefilled. */
  function prefill(): number {
    let remainingTokens = settings.prefillChunkTokens;
    const prefilling = running
      .filter(({ uncachedTokens }) => uncachedTokens > 0)
      .sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
    prefilling.forEach((job) => {
      const tokens = Math.min(remainingTokens, job.uncachedTokens);
      job.uncachedTokens -= tokens;
      remainingTokens -= tokens;
    });
    return settings.prefillChunkTokens - remainingTokens;
  }

  function step(): void {
    fillBatch();
    if (running.length === 0) {
      stepping = false;
      return;
    }
    stepping = true;
    const stepIncarnation = incarnation;
    const prefilledTokens = prefill();
    const decoding = running.filter(({ uncachedTokens }) => uncachedTokens === 0);
    const durationMs =
      settings.stepMs +
      settings.stepMsPerRequest * decoding.length +
      (prefilledTokens / settings.prefillTokensPerSecond) * MS_PER_SECOND;
    busyMs += durationMs;
    clock.schedule(clock.monotonicMs() + durationMs, () => {
      if (stepIncarnation !== incarnation) {
        return;
      }
      const active = new Set(running);
      decoding
        .filter((job) => active.has(job))
        .forEach((job) => {
          job.job.onToken(job.generated);
          job.generated += 1;
        });
      const finished = running.filter(({ job, generated }) => generated >= job.outputTokens);
      running = running.filter(({ job, generated }) => generated < job.outputTokens);
      finished.forEach(({ job }) => job.onDone());
      step();
    });
  }

  function sampleLoad(): void {
    const atMs = clock.monotonicMs();
    reports = reports.filter((report) => report.atMs >= atMs - 2 * settings.loadLagMs);
    reports.push({ atMs, load: currentLoad() });
    clock.schedule(atMs + LOAD_SAMPLE_INTERVAL_MS, sampleLoad);
  }

  sampleLoad();
  return {
    serverId: options.serverId,
    isUp: () => up,
    submit(job) {
      if (waiting.length >= settings.maxWaitingRequests && running.length > 0) {
        return undefined;
      }
      submitted += 1;
      const active = { job, order: submitted, uncachedTokens: job.promptTokens, generated: 0 };
      waiting.push(active);
      if (!stepping) {
        step();
      }
      return () => {
        waiting = waiting.filter((candidate) => candidate !== active);
        running = running.filter((candidate) => candidate !== active);
      };
    },
    readLoad() {
      const visibleUntilMs = clock.monotonicMs() - settings.loadLagMs;
      const visible = reports.filter(({ atMs }) => atMs <= visibleUntilMs).at(-1) ?? reports[0];
      return visible?.load ?? currentLoad();
    },
    cacheEventsAfter: (sequence) =>
      cache.eventsAfter(sequence, clock.monotonicMs() - settings.cacheEventLagMs),
    stop() {
      const broken = [...running, ...waiting];
      running = [];
      waiting = [];
      up = false;
      stepping = false;
      incarnation += 1;
      reports = [];
      cache.clear();
      broken.forEach(({ job }) => job.onBroken());
    },
    restart() {
      up = true;
    },
    busyMs: () => busyMs,
  };
}
