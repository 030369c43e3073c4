import type { ServerFault, StoreFault } from '@camphorbarrow/platform/testing';
import type { LinkFault } from './LinkFault.js';
import type { FaultKind, PlannedFault } from './PlannedFault.js';
import { sleep } from './sleep.js';
import type { SoakSystem } from './startSoakSystem.js';

/** Time until an evacuated zone must be free of requests: the platform's `evacuation_ms`. */
const EVACUATION_MS = 5_000;
/** Rejections in a second that servers bear, and their slots, as in their entries. */
const FRAGILITY = { maxRejectionsPerSecond: 3, slots: 8 };
/** Pause that servers ask for. */
const PAUSE_MS = 2_000;
const EVACUATION_KEY = 'op/evacuate/north-a';

/** Age of the copy to which the store is restored. */
const COPY_AGE_MS = 1_500;
/** Writes that the copy lacks; revisions do not catch up with them during a run. */
const LOST_WRITES = 100;
/** Time within which hosts learn of these writes. */
const LOST_WRITES_SEEN_MS = 700;
/** Time after a restore in which the operator writes again what the store lost. */
const REWRITE_DELAY_MS = 500;
/** Time after which entries of servers that left expire: three heartbeats of silence. */
const ENTRY_EXPIRY_MS = 3_600;
/** Idle timeouts that the operator writes in turn. */
const SHORT_IDLE_TIMEOUTS_MS = [1_000, 600, 1_200];
const LONG_IDLE_TIMEOUTS_MS = [3_000, 6_000];
/** Routes of a configuration that keeps a host busy while it is decoded. */
const LARGE_CONFIGURATION_ROUTES = 3_000;

/** Injects a fault into the system and resolves when the fault has ended. */
export type FaultInjector = (fault: PlannedFault) => Promise<void>;

/**
 * Creates the injector of one run; faults may overlap.
 *
 * @param programs programs of hosts, from which one that is replaced takes the next
 */
export function createFaultInjector(
  system: SoakSystem,
  programs: readonly string[],
): FaultInjector {
  const { store, servers, versionedServers, hosts, storeLinks } = system;
  /** Overlapping evacuations share one key, which is removed when the last one ends. */
  let activeEvacuations = 0;
  const idleTimeouts = {
    'idle-short': SHORT_IDLE_TIMEOUTS_MS,
    'idle-long': LONG_IDLE_TIMEOUTS_MS,
  };
  const nextIndexes = { 'idle-short': 0, 'idle-long': 0 };

  function changeIdleTimeout(kind: keyof typeof idleTimeouts): void {
    const values = idleTimeouts[kind];
    const idleTimeoutMs = values[nextIndexes[kind] % values.length];
    nextIndexes[kind] += 1;
    system.putConfiguration(idleTimeoutMs === undefined ? {} : { idleTimeoutMs });
  }

  async function evacuate(forMs: number): Promise<void> {
    activeEvacuations += 1;
    store.put(EVACUATION_KEY, {});
    await sleep(EVACUATION_MS + forMs);
    activeEvacuations -= 1;
    if (activeEvacuations === 0) {
      store.remove(EVACUATION_KEY);
    }
  }

  /** Takes the store away for a moment and brings it back with an older copy of its content. */
  async function restoreStore(forMs: number): Promise<void> {
    store.takeCopy();
    await sleep(COPY_AGE_MS);
    for (let count = 0; count < LOST_WRITES; count += 1) {
      store.put('op/unrelated', {});
    }
    await sleep(LOST_WRITES_SEEN_MS);
    store.setFault('reset');
    await sleep(forMs);
    const lost = new Set(store.keys());
    store.restoreCopy();
    store.setFault('none');
    const revived = store.keys().filter((key) => key.startsWith('servers/') && !lost.has(key));
    await sleep(REWRITE_DELAY_MS);
    system.rewriteConfiguration();
    if (activeEvacuations > 0) {
      store.put(EVACUATION_KEY, {});
    } else {
      store.remove(EVACUATION_KEY);
    }
    await sleep(ENTRY_EXPIRY_MS - REWRITE_DELAY_MS);
    revived.forEach(store.remove);
  }

  /** Takes all servers away from a host: its open connections go on in the last case only. */
  async function strand(index: number, kind: FaultKind, forMs: number): Promise<void> {
    const openFaults: Partial<Record<FaultKind, LinkFault>> = {
      'stranded-silent': 'silent',
      'stranded-reset': 'reset',
    };
    const fault = openFaults[kind] ?? 'none';
    servers.setHostFault(index, fault);
    versionedServers.setHostFault(index, fault);
    await hosts[index]?.setConnectFault(kind === 'stranded-silent' ? 'hang' : 'refuse');
    await sleep(forMs);
    servers.setHostFault(index, 'none');
    versionedServers.setHostFault(index, 'none');
    await hosts[index]?.setConnectFault(undefined);
  }

  /**
   * Applies a fault of a link, the store or a server for its duration. The kind consists of the
   * target and the name of its fault.
   */
  async function applyTemporaryFault({ kind, index, forMs }: PlannedFault): Promise<void> {
    const [, target, isLink, faultName = ''] =
      /^(store|server|versions)-(link-)?(.*)$/.exec(kind) ?? [];
    const setFault = (name: string): void => {
      if (isLink !== undefined) {
        if (target === 'store') {
          storeLinks[index]?.setFault(name as LinkFault);
        } else {
          servers.setLinkFault(index, name as LinkFault);
        }
      } else if (target === 'versions') {
        versionedServers.setFault(index, name as ServerFault);
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

  async function endHost({ index, replacesProgram }: PlannedFault, signal: 'SIGTERM' | 'SIGKILL') {
    const host = hosts[index];
    if (host !== undefined && replacesProgram === true) {
      const next = (programs.indexOf(host.program()) + 1) % programs.length;
      host.setProgram(programs[next] ?? host.program());
    }
    host?.signal(signal);
    await host?.waitForExit();
  }

  return async (fault) => {
    const { kind, index, forMs } = fault;
    const host = hosts[index];
    switch (kind) {
      case 'host-stop':
        await endHost(fault, 'SIGTERM');
        break;
      case 'host-kill':
        await endHost(fault, 'SIGKILL');
        break;
      case 'host-pause':
        host?.signal('SIGSTOP');
        await sleep(forMs);
        host?.signal('SIGCONT');
        break;
      case 'host-reload':
        await host?.reload({ graceS: 4 + index });
        break;
      case 'stranded-silent':
      case 'stranded-reset':
      case 'stranded-refuse':
        await strand(index, kind, forMs);
        break;
      case 'store-history':
        store.compact();
        break;
      case 'store-leases':
        store.expireLeases();
        break;
      case 'store-restored':
        await restoreStore(forMs);
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
      case 'server-brittle':
        servers.setFragility(FRAGILITY);
        await sleep(forMs);
        servers.setFragility(undefined);
        break;
      case 'versions-restarted':
        await versionedServers.restart(index, forMs);
        break;
      case 'versions-released':
        await versionedServers.release(index, forMs);
        break;
      case 'configuration':
        system.putConfiguration();
        break;
      case 'configuration-large':
        system.putConfiguration({
          routeNames: Array.from(
            { length: LARGE_CONFIGURATION_ROUTES },
            (_, number) => `large-${number}`,
          ),
        });
        break;
      case 'idle-short':
      case 'idle-long':
        changeIdleTimeout(kind);
        break;
      case 'evacuation':
        await evacuate(forMs);
        break;
      default:
        await applyTemporaryFault(fault);
    }
  };
}
