import test from 'ava';
import { formatSendTime, parseSendTime } from '../../src/index.js';

test('a send time is parsed as it was formatted', (t) => {
  const sendTime = { incarnation: 'process-1', sentAtMs: 1_234.5 };
  t.deepEqual(parseSendTime(formatSendTime(sendTime)), sendTime);
});

test('a missing or malformed send time is ignored', (t) => {
  [undefined, '', 'process-1', 'process-1 soon', ' 12'].forEach((value) =>
    t.is(parseSendTime(value), undefined, value),
  );
});
