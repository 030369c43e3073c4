import type { RequestContext } from '../requests/RequestContext.js';

/** A call to a plain service, as received from the caller. */
export interface ServiceRequest {
  readonly context: RequestContext;
  readonly serviceName: string;
  readonly method: string;
  /** Path and query after the service name, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string | undefined;
}
