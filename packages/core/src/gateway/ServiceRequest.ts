import type { RequestContext } from '../requests/RequestContext.js';

/** A caller's call to a plain service. */
export interface ServiceRequest {
  readonly context: RequestContext;
  readonly serviceName: string;
  readonly method: string;
  /** Path and query behind the service's name, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string | undefined;
}
