import test from 'ava';
import { SettingsError } from '../../src/errors/SettingsError.js';
import { hostSettingsSchema } from '../../src/settings/hostSettingsSchema.js';
import { parseJsonc } from '../../src/settings/parseJsonc.js';

const valid = `{
  // Settings of one entry host.
  "host": { "hostId": "sur-1", "region": "sierra-sur", "availabilityZone": "sur-a" },
  "callerListener": { "address": "127.0.0.1", "port": 8080 },
  "peerListener": { "address": "127.0.0.1", "port": 9080 },
  "keyValueService": { "url": "http://127.0.0.1:2379" },
  "hostList": { "url": "http://127.0.0.1:2380" },
  "secrets": { "peerKey": "0123456789abcdef", "recordKey": "0123456789abcdef" },
}`;

test('comments, trailing commas and defaults are accepted', (t) => {
  const settings = parseJsonc('host.jsonc', valid, hostSettingsSchema);
  t.is(settings.drain.steerMs, 3_000);
});

test('an unknown field and a bad value are reported with their lines', (t) => {
  const text = valid.replace('"port": 8080', '"port": 0').replace('"hostList"', '"hostLists"');
  const error = t.throws(() => parseJsonc('host.jsonc', text, hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /host\.jsonc:4:\d+: callerListener\.port: .*>=1/);
  t.regex(error.message, /hostLists/);
});

test('broken JSON is reported with its line', (t) => {
  const error = t.throws(() => parseJsonc('host.jsonc', '{\n"host": }', hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /host\.jsonc:2:\d+/);
});
