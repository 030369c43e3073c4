import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServerView } from '../routing/ServerView.js';
import type { ServiceTimeObservation } from './ServiceTimeObservation.js';

/** Whether this entry host may send one more request to a server now. */
export type HasFreeSlot = (server: ServerView) => boolean;

export interface AdmissionEntry<Placement> {
  readonly request: InferenceRequest;
  /** Retries go ahead of the customer's waiting first attempts. */
  readonly retry: boolean;
  /**
   * Chooses a server among those with room and reserves a place there; undefined when none has
   * room. An error ends the wait and is passed to the caller of `admit`.
   */
  readonly reserveSlot: (hasRoom: HasFreeSlot) => Placement | undefined;
}

/** Decides when, and whether, an attempt of an inference request is sent to a server. */
export interface AdmissionController {
  /**
   * Waits until the attempt has a place. Rejects with `OverloadedError` when the request is
   * refused or dropped, and with the signal's reason when the caller leaves; nothing has been
   * sent in either case.
   */
  admit<Placement>(entry: AdmissionEntry<Placement>, signal: AbortSignal): Promise<Placement>;
  /** Tells that a place at a server has become free. */
  onSlotReleased(): void;
  /** Learns from a complete answer. */
  observe(observation: ServiceTimeObservation): void;
  /** Requests waiting, of both ranks. */
  queuedRequests(): number;
}
