import type { ServerId } from '../ids/ServerId.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';

/** Timing of one complete streamed answer, as the entry host saw it. */
export interface ServiceTimeObservation {
  readonly serverId: ServerId;
  readonly request: InferenceRequest;
  /** From dispatch to the first event. */
  readonly firstTokenMs: number;
  /** From the first event to the end of the stream. */
  readonly decodeMs: number;
  /** Events of the answer; engines send one event per token or few tokens. */
  readonly outputEvents: number;
}
