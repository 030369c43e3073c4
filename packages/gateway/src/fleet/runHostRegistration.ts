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
  /** Whether the store still holds the registration, as far as this host can see. */
  readonly isRegistered: () => boolean;
  readonly signal: AbortSignal;
}

/** Keeps this host registered in the store until the signal aborts, then removes it. */
export async function runHostRegistration(options: HostRegistrationOptions): Promise<void> {
  const { clock, log, store, signal } = options;
  let leaseId: LeaseId | undefined;

  async function register(): Promise<void> {
    leaseId = await store.grantLease(options.leaseTtlMs);
    await store.putLeased({ key: options.key, value: options.value, leaseId });
    log.info('host-registered', { leaseTtlMs: options.leaseTtlMs });
  }

  async function keep(): Promise<void> {
    // The store may remove keys without telling; the watch shows it.
    if (leaseId === undefined || !options.isRegistered()) {
      await register();
    } else {
      await store.renewLease(leaseId);
    }
  }

  while (!signal.aborted) {
    try {
      await keep();
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
