import type { IncomingMessage, ServerResponse } from 'node:http';
import type { FleetView } from '../fleet/createFleetView.js';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { RequestHandler } from '../ingress/createRequestHandler.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import type { ConnectionPools } from '../upstream/createConnectionPools.js';
import { formatEndpoint } from '../upstream/createConnectionPools.js';
import { readFullBody } from '../upstream/readFullBody.js';
import { sendUpstream } from '../upstream/sendUpstream.js';

/** Marks a call for news, with the caller's revision; requests that are passed on never bear it. */
const NEWS_HEADER = 'x-entry-host-news';
const NEWS_PATH = '/news';
const TIMEOUT_MS = 1_000;
const MAX_NEWS_BYTES = 67_108_864;

export interface StoreUpdateExchange {
  /** Answers calls for news, and leaves all other requests to the handler. */
  wrap(handle: RequestHandler): RequestHandler;
  /**
   * Asks a peer for what it knows beyond this host's own revision.
   *
   * @throws InvalidMessageError when the peer does not answer with news
   */
  fetch(peer: Endpoint): Promise<StoreUpdate>;
}

function isNews(value: unknown): value is StoreUpdate {
  const news = value as Partial<StoreUpdate> | null;
  return (
    typeof news === 'object' &&
    news !== null &&
    typeof news.complete === 'boolean' &&
    typeof news.revision === 'number' &&
    Array.isArray(news.heard) &&
    Array.isArray(news.items) &&
    Array.isArray(news.removals)
  );
}

/** Creates both ends of the exchange of what is known of the store. */
export function createStoreUpdateExchange(
  view: FleetView,
  connections: ConnectionPools,
): StoreUpdateExchange {
  async function answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const since = Number(request.headers[NEWS_HEADER]);
    const body = Buffer.from(JSON.stringify(view.updateSince(Number.isFinite(since) ? since : 0)));
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
        agent: connections.agentFor(formatEndpoint(peer)),
        endpoint: peer,
        method: 'GET',
        path: NEWS_PATH,
        headers: ['Host', formatEndpoint(peer), NEWS_HEADER, String(view.revision())],
        body: Buffer.alloc(0),
        connectTimeoutMs: TIMEOUT_MS,
        responseTimeoutMs: TIMEOUT_MS,
        signal,
      });
      if (sent.kind === 'failed') {
        throw new InvalidMessageError(`The peer gave no news: ${sent.cause}.`);
      }
      const body = await readFullBody(sent.response, MAX_NEWS_BYTES, signal);
      const news: unknown = body === undefined ? undefined : JSON.parse(body.toString());
      if (!isNews(news)) {
        throw new InvalidMessageError('The news of the peer have missing or malformed fields.');
      }
      return news;
    },
  };
}
