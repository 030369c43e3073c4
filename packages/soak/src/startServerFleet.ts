import { buildServerEntry, startFakeServer } from '@camphorbarrow/platform/testing';
import type { ServerFault, FakeServer, FakeStore } from '@camphorbarrow/platform/testing';
import type { Arrival } from './Arrival.js';
import { createFaultyLink } from './createFaultyLink.js';
import type { FaultyLink } from './createFaultyLink.js';
import type { LinkFault } from './LinkFault.js';

/** How often servers refresh their entries; the `heartbeat_ms` of the settings. */
const HEARTBEAT_MS = 1_200;

export interface ServerFleet {
  /** What servers ran, those that have ended included. */
  arrivals(): readonly Arrival[];
  setFault(index: number, fault: ServerFault): void;
  setLinkFault(index: number, fault: LinkFault): void;
  /** Ends a server without notice and starts another one in its place. */
  replace(index: number): Promise<void>;
  close(): void;
}

interface Place {
  readonly zone: string;
  server: FakeServer;
  link: FaultyLink;
}

/** Starts a backend server in each of the zones, behind a link each, and keeps their entries. */
export async function startServerFleet(
  store: FakeStore,
  zones: readonly string[],
): Promise<ServerFleet> {
  let started = 0;
  let sequence = 0;
  const ended: Pick<Place, 'server' | 'zone'>[] = [];

  async function start(): Promise<Pick<Place, 'server' | 'link'>> {
    started += 1;
    const server = await startFakeServer(`i-${started}`);
    return { server, link: await createFaultyLink(server.address) };
  }

  const places: Place[] = await Promise.all(
    zones.map(async (zone) => ({ zone, ...(await start()) })),
  );

  function beat(): void {
    sequence += 1;
    places.forEach(({ server, link, zone }) =>
      store.put(
        `servers/${server.id}`,
        buildServerEntry(server, { zone, sequence, address: link.address }),
      ),
    );
  }
  beat();
  const heartbeats = setInterval(beat, HEARTBEAT_MS);

  return {
    arrivals: () =>
      [...ended, ...places].flatMap(({ server, zone }) =>
        server.receivedRequests.map(({ attemptId, target, atMs }) => ({
          attemptId,
          target,
          atMs,
          zone,
        })),
      ),
    setFault: (index, fault) => places[index]?.server.setFault(fault),
    setLinkFault: (index, fault) => places[index]?.link.setFault(fault),
    async replace(index) {
      const place = places[index];
      if (place === undefined) {
        return;
      }
      const { server, link, zone } = place;
      Object.assign(place, await start());
      ended.push({ server, zone });
      server.close();
      link.close();
      store.remove(`servers/${server.id}`);
      beat();
    },
    close() {
      clearInterval(heartbeats);
      places.forEach(({ server, link }) => {
        server.close();
        link.close();
      });
    },
  };
}
