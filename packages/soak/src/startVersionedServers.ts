import { buildServerEntry, startFakeServer } from '@camphorbarrow/platform/testing';
import type { FakeServer, FakeStore, ServerFault } from '@camphorbarrow/platform/testing';
import type { Arrival } from './Arrival.js';
import { createFaultyLink } from './createFaultyLink.js';
import type { FaultyLink } from './createFaultyLink.js';
import type { LinkFault } from './LinkFault.js';
import type { ServingTime } from './ServingTime.js';
import { sleep } from './sleep.js';
import {
  STREAM_EVENTS,
  releasedServices,
  softwareVersions,
  versionedServices,
} from './versionedService.js';
import type { VersionedService } from './versionedService.js';

/** Interval at which servers refresh their store entries: `heartbeat_ms` of the settings. */
const HEARTBEAT_MS = 1_200;
const EVENT_PAUSE_MS = 40;
/** Time after the entry of the second version in which callers prefer the service. */
const RELEASED_MS = 500;

/**
 * How a server without a fault writes. Every second pair of servers, one of each version, leaves out the
 * framing: an end of the process looks like an end of its responses.
 */
const soundMode = (index: number): ServerFault =>
  Math.floor(index / softwareVersions.length) % 2 === 0 ? 'none' : 'whole-unframed';

export interface VersionedServers {
  /** Service of which a server has started again with the second version, for a while after that. */
  releasedService(): VersionedService | undefined;
  /** Requests that current and earlier processes received and did not reject. */
  arrivals(): readonly Arrival[];
  servingTimes(): readonly ServingTime[];
  setFault(index: number, fault: ServerFault): void;
  /** Injects a fault into the links of one host to all servers. */
  setHostFault(host: number, fault: LinkFault): void;
  /**
   * Ends a server with all its streams and starts it under its id and address with the other
   * version. Resolves after the delay, when its entry says so.
   */
  restart(index: number, entryDelayMs: number): Promise<void>;
  /** Restarts the first server of a service that has one version, if it has not been restarted. */
  release(index: number, entryDelayMs: number): Promise<void>;
  close(): void;
}

interface VersionedMember {
  readonly service: VersionedService;
  readonly zone: string;
  readonly link: FaultyLink;
  server: FakeServer;
  fault: ServerFault;
  sequence: number;
  /** Whether the entry is that of the current process. */
  isListed: boolean;
  /** Undefined while the server does not serve properly. */
  servesSinceMs: number | undefined;
}

/**
 * Starts the servers of several versions, each behind a link, and keeps their store entries up to date.
 *
 * @param findHost finds the host that has opened a connection, from the address that it comes from
 */
export async function startVersionedServers(
  store: FakeStore,
  findHost: (address: string) => number | undefined,
): Promise<VersionedServers> {
  const eventCount = STREAM_EVENTS;
  const ended: { readonly server: FakeServer; readonly zone: string }[] = [];
  const servingTimes: ServingTime[] = [];

  const members: VersionedMember[] = await Promise.all(
    versionedServices
      .flatMap((service) => service.servers.map((server) => ({ service, ...server })))
      .map(async ({ service, zone, version }, index) => {
        const server = await startFakeServer(`s-${index + 1}`, {
          version,
          eventCount,
          eventPauseMs: EVENT_PAUSE_MS,
        });
        server.setFault(soundMode(index));
        const link = await createFaultyLink(server.address, findHost);
        return {
          service,
          zone,
          link,
          server,
          fault: 'none' as const,
          sequence: 0,
          isListed: true,
          servesSinceMs: performance.now(),
        };
      }),
  );

  function writeEntry(member: VersionedMember): void {
    const { service, server, zone, link } = member;
    member.sequence += 1;
    store.put(
      `servers/${server.id}`,
      buildServerEntry(server, {
        service: service.name,
        zone,
        sequence: member.sequence,
        address: link.address,
      }),
    );
  }
  members.forEach(writeEntry);
  const heartbeats = setInterval(
    () => members.filter(({ isListed }) => isListed).forEach(writeEntry),
    HEARTBEAT_MS,
  );

  function endServing(member: VersionedMember): void {
    const { service, server, zone, servesSinceMs } = member;
    if (servesSinceMs !== undefined) {
      servingTimes.push({
        service: service.name,
        server: server.id,
        version: server.version ?? '',
        zone,
        fromMs: servesSinceMs,
        untilMs: performance.now(),
      });
    }
    member.servesSinceMs = undefined;
  }

  let released: VersionedService | undefined;

  async function restart(index: number, entryDelayMs: number): Promise<void> {
    const member = members[index];
    if (member?.isListed !== true) {
      return;
    }
    endServing(member);
    member.isListed = false;
    const { server, zone } = member;
    ended.push({ server, zone });
    server.close();
    member.server = await startFakeServer(server.id, {
      port: Number(server.address.split(':').pop()),
      version: softwareVersions.find((version) => version !== server.version) ?? 'v1',
      eventCount,
      eventPauseMs: EVENT_PAUSE_MS,
    });
    member.server.setFault(soundMode(index));
    member.fault = 'none';
    await sleep(entryDelayMs);
    member.sequence = 0;
    member.isListed = true;
    member.servesSinceMs = member.fault === 'none' ? performance.now() : undefined;
    writeEntry(member);
  }

  return {
    releasedService: () => released,
    arrivals: () =>
      [...ended, ...members].flatMap(({ server, zone }) =>
        server.receivedRequests.map(({ attemptId, target, atMs, remoteAddress }) => ({
          attemptId,
          sender: findHost(remoteAddress),
          target,
          atMs,
          zone,
          server: server.id,
        })),
      ),
    servingTimes() {
      members.forEach((member) => {
        const isServing = member.servesSinceMs !== undefined;
        endServing(member);
        member.servesSinceMs = isServing ? performance.now() : undefined;
      });
      return servingTimes;
    },
    setFault(index, fault) {
      const member = members[index];
      if (member === undefined) {
        return;
      }
      member.server.setFault(fault === 'none' ? soundMode(index) : fault);
      member.fault = fault;
      if (fault !== 'none') {
        endServing(member);
      } else if (member.isListed) {
        member.servesSinceMs ??= performance.now();
      }
    },
    setHostFault(host, fault) {
      members.forEach(({ link }) => link.setOwnerFault(host, fault));
    },
    restart,
    async release(index, entryDelayMs) {
      const service = releasedServices[index];
      const first = members.findIndex((member) => member.service === service);
      if (service === undefined || members[first]?.server.version !== 'v1') {
        return;
      }
      released = service;
      await restart(first, entryDelayMs);
      await sleep(RELEASED_MS);
      released = released === service ? undefined : released;
    },
    close() {
      clearInterval(heartbeats);
      members.forEach(({ server, link }) => {
        server.close();
        link.close();
      });
    },
  };
}
