import type {
  RequestContext,
  Headers,
  HostId,
  InferenceAnswer,
  InferenceRoute,
} from '@camphorbarrow/core';

/** What the forward routes need from the gateway. Methods throw or reject with `RequestError`. */
export interface ForwardApi {
  readonly hostId: HostId;
  /** Bound of a forwarded body, in bytes. */
  readonly maxBodyBytes: number;
  /** Checks path, region and customer before the body is read. */
  readForwardedRequest(headers: Headers): RequestContext;
  /** Serves the request in this region or refuses it; never forwards it again. */
  infer(
    facts: RequestContext,
    route: InferenceRoute,
    body: string,
    signal: AbortSignal,
  ): Promise<InferenceAnswer>;
}
