import type { CallerFacts } from '../requests/CallerFacts.js';

/** A caller's call to a plain service. */
export interface ServiceRequest {
  readonly facts: CallerFacts;
  readonly serviceName: string;
  readonly method: string;
  /** Path and query behind the service's name, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string | undefined;
}
