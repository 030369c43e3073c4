import test from 'ava';
import { createSendGate } from '../../src/dispatch/createSendGate.js';
import { AttemptAbandonedError } from '../../src/errors/AttemptAbandonedError.js';

test('an abandoned order can no longer be sent', (t) => {
  const gate = createSendGate();
  const onPossiblyRun = gate.startAttempt();
  t.true(gate.abandon());
  t.true(gate.signal.aborted);
  t.throws(onPossiblyRun, { instanceOf: AttemptAbandonedError });
  t.is(gate.state(), 'abandoned');
});

test('an order that may have been sent cannot be abandoned, and is not sent again', (t) => {
  const gate = createSendGate();
  const first = gate.startAttempt();
  first();
  t.false(gate.abandon());
  t.throws(first, { instanceOf: AttemptAbandonedError });
  t.throws(gate.startAttempt(), { instanceOf: AttemptAbandonedError });
  gate.markAnswered();
  t.false(gate.abandon());
  t.is(gate.state(), 'answered');
});

test('an attempt given up for another server cannot send late', (t) => {
  const gate = createSendGate();
  const slow = gate.startAttempt();
  const next = gate.startAttempt();
  t.throws(slow, { instanceOf: AttemptAbandonedError });
  next();
  t.is(gate.state(), 'possibly-sent');
});

test('a lapsed right to send abandons the order at the point of no return', (t) => {
  const gate = createSendGate();
  let mayUse = true;
  gate.addSendCheck(() => mayUse);
  const onPossiblyRun = gate.startAttempt();
  mayUse = false;
  t.throws(onPossiblyRun, { instanceOf: AttemptAbandonedError });
  t.true(gate.abandon());
});
