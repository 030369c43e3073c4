/**
 * An entry of a backend server stand-in's log, written as one JSON line. Times are wall-clock
 * milliseconds.
 */
export type ServerRecord =
  /** A new incarnation, which accepts requests even when an earlier one was leaving. */
  | { readonly kind: 'started'; readonly atMs: number }
  | {
      readonly kind: 'arrived';
      readonly atMs: number;
      readonly requestId: string;
      /** Nonce of the prompt, or id of the order. */
      readonly call: string | undefined;
      /** Entry hosts that the request has visited, from its path header. */
      readonly path: string | undefined;
    }
  | {
      readonly kind: 'executed';
      readonly atMs: number;
      readonly requestId: string;
      readonly call: string | undefined;
      /** SHA-256 of the prompt or the order's body, in hexadecimal. */
      readonly digest: string;
    }
  | { readonly kind: 'leaving'; readonly atMs: number };
