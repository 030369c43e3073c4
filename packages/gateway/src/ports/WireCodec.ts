import type { IncomingHttpHeaders } from 'node:http';
import type { ServerId } from '@camphorbarrow/core';
import type { ResponseMetadata } from '../model/ResponseMetadata.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';

/** What the gateway tells a server beside the caller's own headers. */
export interface ServerInstructions {
  /** Only this server may run the request. */
  readonly server: ServerId;
  /** Time after which nobody waits for the answer. */
  readonly remainingMs: number;
  /** Priority class; 0 is the most urgent. */
  readonly rank: number;
  /** Server from which the addressed one gets what it keeps of the prompt; undefined for none. */
  readonly fetchFrom: Endpoint | undefined;
  /** Last event of an interrupted stream that goes on. */
  readonly lastEventId: string | undefined;
}

/** Reads and writes the headers of requests and answers. Decides nothing. */
export interface WireCodec {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  readResponse(headers: IncomingHttpHeaders): ResponseMetadata;
  /** Headers for a server: the caller's, without those that are the system's to set. */
  toServerHeaders(
    rawHeaders: readonly string[],
    instructions: ServerInstructions,
  ): readonly string[];
  /** Headers for a peer: the caller's, with the time that is left. */
  toPeerHeaders(
    rawHeaders: readonly string[],
    instructions: Pick<ServerInstructions, 'remainingMs' | 'lastEventId'>,
  ): readonly string[];
  /** Header by which a refusal says when to come back. */
  retryAfterHeader(delayMs: number): readonly [string, string];
}
