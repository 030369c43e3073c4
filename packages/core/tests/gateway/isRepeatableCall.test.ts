import fc from 'fast-check';
import test from 'ava';
import { isRepeatableCall } from '../../src/gateway/isRepeatableCall.js';

const nonRepeatableCalls = ['POST /orders'];

test('calls outside the non-repeatable prefixes are repeatable', (t) => {
  t.true(isRepeatableCall('GET', '/orders/a', nonRepeatableCalls));
  t.true(isRepeatableCall('GET', '/orders/a%20b?detail=full', nonRepeatableCalls));
  t.true(isRepeatableCall('POST', '/searches', nonRepeatableCalls));
  t.true(isRepeatableCall('POST', '/anything/../orders', []));
});

const equivalentOrAmbiguousPaths = [
  '/orders',
  '/orders/',
  '/orders?x=1',
  '/ORDERS',
  '/%6frders',
  '/%256frders',
  '//orders',
  '/a/../orders',
  '/a/%2e%2e/orders',
  '/a%2f..%2forders',
  '/./orders',
  '/\\orders',
  '/a\\..\\orders',
  '/;x=1/orders',
  '/orders;x=1',
  '/orders%00',
  '/\torders',
  '/ｏrders',
  '/%EF%BD%8Frders',
  '/searches/../orders#',
  '/%',
  'orders',
  '@other/orders',
];

equivalentOrAmbiguousPaths.forEach((path) => {
  test(`POST ${JSON.stringify(path)} is not repeatable`, (t) => {
    t.false(isRepeatableCall('POST', path, nonRepeatableCalls));
    t.false(isRepeatableCall('post', path, nonRepeatableCalls));
  });
});

test('no path that a URL parser normalizes to the order route is repeatable', (t) => {
  const segment = fc.constantFrom(
    '/',
    '.',
    '..',
    '%2e',
    '%2F',
    '\\',
    'orders',
    '%6Frders',
    'a',
    '?',
    '#',
    ';',
    '\t',
  );
  fc.assert(
    fc.property(fc.array(segment, { maxLength: 7 }), (segments) => {
      const path = `/${segments.join('')}`;
      const { pathname } = new URL(`http://server:1${path}`);
      if (decodeURIComponent(pathname).startsWith('/orders')) {
        t.false(isRepeatableCall('POST', path, nonRepeatableCalls), path);
      }
    }),
    { numRuns: 5_000 },
  );
});
