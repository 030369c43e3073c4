import { buildServerEntry, startFakeServer } from '@camphorbarrow/platform/testing';
import type {
  FakeServer,
  FakeStore,
  FragilityLimits,
  ServerFault,
} from '@camphorbarrow/platform/testing';
import type { Arrival, PausingRejection } from './Arrival.js';
import type { Fall } from './checkFalls.js';
import { createFaultyLink } from './createFaultyLink.js';
import type { FaultyLink } from './createFaultyLink.js';
import type { LinkFault } from './LinkFault.js';

/** Interval at which servers refresh their store entries: `heartbeat_ms` of the settings. */
const HEARTBEAT_MS = 1_200;

const MS_PER_S = 1_000;
/** Time from the fall of a server until another one takes its place. */
const FALL_MS = 1_000;

export interface ServerFleet {
  /** Requests that current and replaced servers received and did not reject. */
  arrivals(): readonly Arrival[];
  /** Requests that current and replaced servers rejected to ask for a pause. */
  pausingRejections(): readonly PausingRejection[];
  /** Lets all further responses of the server say that it leaves; its entry says ready. */
  setLeaving(index: number): void;
  /** Lets the server reject everything and ask for a pause; undefined ends this. */
  setPause(index: number, retryAfterMs: number | undefined): void;
  /** Limits the requests that each server runs, and the rejections that it bears. */
  setFragility(limits: FragilityLimits | undefined): void;
  setDelayMs(delayMs: number): void;
  /** Servers that fell over because they had to reject too much. */
  falls(): readonly Fall[];
  setFault(index: number, fault: ServerFault): void;
  setLinkFault(index: number, fault: LinkFault): void;
  /** Injects a fault into the links of one host to all servers, also to later ones. */
  setHostFault(host: number, fault: LinkFault): void;
  /** Stops a server without notice and starts another one in the same zone. */
  replace(index: number): Promise<void>;
  close(): void;
}

interface FleetMember {
  readonly zone: string;
  server: FakeServer;
  link: FaultyLink;
}

/**
 * Starts a backend server behind a link in each zone and keeps the store entries up to date.
 *
 * @param findHost finds the host that has opened a connection, from the address that it comes from
 */
export async function startServerFleet(
  store: FakeStore,
  zones: readonly string[],
  findHost: (address: string) => number | undefined,
): Promise<ServerFleet> {
  let startedCount = 0;
  let sequence = 0;
  const falls: Fall[] = [];
  let fragility: FragilityLimits | undefined;
  let delayMs = 0;
  const replaced: Pick<FleetMember, 'server' | 'zone'>[] = [];
  const hostFaults = new Map<number, LinkFault>();

  let replaceFallen = (_server: FakeServer): void => undefined;

  function recordFall(server: FakeServer): void {
    const fromMs = performance.now() - MS_PER_S;
    const rejections = server.roomRejections.filter(({ atMs }) => atMs > fromMs);
    falls.push({ server: server.id, rejected: rejections.map(({ attemptId }) => attemptId) });
    setTimeout(() => replaceFallen(server), FALL_MS);
  }

  async function start(): Promise<Pick<FleetMember, 'server' | 'link'>> {
    startedCount += 1;
    const server = await startFakeServer(`i-${startedCount}`);
    const link = await createFaultyLink(server.address, findHost);
    hostFaults.forEach((fault, host) => link.setOwnerFault(host, fault));
    server.setFragility(fragility);
    server.setDelayMs(delayMs);
    server.onFall(() => recordFall(server));
    return { server, link };
  }

  const members: FleetMember[] = await Promise.all(
    zones.map(async (zone) => ({ zone, ...(await start()) })),
  );

  function refreshEntries(): void {
    sequence += 1;
    members.forEach(({ server, link, zone }) =>
      store.put(
        `servers/${server.id}`,
        buildServerEntry(server, { zone, sequence, address: link.address }),
      ),
    );
  }
  refreshEntries();
  const heartbeats = setInterval(refreshEntries, HEARTBEAT_MS);

  async function replace(index: number): Promise<void> {
    const member = members[index];
    if (member === undefined) {
      return;
    }
    const { server, link, zone } = member;
    Object.assign(member, await start());
    replaced.push({ server, zone });
    server.close();
    link.close();
    store.remove(`servers/${server.id}`);
    refreshEntries();
  }
  replaceFallen = (fallen) => {
    void replace(members.findIndex(({ server }) => server === fallen));
  };

  return {
    arrivals: () =>
      [...replaced, ...members].flatMap(({ server, zone }) =>
        server.receivedRequests.map(
          ({ attemptId, target, atMs, headers, customer, remoteAddress }) => ({
            attemptId,
            sender: findHost(remoteAddress),
            target,
            atMs,
            zone,
            customer,
            showsKey: headers.authorization !== undefined,
            server: server.id,
          }),
        ),
      ),
    pausingRejections: () =>
      [...replaced, ...members].flatMap(({ server, zone }) =>
        server.pausedRequests.map(({ attemptId, atMs, retryAfter, remoteAddress }) => ({
          attemptId,
          sender: findHost(remoteAddress),
          atMs,
          zone,
          server: server.id,
          retryAfterMs: Number(retryAfter) * MS_PER_S,
        })),
      ),
    setLeaving: (index) => members[index]?.server.setLeaving('1'),
    setPause: (index, retryAfterMs) =>
      members[index]?.server.setPause(
        retryAfterMs === undefined
          ? undefined
          : { retryAfter: String(retryAfterMs / MS_PER_S), notRun: true },
      ),
    setFragility(limits) {
      fragility = limits;
      members.forEach(({ server }) => server.setFragility(limits));
    },
    setDelayMs(next) {
      delayMs = next;
      members.forEach(({ server }) => server.setDelayMs(next));
    },
    falls: () => falls,
    setFault: (index, fault) => members[index]?.server.setFault(fault),
    setLinkFault: (index, fault) => members[index]?.link.setFault(fault),
    setHostFault(host, fault) {
      hostFaults.set(host, fault);
      members.forEach(({ link }) => link.setOwnerFault(host, fault));
    },
    replace,
    close() {
      clearInterval(heartbeats);
      replaceFallen = () => undefined;
      members.forEach(({ server, link }) => {
        server.close();
        link.close();
      });
    },
  };
}
