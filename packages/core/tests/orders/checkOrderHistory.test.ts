import test from 'ava';
import type { OrderEvent } from './OrderEvent.js';
import { checkOrderHistory } from './checkOrderHistory.js';

const send = (sendId: string, order = 'a', mustFindOutcome = false): OrderEvent => ({
  kind: 'send',
  sendId,
  order,
  mustFindOutcome,
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
    'a send that ran before it was reported as not-run',
    [send('1'), run('1'), notRun('1')],
    'send 1 was reported as not-run but ran',
  ],
  [
    'a send that ran after it was reported as not-run',
    [send('1'), notRun('1'), run('1')],
    'send 1 was reported as not-run but ran',
  ],
  [
    'a final not-run response to an order that ran through another send',
    [send('1'), send('2'), notRun('1', true), run('2')],
    'order a was reported as finally not-run but ran',
  ],
  [
    'a run response before the run',
    [send('1'), ran('1', 'c'), run('1')],
    'send 1 was reported as run before order a ran',
  ],
  [
    'the response to another order',
    [send('1'), run('1'), send('2', 'b'), run('2', 'b', 'd'), ran('1', 'd')],
    'send 1 got the response to another order',
  ],
  [
    'a resend that misses the known outcome',
    [send('1'), run('1'), ran('1', 'c'), send('2', 'a', true), notRun('2')],
    'send 2 did not find the known outcome',
  ],
  [
    'a resend without a response',
    [send('1'), run('1'), send('2', 'a', true)],
    'send 2 got no response',
  ],
  ['a response to an unknown send', [notRun('9')], 'response to unknown send 9'],
];

rejected.forEach(([title, events, violation]) => {
  test(`${title} is rejected`, (t) => {
    t.deepEqual(checkOrderHistory(events), [violation]);
  });
});
