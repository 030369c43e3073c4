import test from 'ava';
import { describeEvents, endOfLastEvent } from '../../src/index.js';

function splitEvents(bytes: Buffer) {
  const end = endOfLastEvent(bytes, 0);
  const completeEvents = bytes.subarray(0, end);
  return { completeEvents, remainder: bytes.subarray(end), ...describeEvents(completeEvents) };
}

test('an incomplete event is returned as the remainder', (t) => {
  const split = splitEvents(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'));
  t.is(split.completeEvents.toString(), 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  t.is(split.remainder.toString(), 'id: 3\nda');
  t.is(split.lastEventId, '2');
  t.is(split.eventCount, 2);
});

test('lines may end with a carriage return and a line feed', (t) => {
  const split = splitEvents(Buffer.from('id: 4\r\ndata: a\r\n\r\nid: 5'));
  t.is(split.completeEvents.toString(), 'id: 4\r\ndata: a\r\n\r\n');
  t.is(split.lastEventId, '4');
});

test('bytes without a blank line contain no complete event', (t) => {
  const split = splitEvents(Buffer.from('data: a\n'));
  t.is(split.completeEvents.length, 0);
  t.is(split.lastEventId, undefined);
});

test('comments and blank lines have no fields', (t) => {
  t.false(splitEvents(Buffer.from(': waiting\n\n\n: waiting\r\n\r\n')).hasFields);
  t.true(splitEvents(Buffer.from(': waiting\n\ndata: a\n\n')).hasFields);
});

test('an end of an event is found from any offset up to its last byte', (t) => {
  const bytes = Buffer.from('id: 1\r\n\r\nid: 2');
  for (let from = 0; from <= 8; from += 1) {
    t.is(endOfLastEvent(bytes, from), 9);
  }
  t.is(endOfLastEvent(bytes, 9), 0);
});
