import type { ServerFault, StoreFault } from '@camphorbarrow/platform/testing';
import type { LinkFault } from './LinkFault.js';
import type { PlannedFault } from './PlannedFault.js';
import { sleep } from './sleep.js';
import type { SoakSystem } from './startSoakSystem.js';

/** Time until an evacuated zone must be free of requests: the platform's `evacuation_ms`. */
const EVACUATION_MS = 5_000;
/** Pause that servers ask for. */
const PAUSE_MS = 2_000;
const EVACUATION_KEY = 'op/evacuate/north-a';

/** Injects a fault into the system and resolves when the fault has ended. */
export type FaultInjector = (fault: PlannedFault) => Promise<void>;

/** Creates the injector of one run; faults may overlap. */
export function createFaultInjector(system: SoakSystem): FaultInjector {
  const { store, servers, hosts, storeLinks } = system;
  /** Overlapping evacuations share one key, which is removed when the last one ends. */
  let activeEvacuations = 0;

  async function evacuate(forMs: number): Promise<void> {
    activeEvacuations += 1;
    store.put(EVACUATION_KEY, {});
    await sleep(EVACUATION_MS + forMs);
    activeEvacuations -= 1;
    if (activeEvacuations === 0) {
      store.remove(EVACUATION_KEY);
    }
  }

  /**
   * Applies a fault of a link, the store or a server for its duration. The kind consists of the
   * target and the name of its fault.
   */
  async function applyTemporaryFault({ kind, index, forMs }: PlannedFault): Promise<void> {
    const [, target, isLink, faultName = ''] = /^(store|server)-(link-)?(.*)$/.exec(kind) ?? [];
    const setFault = (name: string): void => {
      if (isLink !== undefined) {
        if (target === 'store') {
          storeLinks[index]?.setFault(name as LinkFault);
        } else {
          servers.setLinkFault(index, name as LinkFault);
        }
      } else if (target === 'store') {
        store.setFault(name as StoreFault);
      } else {
        servers.setFault(index, name as ServerFault);
      }
    };
    setFault(faultName);
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
      case 'server-leaving':
        servers.setLeaving(index);
        await sleep(forMs);
        await servers.replace(index);
        break;
      case 'server-paused':
        servers.setPause(index, PAUSE_MS);
        await sleep(forMs);
        servers.setPause(index, undefined);
        break;
      case 'configuration':
        system.putConfiguration();
        break;
      case 'evacuation':
        await evacuate(forMs);
        break;
      default:
        await applyTemporaryFault(fault);
    }
  };
}
