import type { ServerRecord } from '@camphorbarrow/standins';
import type { NetworkControl } from './createNetworkControl.js';
import type { ManagedProcess } from './startProcess.js';

/** One started process of a deployment. */
export interface DeployedProcess {
  readonly name: string;
  readonly region: string;
  readonly kind: 'entryHost' | 'engine' | 'ordering' | 'platform' | 'relay';
  /** Announced base URL: for callers (entry hosts) or of the stand-in. */
  readonly url: string;
  /** Base URL of the bound address, which no network fault affects. */
  readonly directUrl: string;
  /** Base URL for peers and operators, which only entry hosts have; no network fault affects it. */
  readonly peerUrl: string | undefined;
  process: ManagedProcess;
}

export interface Deployment {
  readonly processes: ReadonlyMap<string, DeployedProcess>;
  /** Key of the customer `workshop`, which is bound to no region. */
  readonly customerKey: string;
  /** Keys of the customers bound to a region, by region. */
  readonly customerKeysByRegion: ReadonlyMap<string, string>;
  /** Operators' keys by operator name. */
  readonly operatorKeys: Readonly<Record<string, string>>;
  /** IP address from which callers of a region open connections. */
  callerAddress(region: string): string;
  /** Control of the relay; undefined when the deployment has none. */
  readonly network: NetworkControl | undefined;
  /** What a backend server ran, also when its process has been killed. */
  recordsOf(name: string): Promise<readonly ServerRecord[]>;
  /** Starts a stopped process again with the same settings. */
  restart(name: string): Promise<void>;
  close(): Promise<void>;
}
