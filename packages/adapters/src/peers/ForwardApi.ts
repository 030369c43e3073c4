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
  /** Maximum size of a forwarded body. */
  readonly maxBodyBytes: number;
  /** Checks the visited hosts, target region and customer before the body is read. */
  readForwardedRequest(headers: Headers): RequestContext;
  /** Serves the request in this region or rejects it; never forwards it again. */
  infer(
    context: RequestContext,
    route: InferenceRoute,
    body: string,
    signal: AbortSignal,
  ): Promise<InferenceAnswer>;
}
