import type { Clock, LeaseId, LogSink, RandomSource } from '@camphorbarrow/core';
import { LeaseEndedError } from '../errors/LeaseEndedError.js';
import type { MetadataStore } from '../ports/MetadataStore.js';

/** Maximum delay after a restore of the store, so that not all hosts register at the same time. */
const RESTORE_SPREAD_MS = 1_000;

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
    leaseId = await store.grantLease(options.leaseTtlMs);
    await store.putLeased({ key: options.key, value: options.value, leaseId });
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
      const spreadMs = options.random.next() * RESTORE_SPREAD_MS;
      await clock.sleep(spreadMs, signal).catch(() => undefined);
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
