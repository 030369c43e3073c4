import type {
  RequestContext,
  Headers,
  InferenceAnswer,
  InferenceRoute,
  IssuedPermits,
  ServiceAnswer,
  ServiceRequest,
} from '@camphorbarrow/core';

/** List of entry hosts for callers, best first. */
export interface EntryHostList {
  readonly region: string;
  readonly entryHostUrls: readonly string[];
  readonly validForMs: number;
}

/** What the caller listener needs from the gateway. Methods throw or reject with `RequestError`. */
export interface CallerApi {
  /** Authenticates and checks the headers, before the body is read. */
  readCallerRequest(headers: Headers): RequestContext;
  infer(
    facts: RequestContext,
    route: InferenceRoute,
    body: string,
    signal: AbortSignal,
  ): Promise<InferenceAnswer>;
  callService(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
  /** Issues permits for orders of the customer. */
  issueOrderPermits(facts: RequestContext, count: number): IssuedPermits;
  models(): readonly string[];
  entryHosts(): EntryHostList;
  /** @throws DrainingError when this host takes no new requests any more */
  requireAccepting(): void;
  /** Whether the host can take requests; the reason when it can't. */
  readiness(): { readonly ready: boolean; readonly reason: string };
}
