import test from 'ava';
import { stripHopByHopHeaders } from '../../src/index.js';

test('hop-by-hop headers and those that Connection lists are removed', (t) => {
  const headers = stripHopByHopHeaders([
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
