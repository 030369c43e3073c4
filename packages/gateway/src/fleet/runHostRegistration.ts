import type { Clock, LeaseId, LogSink } from '@camphorbarrow/core';
import { LeaseEndedError } from '../errors/LeaseEndedError.js';
import type { MetadataStore } from '../ports/MetadataStore.js';

export interface HostRegistrationOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly store: MetadataStore;
  readonly key: string;
  /** Encoded registration of this host. */
  readonly value: string;
  readonly leaseTtlMs: number;
  readonly renewEveryMs: number;
  /** Whether the store still has the registration, according to the view of this host. */
  readonly isRegistered: () => boolean;
  readonly signal: AbortSignal;
}

/** Keeps this host registered in the store until the signal aborts, then ends its lease. */
export async function runHostRegistration(options: HostRegistrationOptions): Promise<void> {
  const { clock, log, store, signal } = options;
  let leaseId: LeaseId | undefined;

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

  while (!signal.aborted) {
    try {
      await renew();
    } catch (error) {
      if (error instanceof LeaseEndedError) {
        leaseId = undefined;
      }
      log.warn('host-registration-failed', { reason: (error as Error).name });
    }
    await clock.sleep(options.renewEveryMs, signal).catch(() => undefined);
  }
  if (leaseId !== undefined) {
    await store
      .endLease(leaseId)
      .catch((error: Error) => log.warn('host-unregistration-failed', { reason: error.name }));
  }
}
