import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  ProgressTimeoutError,
  parseWholeNumber,
  waitForPoll,
  withBodyScope,
} from '@camphorbarrow/core';
import type { BodyBuffers, WholeNumber } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { RequestHandler } from '../ingress/createRequestHandler.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import type { ConnectionPools } from '../upstream/createConnectionPools.js';
import { formatEndpoint } from '../upstream/createConnectionPools.js';
import { readFullBody } from '../upstream/readFullBody.js';
import { startTransferTimeout } from '../upstream/startTransferTimeout.js';
import { sendUpstream } from '../upstream/sendUpstream.js';
import { encodeStoreUpdate, parseStoreUpdate } from './storeUpdateCodec.js';
import { isStoreUpdate } from './isStoreUpdate.js';

/** Marks a request for a store update; holds the revision after which changes are requested. */
const UPDATE_HEADER = 'x-entry-host-news';
/** Era of the revision in `UPDATE_HEADER`; 0 if absent. */
const ERA_HEADER = 'x-entry-host-store-era';
const UPDATE_PATH = '/news';
/** Time to the connection, and from there to the head of the response. */
const TIMEOUT_MS = 1_000;
const MAX_UPDATE_BYTES = 67_108_864;

/** Exchange of store updates between entry hosts. */
export interface StoreUpdateExchange {
  /** Responds to requests for store updates and passes all other requests to the handler. */
  wrap(handle: RequestHandler): RequestHandler;
  /**
   * Fetches the changes after this host's revision from a peer.
   *
   * @throws InvalidMessageError if the peer does not respond with a store update
   */
  fetch(peer: Endpoint): Promise<StoreUpdate>;
}

const parseNumber = (header: string | readonly string[] | undefined): WholeNumber =>
  parseWholeNumber(String(header)) ?? 0;

/** Creates the client and the server side of the exchange of store updates. */
export function createStoreUpdateExchange(
  view: FleetView,
  connections: ConnectionPools,
  bodies: BodyBuffers,
): StoreUpdateExchange {
  async function respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const since = {
      era: parseNumber(request.headers[ERA_HEADER]),
      revision: parseNumber(request.headers[UPDATE_HEADER]),
    };
    const body = Buffer.from(encodeStoreUpdate(view.updateSince(since)));
    response.writeHead(200, { 'content-length': body.length }).end(body);
  }

  async function fetchUpdate(peer: Endpoint): Promise<StoreUpdate> {
    const stop = new AbortController();
    const { signal } = stop;
    await waitForPoll();
    const sent = await sendUpstream({
      agent: connections.agentFor(formatEndpoint(peer)),
      endpoint: peer,
      method: 'GET',
      path: UPDATE_PATH,
      headers: [
        'Host',
        formatEndpoint(peer),
        UPDATE_HEADER,
        String(view.position().revision),
        ERA_HEADER,
        String(view.position().era),
      ],
      body: Buffer.alloc(0),
      connectTimeoutMs: TIMEOUT_MS,
      responseTimeoutMs: TIMEOUT_MS,
      signal,
    });
    if (sent.kind === 'failed') {
      throw new InvalidMessageError(`The peer sent no store update: ${sent.cause}.`);
    }
    const timeout = startTransferTimeout(() =>
      stop.abort(new ProgressTimeoutError('The update stopped to arrive.')),
    );
    const update = await withBodyScope(bodies, async (scope): Promise<unknown> => {
      const body = await readFullBody(sent.response, {
        bodies: scope,
        maxBytes: MAX_UPDATE_BYTES,
        signal,
        onBytes: timeout.recordBytes,
      });
      return body.kind === 'complete' ? parseStoreUpdate(body.bytes.toString()) : undefined;
    }).finally(timeout.close);
    if (!isStoreUpdate(update)) {
      throw new InvalidMessageError(
        'The store update of the peer has missing or malformed fields.',
      );
    }
    // Hosts of an earlier build send neither field.
    return { ...update, era: update.era ?? 0, configuration: update.configuration ?? null };
  }

  return {
    wrap: (handle) => (request, response) =>
      request.headers[UPDATE_HEADER] === undefined
        ? handle(request, response)
        : respond(request, response),
    fetch: fetchUpdate,
  };
}
