import { createConfigManager } from '../../src/config/createConfigManager.js';
import type { ConfigManager } from '../../src/config/createConfigManager.js';
import { PeerUnavailableError } from '../../src/errors/PeerUnavailableError.js';
import type { PeerView } from '../../src/membership/PeerView.js';
import { asId } from '../../src/ids/asId.js';
import type { Clock } from '../../src/ports/Clock.js';
import type { LogSink } from '../../src/ports/LogSink.js';
import type { PeerClient } from '../../src/ports/PeerClient.js';
import type { FakeStore } from './createFakeStore.js';
import { createFakeStore } from './createFakeStore.js';

/** Called between the steps of the fake calls; controls how concurrent calls interleave. */
export type Step = (label: string) => Promise<void>;

export interface FakeFleet {
  readonly store: FakeStore;
  readonly hosts: readonly ConfigManager[];
  /** Hosts that can neither reach other hosts nor be reached by them. */
  readonly isolated: Set<number>;
  /** Names of the logged events, in order. */
  readonly loggedEvents: readonly string[];
  /** Delivers a heartbeat of one host to another, unless one of them is isolated. */
  deliverHeartbeat(from: number, to: number): Promise<void>;
}

/** Clock whose sleeps advance the time and end after one step. */
function createSteppedClock(step: Step): Clock {
  let timeMs = 0;
  return {
    nowMs: () => timeMs,
    monotonicMs: () => timeMs,
    async sleep(durationMs) {
      timeMs += durationMs;
      await step('sleep');
    },
  };
}

const urlOf = (index: number): string => `http://127.0.0.1:${9_000 + index}`;
const nextTurn: Step = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Configuration managers of several hosts that share one in-memory store. */
export function createFakeFleet(size: number, step: Step = nextTurn): FakeFleet {
  const store = createFakeStore(step);
  const clock = createSteppedClock(step);
  const hosts: ConfigManager[] = [];
  const isolated = new Set<number>();
  const loggedEvents: string[] = [];
  const record = (event: string): void => {
    loggedEvents.push(event);
  };
  const log: LogSink = { info: record, warn: record, error: record };

  function describe(index: number, seenBy: number): PeerView {
    const { version, changeId } = (hosts[index] as ConfigManager).revision();
    return {
      hostId: asId(`host-${index}`),
      incarnation: asId('1'),
      startedAtMs: 0,
      regionId: asId('norte'),
      availabilityZoneId: asId('norte-a'),
      callerUrl: urlOf(index),
      peerUrl: urlOf(index),
      state: 'live',
      sequence: 1,
      configVersion: version,
      configChangeId: changeId,
      lastSeenAtMs: 0,
      reachable: !isolated.has(index) && !isolated.has(seenBy),
    };
  }

  function clientOf(self: number): Pick<PeerClient, 'fetchConfig' | 'pushConfig'> {
    async function connect(peerUrl: string): Promise<ConfigManager> {
      await step('peer call');
      const index = hosts.findIndex((_, candidate) => urlOf(candidate) === peerUrl);
      const host = hosts[index];
      if (host === undefined || isolated.has(index) || isolated.has(self)) {
        throw new PeerUnavailableError('The peer is isolated.');
      }
      return host;
    }
    return {
      async fetchConfig(peerUrl) {
        const document = (await connect(peerUrl)).document();
        await step('peer response');
        return document;
      },
      async pushConfig(peerUrl, document) {
        const host = await connect(peerUrl);
        host.adopt(document);
        return host.revision();
      },
    };
  }

  for (let index = 0; index < size; index += 1) {
    const host = createConfigManager({
      clock,
      random: { next: () => 0.5 },
      log,
      store,
      peerClient: clientOf(index),
      seedPeerUrls: [],
      listPeers: () =>
        hosts.map((_, peer) => describe(peer, index)).filter((_, peer) => peer !== index),
    });
    hosts.push(host);
  }

  return {
    store,
    hosts,
    isolated,
    loggedEvents,
    async deliverHeartbeat(from, to) {
      if (!isolated.has(from) && !isolated.has(to)) {
        await hosts[to]?.fetchIfNewer(describe(from, to));
      }
    },
  };
}
