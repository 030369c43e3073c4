import test from 'ava';
import { stripHopHeaders } from '../../src/index.js';

test('headers of one connection, and those that Connection names, do not travel on', (t) => {
  const headers = stripHopHeaders([
    'Host',
    'a.example',
    'Connection',
    'keep-alive, X-Only-Here',
    'x-only-here',
    '1',
    'Transfer-Encoding',
    'chunked',
    'Content-Length',
    '7',
    'X-Kept',
    '2',
  ]);
  t.deepEqual(headers, ['Host', 'a.example', 'X-Kept', '2']);
});
