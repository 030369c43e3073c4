import test from 'ava';
import { createSendGate } from '../../src/dispatch/createSendGate.js';
import { AttemptAbandonedError } from '../../src/errors/AttemptAbandonedError.js';

test('an abandoned order can no longer be sent', (t) => {
  const gate = createSendGate();
  const onBeforeSend = gate.startAttempt();
  t.true(gate.abandon());
  t.true(gate.signal.aborted);
  t.throws(onBeforeSend, { instanceOf: AttemptAbandonedError });
  t.is(gate.state(), 'abandoned');
});

test('an order that may have been sent cannot be abandoned or retried', (t) => {
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

test('an attempt cannot send after a newer attempt has started', (t) => {
  const gate = createSendGate();
  const earlier = gate.startAttempt();
  const newer = gate.startAttempt();
  t.throws(earlier, { instanceOf: AttemptAbandonedError });
  newer();
  t.is(gate.state(), 'possibly-sent');
});

test('a send check that fails immediately before sending abandons the order', (t) => {
  const gate = createSendGate();
  let maySend = true;
  gate.addSendCheck(() => maySend);
  const onBeforeSend = gate.startAttempt();
  maySend = false;
  t.throws(onBeforeSend, { instanceOf: AttemptAbandonedError });
  t.true(gate.abandon());
});
