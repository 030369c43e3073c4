import type { ExperimentResult } from '../experiment/runExperiment.js';
import type { RequestRecord } from '../experiment/RequestRecord.js';
import type { Workload } from '../workload/Workload.js';
import type { ClassSummary } from './ClassSummary.js';
import type { RunSummary } from './RunSummary.js';
import { createLatencyHistogram } from './createLatencyHistogram.js';

const MS_PER_SECOND = 1000;

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

function countBy(values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  [...values].sort().forEach((value) => {
    counts[value] = (counts[value] ?? 0) + 1;
  });
  return counts;
}

function errorsOf(records: readonly RequestRecord[]): Record<string, number> {
  return countBy(records.flatMap(({ errorCode }) => errorCode ?? []));
}

function isGood(record: RequestRecord, workload: Workload): boolean {
  const { arrival, errorCode, firstTokenAtMs, finishedAtMs, tokenGapsMs } = record;
  if (errorCode !== undefined || firstTokenAtMs === undefined || finishedAtMs === undefined) {
    return false;
  }
  const totalMs = finishedAtMs - arrival.atMs;
  if (arrival.requestClass.kind === 'service') {
    return totalMs <= arrival.requestClass.deadlineMs;
  }
  const targets = workload.fleetDefaults.ranks[arrival.requestClass.rank];
  const meanGapMs = sumOf(tokenGapsMs) / Math.max(1, tokenGapsMs.length);
  return (
    firstTokenAtMs - arrival.atMs <= targets.firstTokenTargetMs &&
    totalMs <= targets.deadlineMs &&
    meanGapMs <= targets.betweenTokensTargetMs
  );
}

function summarizeClass(
  records: readonly RequestRecord[],
  workload: Workload,
  worth: number,
): ClassSummary {
  const firstToken = createLatencyHistogram();
  const betweenTokens = createLatencyHistogram();
  records.forEach(({ arrival, firstTokenAtMs, tokenGapsMs }) => {
    if (firstTokenAtMs !== undefined) {
      firstToken.recordMs(firstTokenAtMs - arrival.atMs);
    }
    tokenGapsMs.forEach(betweenTokens.recordMs);
  });
  const good = records.filter((record) => isGood(record, workload));
  const countedMs = workload.durationMs - workload.warmUpMs;
  return {
    requests: records.length,
    good: good.length,
    goodPerSecond: (good.length / countedMs) * MS_PER_SECOND,
    goodRatio: records.length === 0 ? 1 : good.length / records.length,
    worth: good.length * worth,
    goodTokens: sumOf(good.map((record) => record.promptTokens + record.arrival.outputTokens)),
    firstToken: firstToken.summary(),
    betweenTokens: betweenTokens.summary(),
    errors: errorsOf(records),
  };
}

/** Computes the metrics of a run from the requests that arrived after the warm-up. */
export function summarizeRun(
  workload: Workload,
  caseName: string,
  seed: number,
  { policy, records, busyMs }: ExperimentResult,
): RunSummary {
  const counted = records.filter(({ arrival }) => arrival.atMs >= workload.warmUpMs);
  const inference = counted.filter(({ arrival }) => arrival.requestClass.kind === 'inference');
  const ofRank = (rank: string): RequestRecord[] =>
    inference.filter(
      ({ arrival }) =>
        arrival.requestClass.kind === 'inference' && arrival.requestClass.rank === rank,
    );
  const { ranks } = workload.fleetDefaults;
  const classes = {
    urgent: summarizeClass(ofRank('urgent'), workload, ranks.urgent.worth),
    patient: summarizeClass(ofRank('patient'), workload, ranks.patient.worth),
    service: summarizeClass(
      counted.filter(({ arrival }) => arrival.requestClass.kind === 'service'),
      workload,
      0,
    ),
  };
  const attempted = inference.filter(({ attempts }) => attempts > 0);
  const attempts = sumOf(attempted.map((record) => record.attempts));
  const good = classes.urgent.good + classes.patient.good;
  const ratio = (part: number, total: number): number => (total === 0 ? 0 : part / total);
  return {
    workload: workload.name,
    caseName,
    policy: policy.name,
    seed,
    classes,
    worth: classes.urgent.worth + classes.patient.worth,
    spilledRatio: ratio(inference.filter(({ spilled }) => spilled).length, inference.length),
    cacheHitRatio: ratio(
      sumOf(inference.map(({ cachedTokens }) => cachedTokens)),
      sumOf(inference.map(({ lookedUpTokens }) => lookedUpTokens)),
    ),
    serverSecondsPerGood: good === 0 ? undefined : busyMs / MS_PER_SECOND / good,
    retriesPerRequest: ratio(attempts - attempted.length, inference.length),
    loadFactor: ratio(attempts, attempted.length),
    refusals: errorsOf(counted),
  };
}
