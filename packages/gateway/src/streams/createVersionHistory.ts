import type { Clock } from '@camphorbarrow/core';
import type { ServerRegistration } from '../model/ServerRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';

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
  /** Records what this host or a peer has seen. */
  record(report: VersionReport): void;
  versionsOf(service: ServiceName): readonly SoftwareVersion[];
  /** Whether streams of several versions may exist. */
  isMixed(service: ServiceName): boolean;
  /** Versions of the services with several ones, for peers. */
  reports(): readonly VersionReport[];
}

/** Creates an empty history. */
export function createVersionHistory(clock: Clock): VersionHistory {
  /** Monotonic time at which each version was last seen. */
  const seenAtMs = new Map<ServiceName, Map<SoftwareVersion, number>>();

  const isRecent = (atMs: number): boolean => clock.monotonicMs() - atMs <= STREAM_RETENTION_MS;

  function record({ service, version, ageMs }: VersionReport): void {
    const atMs = clock.monotonicMs() - ageMs;
    const versions = seenAtMs.get(service) ?? new Map<SoftwareVersion, number>();
    const knownAtMs = versions.get(version) ?? -Infinity;
    if (isRecent(atMs) && atMs > knownAtMs) {
      versions.set(version, atMs);
      seenAtMs.set(service, versions);
    }
  }

  const versionsOf = (service: ServiceName): readonly SoftwareVersion[] =>
    [...(seenAtMs.get(service) ?? [])]
      .filter(([, atMs]) => isRecent(atMs))
      .map(([version]) => version);

  const isMixed = (service: ServiceName): boolean => versionsOf(service).length > 1;

  function dropOld(): void {
    seenAtMs.forEach((versions, service) => {
      versions.forEach((atMs, version) => {
        if (!isRecent(atMs)) {
          versions.delete(version);
        }
      });
      if (versions.size === 0) {
        seenAtMs.delete(service);
      }
    });
  }

  return {
    recordServers(registrations) {
      dropOld();
      registrations.forEach(({ service, softwareVersion }) =>
        record({ service, version: softwareVersion, ageMs: 0 }),
      );
    },
    record,
    versionsOf,
    isMixed,
    reports: () =>
      [...seenAtMs].flatMap(([service, versions]) =>
        isMixed(service)
          ? [...versions].map(([version, atMs]) => ({
              service,
              version,
              ageMs: Math.round(clock.monotonicMs() - atMs),
            }))
          : [],
      ),
  };
}
