import test from 'ava';
import { splitEvents } from '../../src/index.js';

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
