import type { ConfigChange } from '../../src/config/ConfigChange.js';
import type { ConfigOperation } from '../../src/config/ConfigOperation.js';
import type { StoredFleetDocument } from '../../src/config/FleetDocument.js';
import { CONFIGURATION_KEY } from '../../src/config/configurationKey.js';
import type { ConfigManager } from '../../src/config/createConfigManager.js';
import { exceptionInputSchema } from '../../src/config/exceptionInputSchema.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import type { FakeFleet } from './createFakeFleet.js';
import { createFakeFleet } from './createFakeFleet.js';

export const setDefaults = (maxAttempts: number): ConfigOperation => ({
  kind: 'set-defaults',
  defaults: fleetDefaultsSchema.parse({ retry: { maxAttempts } }),
});

export const addException = (id: string): ConfigOperation => ({
  kind: 'add-exception',
  exception: exceptionInputSchema.parse({ id, reason: 'Lunchtime peak', scope: {}, set: {} }),
});

export function createChange(
  changeId: string,
  operation: ConfigOperation = setDefaults(3),
  basedOnVersion?: number,
): ConfigChange {
  return { changeId, author: 'ana', reason: 'test', basedOnVersion, operation };
}

export function hostAt(fleet: FakeFleet, index: number): ConfigManager {
  return fleet.hosts[index] as ConfigManager;
}

export function storedDocument(fleet: FakeFleet): StoredFleetDocument {
  return JSON.parse(fleet.store.value(CONFIGURATION_KEY) ?? '{}') as StoredFleetDocument;
}

/** Creates a fleet whose first host has set the defaults `version` times. */
export async function createFleetAt(version: number, size: number): Promise<FakeFleet> {
  const fleet = createFakeFleet(size);
  for (let next = 1; next <= version; next += 1) {
    await hostAt(fleet, 0).propose(createChange(`c${next}`));
  }
  return fleet;
}
