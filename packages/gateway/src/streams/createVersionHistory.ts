import type { Clock } from '@camphorbarrow/core';
import type { ServerRegistration } from '../model/ServerRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';

/**
 * Added to the age of what this host has heard when it tells others, as the age in a report does not
 * include its transit. Without it, hosts that tell each other of a version would never forget it.
 */
const REPORT_TRANSIT_MS = 1_000;

/** Maximum number of reports: heartbeats, which carry them, must fit into a datagram. */
const MAX_REPORTS = 64;

/** A version that servers of a service had, and the time since. */
export interface VersionReport {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  readonly ageMs: number;
}

/** Software versions that the servers of each service have had for as long as a stream may last. */
export interface VersionHistory {
  /** Records the versions of the listed servers. */
  recordServers(registrations: readonly ServerRegistration[]): void;
  /** Records what this host has seen, or the host that began a stream. */
  record(report: VersionReport): void;
  /** Records what a peer reports, which it may have heard from others. */
  merge(reports: readonly VersionReport[]): void;
  versionsOf(service: ServiceName): readonly SoftwareVersion[];
  /** Whether streams of several versions may exist. */
  isMixed(service: ServiceName): boolean;
  /** Services of which streams of several versions may exist. */
  mixedServices(): readonly ServiceName[];
  /** What this host and its peers saw, of all services. */
  sightings(): readonly VersionReport[];
  /** Versions of the services with several ones, for peers; the latest if there are many. */
  reports(): readonly VersionReport[];
}

interface Sighting {
  /** Monotonic time. */
  readonly atMs: number;
  readonly isHeard: boolean;
}

/**
 * Creates a history that holds no sightings.
 *
 * @param keptVersions versions in the store, which count for as long as they are listed there
 */
export function createVersionHistory(
  clock: Clock,
  keptVersions: () => readonly Pick<VersionReport, 'service' | 'version'>[] = () => [],
): VersionHistory {
  /** Latest sighting of each version. */
  const sightings = new Map<ServiceName, Map<SoftwareVersion, Sighting>>();

  const isRecent = (atMs: number): boolean => clock.monotonicMs() - atMs <= STREAM_RETENTION_MS;

  function add({ service, version, ageMs }: VersionReport, isHeard: boolean): void {
    const atMs = clock.monotonicMs() - ageMs;
    const versions = sightings.get(service) ?? new Map<SoftwareVersion, Sighting>();
    const knownAtMs = versions.get(version)?.atMs ?? -Infinity;
    if (isRecent(atMs) && atMs > knownAtMs) {
      versions.set(version, { atMs, isHeard });
      sightings.set(service, versions);
    }
  }

  const record = (report: VersionReport): void => add(report, false);

  const seenVersions = (service: ServiceName): readonly SoftwareVersion[] =>
    [...(sightings.get(service) ?? [])]
      .filter(([, { atMs }]) => isRecent(atMs))
      .map(([version]) => version);

  const versionsOf = (service: ServiceName): readonly SoftwareVersion[] => [
    ...new Set([
      ...seenVersions(service),
      ...keptVersions()
        .filter((kept) => kept.service === service)
        .map(({ version }) => version),
    ]),
  ];

  const isMixed = (service: ServiceName): boolean => versionsOf(service).length > 1;

  function dropOld(): void {
    sightings.forEach((versions, service) => {
      versions.forEach(({ atMs }, version) => {
        if (!isRecent(atMs)) {
          versions.delete(version);
        }
      });
      if (versions.size === 0) {
        sightings.delete(service);
      }
    });
  }

  const toReports = (
    service: ServiceName,
    versions: ReadonlyMap<SoftwareVersion, Sighting>,
  ): readonly VersionReport[] =>
    [...versions].map(([version, { atMs, isHeard }]) => ({
      service,
      version,
      ageMs: Math.round(clock.monotonicMs() - atMs) + (isHeard ? REPORT_TRANSIT_MS : 0),
    }));

  return {
    recordServers(registrations) {
      dropOld();
      registrations.forEach(({ service, softwareVersion }) =>
        record({ service, version: softwareVersion, ageMs: 0 }),
      );
    },
    record,
    merge: (reports) => reports.forEach((each) => add(each, true)),
    versionsOf,
    isMixed,
    mixedServices: () => [...sightings.keys()].filter(isMixed),
    sightings: () => [...sightings].flatMap(([service, versions]) => toReports(service, versions)),
    reports: () =>
      [...sightings]
        .flatMap(([service, versions]) => (isMixed(service) ? toReports(service, versions) : []))
        .sort((a, b) => a.ageMs - b.ageMs)
        .slice(0, MAX_REPORTS),
  };
}
