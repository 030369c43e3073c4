/** One call as a caller plans it; attempts send it unchanged. */
export interface CallPlan {
  readonly call: string;
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
  /** Order that is placed or asked for. */
  readonly order: string;
  readonly marker: string | undefined;
  readonly resend: number;
  readonly homeRegion: string | undefined;
  readonly key: 'permit' | 'own' | 'none' | { readonly fixed: string } | undefined;
}
