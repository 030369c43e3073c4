import type { ServerId } from '../ids/ServerId.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';

/** Timing of one complete streamed response, measured by the entry host. */
export interface ServiceTimeObservation {
  readonly serverId: ServerId;
  readonly request: InferenceRequest;
  /** From dispatch to the first event. */
  readonly firstTokenMs: number;
  /** From the first event to the end of the stream. */
  readonly decodeMs: number;
  /** Number of events in the response. Engines send one event for one or a few tokens. */
  readonly outputEvents: number;
}
