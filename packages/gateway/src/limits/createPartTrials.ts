import type { Clock, HostId, PartSuspicion, PromptPartKey } from '@camphorbarrow/core';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';

/** Time for which a trial that a peer announced is assumed to run. */
const PEER_TRIAL_MAX_AGE_MS = 2_500;
/** Time after which twice as many hosts may try a part that is still suspected. */
const TRIAL_STEP_MS = 1_000;

export interface PartTrialsOptions {
  readonly clock: Clock;
  /** A part may also stand for a whole request that crashed servers. */
  readonly suspicion: Pick<PartSuspicion, 'suspectsAmong' | 'suspectedSinceMs'>;
  readonly ownId: HostId;
  /** Entry hosts of all regions that are registered or reachable, including this one. */
  readonly hosts: () => readonly HostId[];
}

/** Permission to send a request with suspected parts. */
export interface PartTrial {
  /** Ends the trial, so that another request with the parts may be sent. */
  end(): void;
}

/** Limits the requests with suspected prompt parts that run at the same time. */
export interface PartTrials {
  /**
   * Permits a request to be sent; undefined if it has to wait for the outcome of another one.
   *
   * @param isRetry whether the request was running on a server that crashed
   */
  tryStart(parts: readonly PromptPartKey[], isRetry: boolean): PartTrial | undefined;
  /** Parts of the trials that run on this host, to announce to peers. */
  running(): readonly PromptPartKey[];
  /** Records the trials that a peer announced, in place of its earlier ones. */
  recordPeer(host: HostId, parts: readonly PromptPartKey[]): void;
  /** Sets the function that is called when a trial starts, to announce it to peers at once. */
  onStart(listener: () => void): void;
}

interface PeerTrials {
  readonly parts: readonly PromptPartKey[];
  readonly atMs: number;
}

/** Permission for a request without suspected parts. */
export const UNLIMITED_TRIAL: PartTrial = { end: () => undefined };

/**
 * Creates the limit. All hosts compute the same order of hosts for a part. Only the first one may
 * send a request with it at first, and the number of permitted hosts doubles at each step without a
 * crash or a response, so that a part that is asked for at few hosts is tried nevertheless. A host
 * sends one request with the part at a time, and none while another host has announced a trial. A
 * retry may be sent without waiting for the host's turn: there is usually only one.
 */
export function createPartTrials(options: PartTrialsOptions): PartTrials {
  const { clock, suspicion, ownId } = options;
  const running = new Set<PromptPartKey>();
  const peerTrials = new Map<HostId, PeerTrials>();
  let notify = (): void => undefined;

  function isOnTrial(part: PromptPartKey): boolean {
    const oldestMs = clock.monotonicMs() - PEER_TRIAL_MAX_AGE_MS;
    return (
      running.has(part) ||
      [...peerTrials.values()].some(({ parts, atMs }) => atMs >= oldestMs && parts.includes(part))
    );
  }

  function isOwnTurn(part: PromptPartKey): boolean {
    const elapsedMs = clock.monotonicMs() - suspicion.suspectedSinceMs(part);
    const permittedHosts = 2 ** Math.max(0, Math.floor(elapsedMs / TRIAL_STEP_MS));
    return rankByRendezvous(part, options.hosts()).indexOf(ownId) < permittedHosts;
  }

  return {
    tryStart(parts, isRetry) {
      const suspects = suspicion.suspectsAmong(parts);
      if (suspects.length === 0) {
        return UNLIMITED_TRIAL;
      }
      if (suspects.some(isOnTrial) || !(isRetry || suspects.every(isOwnTurn))) {
        return undefined;
      }
      suspects.forEach((part) => running.add(part));
      notify();
      return { end: () => suspects.forEach((part) => running.delete(part)) };
    },
    running: () => [...running],
    recordPeer(host, parts) {
      if (parts.length === 0) {
        peerTrials.delete(host);
      } else {
        peerTrials.set(host, { parts, atMs: clock.monotonicMs() });
      }
    },
    onStart(listener) {
      notify = listener;
    },
  };
}
