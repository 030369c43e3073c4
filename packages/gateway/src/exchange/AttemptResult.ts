/** An answer that was read whole. */
export interface BufferedResponse {
  readonly status: number;
  /** Names and values by turns, without framing. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How one try at a server, or through a peer, ended. */
export type AttemptResult =
  /** The answer went to the caller whole. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** The request has not run there and never will. */
  | {
      readonly kind: 'not-run';
      readonly cause: string;
      /** Whether a request reached a server, which counts as an arrival. */
      readonly reachedServer: boolean;
    }
  /** The server ran the request and answered with a failure of its own. */
  | { readonly kind: 'failed-run'; readonly answer: BufferedResponse }
  /** The request may have run; no event or body was forwarded. */
  | { readonly kind: 'unknown'; readonly cause: string }
  /** The stream broke after events were forwarded. */
  | {
      readonly kind: 'interrupted';
      readonly lastEventId: string | undefined;
      readonly cause: string;
    }
  /** Nobody waits any more, or the time is over. */
  | { readonly kind: 'cancelled' };
