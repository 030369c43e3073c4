import type { Clock, LeaseId, LogSink, RandomSource } from '@camphorbarrow/core';
import { LeaseEndedError } from '../errors/LeaseEndedError.js';
import type { MetadataStore } from '../ports/MetadataStore.js';

/** Minimum time over which the hosts spread their registrations after a restore of the store. */
const MIN_RESTORE_SPREAD_MS = 1_000;
/** Registrations of all hosts per second; each takes two of the store's several hundred writes. */
const FLEET_REGISTRATIONS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;

export interface HostRegistrationOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly store: MetadataStore;
  readonly key: string;
  /** Encoded registration of this host. */
  readonly value: string;
  readonly leaseTtlMs: number;
  readonly renewEveryMs: number;
  /** Number of entry hosts that share the store, including this one. */
  readonly hostCount: () => number;
  /** Whether the store still has the registration, according to the view of this host. */
  readonly isRegistered: () => boolean;
  /** Registers a listener for restores of the store, which lose the registration and its lease. */
  readonly onStoreRestored: (listener: () => void) => void;
  readonly signal: AbortSignal;
}

/** Keeps this host registered in the store until the signal aborts, then ends its lease. */
export async function runHostRegistration(options: HostRegistrationOptions): Promise<void> {
  const { clock, log, store, signal } = options;
  let leaseId: LeaseId | undefined;
  let restored = new AbortController();
  options.onStoreRestored(() => restored.abort());

  async function register(): Promise<void> {
    leaseId = undefined;
    const granted = await store.grantLease(options.leaseTtlMs);
    await store.putLeased({ key: options.key, value: options.value, leaseId: granted });
    leaseId = granted;
    log.info('host-registered', { leaseTtlMs: options.leaseTtlMs });
  }

  async function renew(): Promise<void> {
    // The store can remove the key without notice; only the watch shows that.
    if (leaseId === undefined || !options.isRegistered()) {
      await register();
    } else {
      await store.renewLease(leaseId);
    }
  }

  /** Waits until the next renewal, or for a short time after a restore of the store. */
  async function waitForRenewal(): Promise<void> {
    const wake = AbortSignal.any([signal, restored.signal]);
    await clock.sleep(options.renewEveryMs, wake).catch(() => undefined);
    if (restored.signal.aborted) {
      restored = new AbortController();
      leaseId = undefined;
      const spreadMs = Math.max(
        MIN_RESTORE_SPREAD_MS,
        (options.hostCount() / FLEET_REGISTRATIONS_PER_SECOND) * MS_PER_SECOND,
      );
      await clock.sleep(options.random.next() * spreadMs, signal).catch(() => undefined);
    }
  }

  while (!signal.aborted) {
    try {
      await renew();
    } catch (error) {
      if (error instanceof LeaseEndedError) {
        leaseId = undefined;
      }
      log.warn('host-registration-failed', { reason: (error as Error).name });
    }
    await waitForRenewal();
  }
  if (leaseId !== undefined) {
    await store
      .endLease(leaseId)
      .catch((error: Error) => log.warn('host-unregistration-failed', { reason: error.name }));
  }
}
