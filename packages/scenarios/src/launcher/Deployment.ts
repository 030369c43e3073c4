import type { ServerRecord } from '@camphorbarrow/standins';
import type { NetworkControl } from './createNetworkControl.js';
import type { ManagedProcess } from './startProcess.js';

/** A started process of a deployment. */
export interface DeployedProcess {
  readonly name: string;
  readonly region: string;
  readonly kind: 'entryHost' | 'engine' | 'ordering' | 'platform' | 'relay';
  /** Announced base URL; for an entry host that of its listener for callers. */
  readonly url: string;
  /** Base URL of the bound address, which bypasses the relay and its network faults. */
  readonly directUrl: string;
  /** Base URL for peers and operators, which bypasses the relay. Undefined except for entry hosts. */
  readonly peerUrl: string | undefined;
  process: ManagedProcess;
}

export interface Deployment {
  readonly processes: ReadonlyMap<string, DeployedProcess>;
  /** Key of the customer `workshop`, which is bound to no region. */
  readonly customerKey: string;
  /** Keys of the customers bound to a home region, by region. */
  readonly customerKeysByRegion: ReadonlyMap<string, string>;
  /** Operators' keys by operator name. */
  readonly operatorKeys: Readonly<Record<string, string>>;
  /** IP address from which callers of a region open connections. */
  callerAddress(region: string): string;
  /** Control of the relay; undefined when the deployment has none. */
  readonly network: NetworkControl | undefined;
  /** Log of a backend server, which survives the end of its process. */
  recordsOf(name: string): Promise<readonly ServerRecord[]>;
  /** Kills a process and starts it again with the same settings. */
  restart(name: string): Promise<void>;
  /** Kills all processes and deletes their files. */
  close(): Promise<void>;
}
