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

export type Step = (label: string) => Promise<void>;

export interface FakeFleet {
  readonly store: FakeStore;
  readonly hosts: readonly ConfigManager[];
  /** Hosts that nobody can reach and that reach nobody. */
  readonly cutOff: Set<number>;
  /** Log events, in order. */
  readonly events: readonly string[];
  /** Delivers the heartbeat of one host to another. */
  deliver(from: number, to: number): Promise<void>;
}

/** Clock whose sleeps end after one step and move the time forward. */
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
const yieldOnce: Step = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Configuration keepers of several hosts with one store, in memory. */
export function createFakeFleet(size: number, step: Step = yieldOnce): FakeFleet {
  const store = createFakeStore(step);
  const clock = createSteppedClock(step);
  const hosts: ConfigManager[] = [];
  const cutOff = new Set<number>();
  const events: string[] = [];
  const record = (event: string): void => {
    events.push(event);
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
      reachable: !cutOff.has(index) && !cutOff.has(seenBy),
    };
  }

  function clientOf(self: number): Pick<PeerClient, 'fetchConfig' | 'pushConfig'> {
    async function connect(peerUrl: string): Promise<ConfigManager> {
      await step('peer call');
      const index = hosts.findIndex((_, candidate) => urlOf(candidate) === peerUrl);
      const host = hosts[index];
      if (host === undefined || cutOff.has(index) || cutOff.has(self)) {
        throw new PeerUnavailableError('The peer is cut off.');
      }
      return host;
    }
    return {
      async fetchConfig(peerUrl) {
        const document = (await connect(peerUrl)).document();
        await step('peer answer');
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
    cutOff,
    events,
    async deliver(from, to) {
      if (!cutOff.has(from) && !cutOff.has(to)) {
        await hosts[to]?.fetchIfNewer(describe(from, to));
      }
    },
  };
}
