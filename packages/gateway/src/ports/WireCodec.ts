import type { IncomingHttpHeaders } from 'node:http';
import type { CustomerId, ServerId } from '@camphorbarrow/core';
import type { ResponseMetadata } from '../model/ResponseMetadata.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';

/** Caller of a request where the configuration has customers. */
export interface Caller {
  /** Undefined for a caller without a key on an anonymous route. */
  readonly customer: CustomerId | undefined;
}

/** Values that the gateway adds to the caller's headers in a request to a server. */
export interface ServerInstructions {
  /** The only server that may execute the request. */
  readonly server: ServerId;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  /** Priority class; 0 is the most urgent. */
  readonly rank: number;
  /** Server from which to fetch cached tokens of the prompt; undefined for no transfer. */
  readonly fetchFrom: Endpoint | undefined;
  /** Id of the last event received, when an interrupted stream is resumed. */
  readonly lastEventId: string | undefined;
  /**
   * Replaces the caller's key and customer in the headers. Undefined if the configuration has no
   * customers: the headers then pass as the caller sent them.
   */
  readonly caller: Caller | undefined;
}

/** Parses and builds the headers of requests and responses. Makes no routing decisions. */
export interface WireCodec {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** The caller's API key; undefined if there is none, a malformed one, or more than one. */
  readApiKey(rawHeaders: readonly string[]): string | undefined;
  readResponse(headers: IncomingHttpHeaders): ResponseMetadata;
  /** Headers for a server: the caller's, with those reserved for the gateway replaced. */
  toServerHeaders(
    rawHeaders: readonly string[],
    instructions: ServerInstructions,
  ): readonly string[];
  /** Headers for a peer: the caller's, with the remaining time. */
  toPeerHeaders(
    rawHeaders: readonly string[],
    instructions: Pick<ServerInstructions, 'remainingMs' | 'lastEventId' | 'caller'>,
  ): readonly string[];
  /** Header that tells a rejected caller when to retry. */
  retryAfterHeader(delayMs: number): readonly [string, string];
}
