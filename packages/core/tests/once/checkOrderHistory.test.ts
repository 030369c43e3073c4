import test from 'ava';
import type { OrderEvent } from './OrderEvent.js';
import { checkOrderHistory } from './checkOrderHistory.js';

const send = (sendId: string, order = 'a', mustFind = false): OrderEvent => ({
  kind: 'send',
  sendId,
  order,
  mustFind,
});
const run = (sendId: string, order = 'a', confirmation = 'c'): OrderEvent => ({
  kind: 'run',
  sendId,
  order,
  confirmation,
});
const ran = (sendId: string, confirmation?: string): OrderEvent => ({
  kind: 'answer',
  sendId,
  outcome: 'run',
  confirmation,
});
const notRun = (sendId: string, finalForKey = false): OrderEvent => ({
  kind: 'answer',
  sendId,
  outcome: 'not-run',
  finalForKey,
});

test('correct histories are accepted', (t) => {
  t.deepEqual(
    checkOrderHistory([send('1'), run('1'), ran('1', 'c'), send('2'), ran('2', 'c')]),
    [],
  );
  t.deepEqual(checkOrderHistory([send('1'), notRun('1'), send('2'), run('2'), ran('2', 'c')]), []);
  t.deepEqual(checkOrderHistory([send('1'), notRun('1', true), send('2'), notRun('2', true)]), []);
  t.deepEqual(checkOrderHistory([send('1'), run('1')]), []);
});

const rejected: readonly [string, readonly OrderEvent[], string][] = [
  ['an order that ran twice', [send('1'), run('1'), send('2'), run('2')], 'order a ran twice'],
  [
    'a send answered not-run that ran before the answer',
    [send('1'), run('1'), notRun('1')],
    'send 1 was answered not-run and ran',
  ],
  [
    'a send answered not-run that started late',
    [send('1'), notRun('1'), run('1')],
    'send 1 was answered not-run and ran',
  ],
  [
    'a final not-run whose order ran through another send',
    [send('1'), send('2'), notRun('1', true), run('2')],
    'order a was answered not-run for good and ran',
  ],
  [
    'an answer before the run',
    [send('1'), ran('1', 'c'), run('1')],
    'send 1 was answered run before order a ran',
  ],
  [
    'the answer of another order',
    [send('1'), run('1'), send('2', 'b'), run('2', 'b', 'd'), ran('1', 'd')],
    'send 1 got a foreign answer',
  ],
  [
    'a resend that misses the known outcome',
    [send('1'), run('1'), ran('1', 'c'), send('2', 'a', true), notRun('2')],
    'send 2 did not find the known outcome',
  ],
  [
    'a resend that is never answered',
    [send('1'), run('1'), send('2', 'a', true)],
    'send 2 was never answered',
  ],
  ['an answer to nobody', [notRun('9')], 'answer to unknown send 9'],
];

rejected.forEach(([title, events, violation]) => {
  test(`${title} is rejected`, (t) => {
    t.deepEqual(checkOrderHistory(events), [violation]);
  });
});
