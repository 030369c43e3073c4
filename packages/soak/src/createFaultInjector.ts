import type { ServerFault, StoreFault } from '@camphorbarrow/platform/testing';
import type { LinkFault } from './LinkFault.js';
import type { PlannedFault } from './PlannedFault.js';
import { sleep } from './sleep.js';
import type { SoakSystem } from './startSoakSystem.js';

/** Time in which an evacuated zone must be empty: `evacuation_ms` of the sites. */
const EVACUATION_MS = 5_000;
const EVACUATION_KEY = 'op/evacuate/north-a';

/** Puts a fault on the system and resolves when it is over. */
export type FaultInjector = (fault: PlannedFault) => Promise<void>;

/** Creates the injector of one run; faults may overlap. */
export function createFaultInjector(system: SoakSystem): FaultInjector {
  const { store, servers, hosts, storeLinks } = system;
  /** Evacuations that overlap end together. */
  let evacuations = 0;

  async function evacuate(forMs: number): Promise<void> {
    evacuations += 1;
    store.put(EVACUATION_KEY, {});
    await sleep(EVACUATION_MS + forMs);
    evacuations -= 1;
    if (evacuations === 0) {
      store.remove(EVACUATION_KEY);
    }
  }

  /** Faults of links, the store and servers last for a while and are named by what they do. */
  async function disturb({ kind, index, forMs }: PlannedFault): Promise<void> {
    const [, subject, isLink, how = ''] = /^(store|server)-(link-)?(.*)$/.exec(kind) ?? [];
    const setFault = (fault: string): void => {
      if (isLink !== undefined) {
        if (subject === 'store') {
          storeLinks[index]?.setFault(fault as LinkFault);
        } else {
          servers.setLinkFault(index, fault as LinkFault);
        }
      } else if (subject === 'store') {
        store.setFault(fault as StoreFault);
      } else {
        servers.setFault(index, fault as ServerFault);
      }
    };
    setFault(how);
    await sleep(forMs);
    setFault('none');
  }

  return async (fault) => {
    const { kind, index, forMs } = fault;
    const host = hosts[index];
    switch (kind) {
      case 'host-stop':
        host?.signal('SIGTERM');
        await host?.waitForExit();
        break;
      case 'host-kill':
        host?.signal('SIGKILL');
        await host?.waitForExit();
        break;
      case 'host-pause':
        host?.signal('SIGSTOP');
        await sleep(forMs);
        host?.signal('SIGCONT');
        break;
      case 'host-reload':
        await host?.reload({ graceS: 4 + index });
        break;
      case 'store-history':
        store.compact();
        break;
      case 'store-leases':
        store.expireLeases();
        break;
      case 'server-replaced':
        await servers.replace(index);
        break;
      case 'configuration':
        system.putConfiguration();
        break;
      case 'evacuation':
        await evacuate(forMs);
        break;
      default:
        await disturb(fault);
    }
  };
}
