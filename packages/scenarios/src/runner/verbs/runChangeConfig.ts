import { ScenarioError } from '../../errors/ScenarioError.js';
import type { StepOf } from '../../language/Step.js';
import { requestJson } from '../../launcher/requestJson.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireProcess } from '../requireProcess.js';

interface RangeResponse {
  readonly kvs: readonly { readonly value: string; readonly mod_revision: string }[];
}

interface StoredDocument {
  readonly version: number;
  readonly defaults: Readonly<Record<string, object>>;
}

const KEY = Buffer.from('/config/current').toString('base64');

/** Writes the next configuration version directly to the key-value service. */
export async function runChangeConfig(
  context: ScenarioContext,
  step: StepOf<'changeConfig'>,
): Promise<void> {
  const store = requireProcess(context, 'store').directUrl;
  const { kvs } = (await requestJson('POST', `${store}/v3/kv/range`, {
    key: KEY,
  })) as RangeResponse;
  const found = kvs[0];
  if (found === undefined) {
    throw new ScenarioError('The key-value service has no configuration.');
  }
  const stored = JSON.parse(Buffer.from(found.value, 'base64').toString()) as StoredDocument;
  const sections = Object.entries(step.set).map(([section, fields]) => [
    section,
    { ...stored.defaults[section], ...fields },
  ]);
  const version = stored.version + 1;
  const document = {
    ...stored,
    version,
    changeId: `scenario-${version}`,
    defaults: { ...stored.defaults, ...Object.fromEntries(sections) },
  };
  const value = Buffer.from(JSON.stringify(document)).toString('base64');
  const response = (await requestJson('POST', `${store}/v3/kv/txn`, {
    compare: [{ key: KEY, target: 'MOD', result: 'EQUAL', mod_revision: found.mod_revision }],
    success: [{ request_put: { key: KEY, value } }],
    failure: [],
  })) as { succeeded: boolean };
  if (!response.succeeded) {
    throw new ScenarioError('The configuration was changed concurrently.');
  }
}
