/** What a backend server stand-in did, one JSON line each. Times are wall-clock milliseconds. */
export type ServerRecord =
  /** A new incarnation, which takes work whatever an earlier one said. */
  | { readonly kind: 'started'; readonly atMs: number }
  | {
      readonly kind: 'arrived';
      readonly atMs: number;
      readonly requestId: string;
      /** Nonce of the prompt or id of the order. */
      readonly call: string | undefined;
      /** Entry hosts that the request names as visited. */
      readonly path: string | undefined;
    }
  | {
      readonly kind: 'executed';
      readonly atMs: number;
      readonly requestId: string;
      readonly call: string | undefined;
      /** SHA-256 of the prompt or order body, hex. */
      readonly digest: string;
    }
  | { readonly kind: 'leaving'; readonly atMs: number };
