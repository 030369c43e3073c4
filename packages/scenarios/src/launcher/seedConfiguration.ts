import { createHash } from 'node:crypto';
import type { DeploymentSpec } from './DeploymentSpec.js';
import { requestJson } from './requestJson.js';

/** Key of the customer without a home region. */
export const CUSTOMER_KEY = 'demo-key-unbound-0001';

/** Key of the customer whose home region is the given one. */
export const regionCustomerKeyOf = (region: string): string => `demo-key-${region}-0001`;

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

function fleetDocument(spec: DeploymentSpec): object {
  const regionCustomers = spec.regions.map(({ name }) => [
    `workshop-${name}`,
    { keySha256: sha256(regionCustomerKeyOf(name)), homeRegion: name },
  ]);
  return {
    version: 1,
    changeId: 'initial',
    defaults: {
      customers: {
        workshop: { keySha256: sha256(CUSTOMER_KEY) },
        ...Object.fromEntries(regionCustomers),
      },
      models: Object.fromEntries(spec.models.map((model) => [model, {}])),
      services: { orders: { nonRepeatableCalls: ['POST /orders'] } },
      ...spec.defaults,
    },
    exceptions: [],
    history: [],
  };
}

/** Writes the initial configuration document to the key-value service. */
export async function seedConfiguration(storeUrl: string, spec: DeploymentSpec): Promise<void> {
  const key = Buffer.from('/config/current').toString('base64');
  const value = Buffer.from(JSON.stringify(fleetDocument(spec))).toString('base64');
  await requestJson('POST', `${storeUrl}/v3/kv/txn`, {
    compare: [{ key, target: 'MOD', result: 'EQUAL', mod_revision: '0' }],
    success: [{ request_put: { key, value } }],
    failure: [],
  });
}
