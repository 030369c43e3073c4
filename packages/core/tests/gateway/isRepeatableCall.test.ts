import fc from 'fast-check';
import test from 'ava';
import { isRepeatableCall } from '../../src/gateway/isRepeatableCall.js';

const rules = ['POST /orders'];

test('calls outside the non-repeatable prefixes may be repeated', (t) => {
  t.true(isRepeatableCall('GET', '/orders/a', rules));
  t.true(isRepeatableCall('GET', '/orders/a%20b?detail=full', rules));
  t.true(isRepeatableCall('POST', '/searches', rules));
  t.true(isRepeatableCall('POST', '/anything/../orders', []));
});

const disguises = [
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

disguises.forEach((path) => {
  test(`POST ${JSON.stringify(path)} is never taken for a repeatable call`, (t) => {
    t.false(isRepeatableCall('POST', path, rules));
    t.false(isRepeatableCall('post', path, rules));
  });
});

test('no path that a URL parser reads as the order route counts as repeatable', (t) => {
  const piece = fc.constantFrom(
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
    fc.property(fc.array(piece, { maxLength: 7 }), (pieces) => {
      const path = `/${pieces.join('')}`;
      const { pathname } = new URL(`http://server:1${path}`);
      if (decodeURIComponent(pathname).startsWith('/orders')) {
        t.false(isRepeatableCall('POST', path, rules), path);
      }
    }),
    { numRuns: 5_000 },
  );
});
