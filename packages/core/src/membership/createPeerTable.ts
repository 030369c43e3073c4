import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValue, KeyValueStore, LeaseId } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { RegionLoadSummary } from '../routing/spill/RegionLoadSummary.js';
import type { Heartbeat } from './Heartbeat.js';
import type { PeerDescription } from './PeerDescription.js';
import type { PeerView } from './PeerView.js';
import { peerDescriptionSchema } from './peerDescriptionSchema.js';
import { shuffle } from './shuffle.js';

/** Prefix of the keys under which entry hosts register in the key-value service. */
const REGISTRATION_PREFIX = '/hosts/';
const REGISTRATION_TTL_SECONDS = 30;
const REGISTRATION_INTERVAL_MS = 10_000;
const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_FANOUT = 8;
const MAX_KNOWN_IN_HEARTBEAT = 32;
const FAILURE_TIMEOUT_MS = 3_500;
const EVICTION_TIMEOUT_MS = 120_000;
/** Other programs choose the length of their keys and values; a log line stays short. */
const MAX_LOGGED_LENGTH = 200;

export interface PeerTableOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly store: KeyValueStore;
  readonly peerClient: PeerClient;
  /** Current description of this entry host, without its sequence number. */
  readonly self: () => Omit<PeerDescription, 'sequence'>;
  /**
   * Load of the own region. Sent only in heartbeats, because a stored value would appear current.
   */
  readonly regionLoad?: () => RegionLoadSummary;
  /** Peer URLs that also receive heartbeats as long as no known peer has that URL. */
  readonly seedPeerUrls: readonly string[];
  /** Called for every new description of a peer, for example to fetch a newer configuration. */
  readonly onPeerUpdate: (peer: PeerDescription) => void;
  /** Called after every sent heartbeat with its round-trip time, or undefined when it failed. */
  readonly onRoundTrip?: (regionId: RegionId, roundTripMs: number | undefined) => void;
}

export interface PeerTable {
  /** All known peers, reachable or not. */
  peers(): readonly PeerView[];
  /** Reachable peers of a region that accept new requests. */
  livePeers(regionId: RegionId): readonly PeerView[];
  /** Processes a peer's heartbeat and returns the response. */
  receive(message: Heartbeat): Heartbeat;
  /** Sends heartbeats to some random peers immediately, for example after a change of state. */
  announce(): Promise<void>;
  start(): void;
  close(): Promise<void>;
}

interface PeerState {
  description: PeerDescription;
  lastSeenAtMs: number;
}

function isNewer(candidate: PeerDescription, known: PeerDescription): boolean {
  if (candidate.startedAtMs !== known.startedAtMs) {
    return candidate.startedAtMs > known.startedAtMs;
  }
  return candidate.sequence > known.sequence;
}

/**
 * Creates the table of the other entry hosts, which heartbeats and registrations keep up to date.
 */
export function createPeerTable(options: PeerTableOptions): PeerTable {
  const { clock, random, log, store, peerClient } = options;
  const states = new Map<HostId, PeerState>();
  const stopping = new AbortController();
  const tasks: Promise<void>[] = [];
  let sequence = 0;
  let leaseId: LeaseId | undefined;

  function describeSelf(): PeerDescription {
    return { ...options.self(), sequence };
  }

  function applyDescription(description: PeerDescription): void {
    if (description.hostId === options.self().hostId) {
      return;
    }
    const known = states.get(description.hostId);
    if (known !== undefined && !isNewer(description, known.description)) {
      return;
    }
    states.set(description.hostId, { description, lastSeenAtMs: clock.monotonicMs() });
    options.onPeerUpdate(description);
  }

  function isReachable(state: PeerState): boolean {
    return clock.monotonicMs() - state.lastSeenAtMs < FAILURE_TIMEOUT_MS;
  }

  function evictStalePeers(): void {
    const oldestMs = clock.monotonicMs() - EVICTION_TIMEOUT_MS;
    [...states]
      .filter(([, state]) => state.lastSeenAtMs < oldestMs)
      .forEach(([id]) => states.delete(id));
  }

  function createHeartbeat(): Heartbeat {
    const reachable = [...states.values()].filter(isReachable).map((state) => state.description);
    return {
      sender: { ...describeSelf(), regionLoad: options.regionLoad?.() },
      known: shuffle(reachable, random).slice(0, MAX_KNOWN_IN_HEARTBEAT),
    };
  }

  function receive(message: Heartbeat): Heartbeat {
    applyDescription(message.sender);
    message.known.forEach(applyDescription);
    return createHeartbeat();
  }

  function reportFailedRoundTrip(peerUrl: string): void {
    [...states.values()]
      .filter(({ description }) => description.peerUrl === peerUrl)
      .forEach(({ description }) => options.onRoundTrip?.(description.regionId, undefined));
  }

  async function sendHeartbeat(peerUrl: string): Promise<void> {
    const sentAtMs = clock.monotonicMs();
    try {
      const response = await peerClient.heartbeat(peerUrl, createHeartbeat());
      options.onRoundTrip?.(response.sender.regionId, clock.monotonicMs() - sentAtMs);
      applyDescription(response.sender);
      response.known.forEach(applyDescription);
    } catch (cause) {
      reportFailedRoundTrip(peerUrl);
      log.warn('heartbeat-failed', { peerUrl, error: String(cause) });
    }
  }

  function heartbeatTargets(): readonly string[] {
    const known = [...states.values()].map((state) => state.description.peerUrl);
    const unknownSeeds = options.seedPeerUrls.filter((url) => !known.includes(url));
    const own = options.self().peerUrl;
    return shuffle([...known, ...unknownSeeds], random)
      .filter((url) => url !== own)
      .slice(0, HEARTBEAT_FANOUT);
  }

  async function announce(): Promise<void> {
    sequence += 1;
    await Promise.all(heartbeatTargets().map(sendHeartbeat));
  }

  async function sendHeartbeatsUntilClosed(): Promise<void> {
    while (!stopping.signal.aborted) {
      evictStalePeers();
      await announce();
      await clock.sleep(HEARTBEAT_INTERVAL_MS, stopping.signal).catch(() => undefined);
    }
  }

  /** Applies a registration, unless it is malformed: its peer must not hide the others. */
  function applyRegistration({ key, value }: KeyValue): void {
    try {
      applyDescription(peerDescriptionSchema.parse(JSON.parse(value)));
    } catch (cause) {
      const error = String(cause).slice(0, MAX_LOGGED_LENGTH);
      log.warn('registration-ignored', { key: key.slice(0, MAX_LOGGED_LENGTH), error });
    }
  }

  async function register(): Promise<void> {
    const self = describeSelf();
    const key = `${REGISTRATION_PREFIX}${self.regionId}/${self.hostId}`;
    leaseId = await store.grantLease(REGISTRATION_TTL_SECONDS);
    const current = await store.get(key);
    await store.compareAndSwap({
      key,
      expectedRevision: current?.modRevision ?? 0,
      value: JSON.stringify(self),
      leaseId,
    });
    const registered = await store.list(REGISTRATION_PREFIX);
    registered.forEach(applyRegistration);
  }

  async function keepRegistered(): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        if (leaseId === undefined || (await store.keepAlive(leaseId)) === 0) {
          await register();
        }
      } catch (cause) {
        log.warn('registration-failed', { error: String(cause) });
      }
      await clock.sleep(REGISTRATION_INTERVAL_MS, stopping.signal).catch(() => undefined);
    }
  }

  async function unregister(): Promise<void> {
    if (leaseId !== undefined) {
      await store.revokeLease(leaseId).catch(() => undefined);
    }
  }

  const peers = (): PeerView[] =>
    [...states.values()].map((state) => ({
      ...state.description,
      reachable: isReachable(state),
      lastSeenAtMs: state.lastSeenAtMs,
    }));

  return {
    peers,
    livePeers: (regionId) =>
      peers().filter(
        (peer) => peer.regionId === regionId && peer.reachable && peer.state === 'live',
      ),
    receive,
    announce,
    start() {
      tasks.push(sendHeartbeatsUntilClosed(), keepRegistered());
    },
    async close() {
      stopping.abort();
      await Promise.all(tasks);
      await unregister();
    },
  };
}
