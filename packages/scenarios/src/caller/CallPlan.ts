/** A call to send; every attempt sends it unchanged. */
export interface CallPlan {
  readonly call: string;
  /** `plain` is an inference call without streaming, `status` a status check of an order. */
  readonly kind: 'stream' | 'plain' | 'order' | 'status';
  /** Entry hosts in the order in which they are tried. */
  readonly hosts: readonly string[];
  readonly customerKey: string;
  /** IP address from which the caller opens connections. */
  readonly localAddress: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  readonly model: string;
  readonly prompt: string;
  readonly tokens: number;
  /** Id of the order to place or to check. */
  readonly order: string;
  readonly marker: string | undefined;
  /** Number of attempts after the first one. */
  readonly resend: number;
  readonly homeRegion: string | undefined;
  /** How an order gets its idempotency key. */
  readonly key: 'permit' | 'own' | 'none' | { readonly fixed: string } | undefined;
}
