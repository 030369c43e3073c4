import test from 'ava';
import { announcedUrl } from '../../src/entryHost/announcedUrl.js';

test('the announced address replaces the bound one, which may be unreachable for peers', (t) => {
  const announce = { address: '127.2.0.1', port: 81 };
  t.is(announcedUrl({ address: '127.1.0.1', port: 80, announce }), 'http://127.2.0.1:81');
});

test('without an announced address the bound one is used, IPv6 in brackets', (t) => {
  t.is(announcedUrl({ address: '::1', port: 80 }), 'http://[::1]:80');
});
