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
    context: RequestContext,
    route: InferenceRoute,
    body: string,
    signal: AbortSignal,
  ): Promise<InferenceAnswer>;
  callService(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
  /** Issues permits for orders of the customer. */
  issueOrderPermits(context: RequestContext, count: number): IssuedPermits;
  models(): readonly string[];
  entryHosts(): EntryHostList;
  /** @throws DrainingError when this host no longer accepts new requests */
  requireAccepting(): void;
  /** Whether the host can accept requests, and why or why not. */
  readiness(): { readonly ready: boolean; readonly reason: string };
}
