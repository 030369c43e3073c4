/** A fault of a run. The zero-based index selects the affected host, server or link. */
export interface PlannedFault {
  readonly atMs: number;
  readonly forMs: number;
  readonly kind: FaultKind;
  readonly index: number;
  /** Whether a host that ends goes on with its other program. */
  readonly replacesProgram?: boolean;
}

/** Kinds of faults, grouped by the component that they affect. */
export type FaultKind =
  | 'host-stop'
  | 'host-kill'
  | 'host-pause'
  | 'host-reload'
  | 'stranded-silent'
  | 'stranded-reset'
  | 'stranded-refuse'
  | 'store-silent'
  | 'store-busy'
  | 'store-reset'
  | 'store-lost'
  | 'store-history'
  | 'store-leases'
  | 'store-restored'
  | 'store-link-delayed'
  | 'store-link-reset'
  | 'store-link-silent'
  | 'store-link-one-way'
  | 'server-link-delayed'
  | 'server-link-reset'
  | 'server-link-silent'
  | 'server-link-one-way'
  | 'server-shed'
  | 'server-error'
  | 'server-lost'
  | 'server-torn'
  | 'server-foreign'
  | 'server-unsealed'
  | 'server-interrupted'
  | 'server-hang'
  | 'server-replaced'
  | 'server-leaving'
  | 'server-paused'
  | 'server-brittle'
  | 'versions-restarted'
  | 'versions-released'
  | 'versions-interrupted'
  | 'versions-forgetful'
  | 'versions-halting'
  | 'versions-unframed'
  | 'versions-repeating'
  | 'configuration'
  | 'configuration-large'
  | 'idle-short'
  | 'idle-long'
  | 'evacuation';
