/** A response whose body was read completely. */
export interface BufferedResponse {
  readonly status: number;
  /** Alternating names and values, without `Content-Length` and transfer encoding. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Outcome of one attempt to serve a request at a server or through a peer. */
export type AttemptResult =
  /** The complete response was forwarded. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** The request has not run there and will not run later. */
  | {
      readonly kind: 'not-run';
      readonly cause: string;
      /** False if the intended server could not be reached; it then counts as unreachable. */
      readonly reachedServer: boolean;
      /** Whether the connection to the intended server was refused. */
      readonly isRefused?: boolean | undefined;
      /** Whether the request may have arrived at any server, which then rejected it. */
      readonly hasArrived: boolean;
      /** Whether the reason is the peer's own, which says nothing of the other hosts of its region. */
      readonly concernsHostOnly?: boolean;
      /** Whether the peer rejected the request because the servers of its region have no room. */
      readonly isOverload?: boolean;
      /** When the servers of this region may have room, as a neighbour knows. */
      readonly retryAfterMs?: number | undefined;
    }
  /** The server ran the request and returned an error response. */
  | { readonly kind: 'failed-run'; readonly response: BufferedResponse }
  /** The request may have run; no event or body was forwarded. */
  | { readonly kind: 'unknown'; readonly cause: string }
  /** The stream broke off after events had been forwarded. */
  | {
      readonly kind: 'interrupted';
      readonly lastEventId: string | undefined;
      readonly cause: string;
    }
  /** The caller disconnected or the deadline passed. */
  | {
      readonly kind: 'cancelled';
      /** Whether nothing of the request had been written by then. */
      readonly wasUnsent?: boolean;
    };
