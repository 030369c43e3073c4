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

test('an unknown field and an invalid value are reported with their lines', (t) => {
  const text = valid.replace('"port": 8080', '"port": 0').replace('"hostList"', '"hostLists"');
  const error = t.throws(() => parseJsonc('host.jsonc', text, hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /host\.jsonc:4:\d+: callerListener\.port: .*>=1/);
  t.regex(error.message, /hostLists/);
});

test('a JSON syntax error is reported with its line', (t) => {
  const error = t.throws(() => parseJsonc('host.jsonc', '{\n"host": }', hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /host\.jsonc:2:\d+/);
});

test('a problem lists position, field, value, unit and allowed values', (t) => {
  const text = valid.replace(
    '"url": "http://127.0.0.1:2379" }',
    '"url": "http://127.0.0.1:2379", "timeoutMs": 0 }',
  );
  const error = t.throws(() => parseJsonc('host.jsonc', text, hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.is(
    error.message,
    'host.jsonc:6:69: keyValueService.timeoutMs: Too small: expected number to be >=1 ' +
      '(value: 0; unit: milliseconds; allowed: an integer from 1 to 60000)',
  );
});

test('an unknown field is reported at its own position with the allowed fields', (t) => {
  const text = valid.replace('"port": 8080', '"port": 8080, "ports": 1');
  const error = t.throws(() => parseJsonc('host.jsonc', text, hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /:4:\d+: callerListener\.ports: .*allowed: .*address, port/);
});

test('the value of a secret never appears in a problem', (t) => {
  const text = valid
    .replace('"peerKey": "0123456789abcdef"', '"peerKey": "short-secret"')
    .replace('"recordKey"', '"recordkey"');
  const error = t.throws(() => parseJsonc('host.jsonc', text, hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /secrets\.peerKey: .*value: hidden; allowed: text of at least 16/);
  t.notRegex(error.message, /short-secret|0123456789abcdef/);
});

test('a field that occurs twice is reported', (t) => {
  // Guards against the earlier occurrence being dropped silently.
  const text = valid.replace('"hostList"', '"peerListener"');
  const error = t.throws(() => parseJsonc('host.jsonc', text, hostSettingsSchema), {
    instanceOf: SettingsError,
  });
  t.regex(error.message, /host\.jsonc:7:3: peerListener: The field occurs twice/);
});
