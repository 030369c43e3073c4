import type { FleetDocument } from '../config/FleetDocument.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { BurnMinuteCounts } from './BurnMinuteCounts.js';
import type { BurnAlarm, BurnReport, BurnRow, BurnWindow } from './BurnReport.js';
import type { HostBurnCounts } from './HostBurnCounts.js';
import type { ServiceClass } from './ServiceClass.js';
import type { ServiceResult } from './ServiceResult.js';

const MS_PER_MINUTE = 60_000;
const MINUTES_PER_HOUR = 60;
const CLASSES: readonly ServiceClass[] = ['urgent', 'patient', 'order', 'status'];
/** Objective of orders and status checks, which have no rank. */
const SERVICE_OBJECTIVE_RATIO = 0.999;
const WINDOW_MINUTES = [5, 30, 60, 360];

/**
 * Multi-window burn rate alarms. An alarm is raised when both windows reach its rate: the long
 * window shows that the burn is significant, the short one that it is still going on. The fast rate
 * consumes 2% of a 30-day budget in one hour, the slow rate 5% in six hours.
 */
const ALARMS: readonly {
  readonly alarm: BurnAlarm;
  readonly windows: readonly [number, number];
  readonly burnRate: number;
}[] = [
  { alarm: 'fast', windows: [5, 60], burnRate: 14.4 },
  { alarm: 'slow', windows: [30, 360], burnRate: 6 },
];

export interface BurnReportInput {
  readonly nowMs: number;
  readonly document: FleetDocument;
  readonly hosts: readonly HostBurnCounts[];
  /** Known entry hosts that did not respond. */
  readonly unresponsiveHosts: readonly HostId[];
}

interface WindowTotals {
  readonly requests: number;
  readonly badRequests: number;
  readonly byResult: ReadonlyMap<ServiceResult, number>;
}

function sumCounts(minutes: readonly BurnMinuteCounts[], serviceClass: ServiceClass): WindowTotals {
  const byResult = new Map<ServiceResult, number>();
  minutes.forEach(({ counts }) => {
    Object.entries(counts[serviceClass] ?? {}).forEach(([name, count]) => {
      const result = name as ServiceResult;
      byResult.set(result, (byResult.get(result) ?? 0) + count);
    });
  });
  byResult.delete('caller');
  const requests = [...byResult.values()].reduce((sum, count) => sum + count, 0);
  return { requests, badRequests: requests - (byResult.get('good') ?? 0), byResult };
}

function burnRateOf({ requests, badRequests }: WindowTotals, objectiveRatio: number): number {
  const allowedRatio = 1 - objectiveRatio;
  if (requests === 0 || badRequests === 0) {
    return 0;
  }
  return allowedRatio === 0 ? Infinity : badRequests / requests / allowedRatio;
}

function alarmOf(windows: readonly BurnWindow[]): BurnAlarm {
  const rateOf = (minutes: number): number =>
    windows.find((window) => window.minutes === minutes)?.burnRate ?? 0;
  const raised = ALARMS.find(({ windows: pair, burnRate }) =>
    pair.every((minutes) => rateOf(minutes) >= burnRate),
  );
  return raised?.alarm ?? 'none';
}

function objectiveOf(document: FleetDocument, serviceClass: ServiceClass): number {
  return serviceClass === 'urgent' || serviceClass === 'patient'
    ? document.defaults.ranks[serviceClass].objectiveRatio
    : SERVICE_OBJECTIVE_RATIO;
}

function exceptionsFor(
  document: FleetDocument,
  regionId: RegionId,
  serviceClass: ServiceClass,
  nowMs: number,
): BurnRow['exceptions'] {
  return document.exceptions
    .filter(
      ({ scope, expiresAt }) =>
        (scope.region === undefined || scope.region === regionId) &&
        (scope.rank === undefined || scope.rank === serviceClass) &&
        (expiresAt === undefined || Date.parse(expiresAt) > nowMs),
    )
    .map(({ id, reason }) => ({ id, reason }));
}

function createRow(
  input: BurnReportInput,
  regionId: RegionId,
  serviceClass: ServiceClass,
  minutes: readonly BurnMinuteCounts[],
): BurnRow {
  const currentMinute = Math.floor(input.nowMs / MS_PER_MINUTE);
  const objectiveRatio = objectiveOf(input.document, serviceClass);
  const since = (count: number): BurnMinuteCounts[] =>
    minutes.filter(({ minute }) => minute > currentMinute - count);
  const windows = WINDOW_MINUTES.map((count): BurnWindow => {
    const totals = sumCounts(since(count), serviceClass);
    const { requests, badRequests } = totals;
    return {
      minutes: count,
      requests,
      badRequests,
      burnRate: burnRateOf(totals, objectiveRatio),
    };
  });
  const longestWindow = sumCounts(since(Math.max(...WINDOW_MINUTES)), serviceClass);
  return {
    regionId,
    serviceClass,
    objectiveRatio,
    windows,
    alarm: alarmOf(windows),
    causes: [...longestWindow.byResult]
      .filter(([result]) => result !== 'good')
      .sort(([, a], [, b]) => b - a)
      .map(([result, requests]) => ({ result, requests })),
    exceptions: exceptionsFor(input.document, regionId, serviceClass, input.nowMs),
    lastHour: Array.from({ length: MINUTES_PER_HOUR }, (_, index) => {
      const minute = currentMinute - MINUTES_PER_HOUR + 1 + index;
      const totals = sumCounts(
        minutes.filter((candidate) => candidate.minute === minute),
        serviceClass,
      );
      return burnRateOf(totals, objectiveRatio);
    }),
  };
}

function describeGaps({ hosts, unresponsiveHosts, nowMs }: BurnReportInput): string[] {
  const longestMs = Math.max(...WINDOW_MINUTES) * MS_PER_MINUTE;
  const recentlyStarted = hosts.filter(({ startedAtMs }) => startedAtMs > nowMs - longestMs);
  return [
    ...unresponsiveHosts.map((hostId) => `${hostId} did not respond; its requests are missing`),
    ...recentlyStarted.map(
      ({ hostId, startedAtMs }) =>
        `${hostId} has counted requests since ${new Date(startedAtMs).toISOString()}; earlier requests are not included`,
    ),
  ];
}

/** Creates the report of burn rates per region and service class from the hosts' counters. */
export function createBurnReport(input: BurnReportInput): BurnReport {
  const regions = [...new Set(input.hosts.map((host) => host.regionId))].sort();
  return {
    createdAt: new Date(input.nowMs).toISOString(),
    hosts: input.hosts.map((host) => host.hostId),
    missing: describeGaps(input),
    rows: regions.flatMap((regionId) => {
      const minutes = input.hosts
        .filter((host) => host.regionId === regionId)
        .flatMap((host) => host.minutes);
      return CLASSES.map((serviceClass) => createRow(input, regionId, serviceClass, minutes));
    }),
  };
}
