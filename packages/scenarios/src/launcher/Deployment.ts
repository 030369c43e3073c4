import type { ManagedProcess } from './startProcess.js';

/** One started process of a deployment. */
export interface DeployedProcess {
  readonly name: string;
  readonly region: string;
  readonly kind: 'entryHost' | 'engine' | 'ordering' | 'platform';
  /** Base URL for callers (entry hosts) or of the stand-in. */
  readonly url: string;
  process: ManagedProcess;
}

export interface Deployment {
  readonly processes: ReadonlyMap<string, DeployedProcess>;
  /** Key of the customer `workshop`, which is bound to no region. */
  readonly customerKey: string;
  /** Keys of the customers bound to a region, by region. */
  readonly homedCustomerKeys: ReadonlyMap<string, string>;
  /** Key of the operator `operator`. */
  readonly operatorKey: string;
  /** Base URL of an entry host for peers and operators. */
  peerUrlOf(name: string): string;
  /** Starts a stopped process again with the same settings. */
  restart(name: string): Promise<void>;
  close(): Promise<void>;
}
