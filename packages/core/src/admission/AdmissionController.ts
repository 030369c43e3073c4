import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServerView } from '../routing/ServerView.js';
import type { ServiceTimeObservation } from './ServiceTimeObservation.js';

/** Whether this entry host may send another request to the server now. */
export type HasFreeSlot = (server: ServerView) => boolean;

export interface AdmissionEntry<Slot> {
  readonly request: InferenceRequest;
  /** Whether the attempt is a retry. Retries are queued ahead of the customer's first attempts. */
  readonly retry: boolean;
  /**
   * Chooses a server with a free slot and reserves the slot. Returns undefined when no server has a
   * free slot. An error removes the attempt from the queue and rejects the promise of `admit`.
   */
  readonly reserveSlot: (hasFreeSlot: HasFreeSlot) => Slot | undefined;
}

/** Decides whether and when an attempt of an inference request is sent to a server. */
export interface AdmissionController {
  /**
   * Waits until a slot is reserved for the attempt. Rejects with `OverloadedError` when the attempt
   * is rejected on arrival or evicted from the queue, and with the signal's reason when the caller
   * disconnects. Nothing has been sent to a server in either case.
   */
  admit<Slot>(entry: AdmissionEntry<Slot>, signal: AbortSignal): Promise<Slot>;
  /** Must be called when a slot at a server has been released. */
  onSlotReleased(): void;
  /** Updates the service time estimates from a completed response. */
  observe(observation: ServiceTimeObservation): void;
  /** Number of waiting requests of both ranks. */
  queuedRequests(): number;
}
