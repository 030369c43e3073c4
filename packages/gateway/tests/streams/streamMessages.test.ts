import test from 'ava';
import { asId } from '@camphorbarrow/core';
import {
  decodeStreamMessage,
  encodeRecords,
  formatVersion,
  parseVersion,
} from '../../src/index.js';
import type { SoftwareVersion, StreamRecord } from '../../src/index.js';

test('many records are split into datagrams that are not fragmented', (t) => {
  const records = Array.from({ length: 200 }, (_, index) => {
    const record: StreamRecord = {
      stream: asId(`${index}-`.padEnd(200, 'x')),
      service: asId('model'),
      version: asId('v1'),
    };
    return [record, index] as const;
  });
  const datagrams = encodeRecords(records);
  t.true(datagrams.every(({ length }) => length <= 1_400));
  const decoded = datagrams.flatMap((datagram) => {
    const message = decodeStreamMessage(datagram);
    return message.kind === 'records' ? message.records : [];
  });
  t.deepEqual(decoded, records);
});

test('any text of a version reaches the other host unchanged', (t) => {
  for (const text of ['v1', '', 'a b, c', '1.2+é\n', '\ud800', '%22']) {
    t.is(parseVersion(formatVersion(asId<SoftwareVersion>(text))), asId<SoftwareVersion>(text));
  }
  for (const odd of [undefined, '', 'v1', '7', '%', '%FF', ['%22a%22']]) {
    t.is(parseVersion(odd), undefined, String(odd));
  }
});
