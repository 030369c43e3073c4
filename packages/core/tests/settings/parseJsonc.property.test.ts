import test from 'ava';
import fc from 'fast-check';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { SettingsError } from '../../src/errors/SettingsError.js';
import { hostSettingsSchema } from '../../src/settings/hostSettingsSchema.js';
import { parseJsonc } from '../../src/settings/parseJsonc.js';

const SECRET = 'pelican-jug-7731';

/**
 * Whether the text is parsed or rejected with a `SettingsError` that does not contain the secret.
 */
function parsesOrRejects(text: string): boolean {
  return [hostSettingsSchema, fleetDefaultsSchema].every((schema) => {
    try {
      parseJsonc('file.jsonc', text, schema);
      return true;
    } catch (error) {
      return error instanceof SettingsError && !error.message.includes(SECRET);
    }
  });
}

const sections = fc.dictionary(
  fc.constantFrom(
    ...Object.keys(hostSettingsSchema.shape),
    ...Object.keys(fleetDefaultsSchema.shape),
    '__proto__',
  ),
  fc.jsonValue(),
);
const secrets = fc.record({
  secrets: fc.oneof(
    fc.record({ peerKey: fc.constant([SECRET]), recordKey: fc.constant({ a: SECRET }) }),
    fc.record({ peerKeys: fc.constant(SECRET), operatorKeys: fc.constant([SECRET]) }),
    fc.constant(SECRET),
  ),
});

// Guards against untyped exceptions at startup and against secrets in error messages.
test('any settings file is parsed or rejected with a SettingsError', (t) => {
  const text = fc.oneof(
    fc.string({ unit: 'binary' }),
    fc.json(),
    sections.map((value) => JSON.stringify(value)),
    fc.tuple(sections, secrets).map((parts) => JSON.stringify(Object.assign({}, ...parts))),
    fc
      .tuple(secrets, fc.nat({ max: 40 }))
      .map(([value, at]) => `${JSON.stringify(value).slice(0, -at)}/*`),
  );
  t.notThrows(() => fc.assert(fc.property(text, parsesOrRejects), { seed: 20_262, numRuns: 500 }));
});

test('a deeply nested settings file is rejected with a SettingsError', (t) => {
  t.true(parsesOrRejects('['.repeat(100_000)));
  t.true(parsesOrRejects(`${'{"a":'.repeat(100_000)}1${'}'.repeat(100_000)}`));
});
