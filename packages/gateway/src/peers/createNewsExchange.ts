import type { IncomingMessage, ServerResponse } from 'node:http';
import type { FleetView } from '../fleet/createFleetView.js';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { RequestHandler } from '../ingress/createRequestHandler.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreListing } from '../ports/MetadataStore.js';
import type { Connections } from '../upstream/createConnections.js';
import { endpointName } from '../upstream/createConnections.js';
import { readWhole } from '../upstream/readWhole.js';
import { sendUpstream } from '../upstream/sendUpstream.js';

/** Marks a call for news; requests that are passed on never bear it. */
const NEWS_HEADER = 'x-entry-host-news';
const NEWS_PATH = '/news';
const TIMEOUT_MS = 1_000;
const MAX_NEWS_BYTES = 67_108_864;

export interface NewsExchange {
  /** Answers calls for news, and leaves all other requests to the handler. */
  wrap(handle: RequestHandler): RequestHandler;
  /** @throws InvalidMessageError when the peer does not answer with a listing */
  fetch(peer: Endpoint): Promise<StoreListing>;
}

function isListing(value: unknown): value is StoreListing {
  const listing = value as Partial<StoreListing> | null;
  return (
    typeof listing === 'object' &&
    listing !== null &&
    typeof listing.revision === 'number' &&
    Array.isArray(listing.items)
  );
}

/** Creates both ends of the exchange of what is known of the store. */
export function createNewsExchange(view: FleetView, connections: Connections): NewsExchange {
  async function answer(_: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = Buffer.from(JSON.stringify(view.exportListing()));
    response.writeHead(200, { 'content-length': body.length }).end(body);
  }

  return {
    wrap: (handle) => (request, response) =>
      request.headers[NEWS_HEADER] === undefined
        ? handle(request, response)
        : answer(request, response),
    async fetch(peer) {
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const sent = await sendUpstream({
        agent: connections.agentFor(endpointName(peer)),
        endpoint: peer,
        method: 'GET',
        path: NEWS_PATH,
        headers: ['Host', endpointName(peer), NEWS_HEADER, '1'],
        body: Buffer.alloc(0),
        connectTimeoutMs: TIMEOUT_MS,
        answerTimeoutMs: TIMEOUT_MS,
        signal,
      });
      if (sent.kind === 'failed') {
        throw new InvalidMessageError(`The peer gave no news: ${sent.cause}.`);
      }
      const body = await readWhole(sent.response, MAX_NEWS_BYTES, signal);
      const listing: unknown = body === undefined ? undefined : JSON.parse(body.toString());
      if (!isListing(listing)) {
        throw new InvalidMessageError('The news of the peer are not a listing.');
      }
      return listing;
    },
  };
}
