import test from 'ava';
import fc from 'fast-check';
import { servicePathOf } from '../../src/callers/servicePathOf.js';

// Guards against a path without its leading slash, which would change the host or port of a
// service URL.
test('any URL gives a path that starts with a slash and ends the URL', (t) => {
  const tail = fc.string({ unit: 'binary' });
  const url = fc.oneof(
    tail,
    tail.map((part) => `/v1/services/${part}`),
    tail.map((part) => `/v1/services/orders/${part}`),
  );
  const isValid = (value: string): boolean => {
    const path = servicePathOf(value);
    return path.startsWith('/') && (path === '/' || value.endsWith(path));
  };
  t.notThrows(() => fc.assert(fc.property(url, isValid), { seed: 20_263, numRuns: 1_000 }));
});
