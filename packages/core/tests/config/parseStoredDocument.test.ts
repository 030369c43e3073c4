import test from 'ava';
import { parseStoredDocument } from '../../src/config/parseStoredDocument.js';

const nested = (levels: number): string => `${'['.repeat(levels)}${']'.repeat(levels)}`;

// An exception would end the following of the stored configuration.
test('a stored document that is nested, of another type or out of range is no document', (t) => {
  const texts = [
    ...['', 'text', 'null', '[]', '7', '{}', nested(4_000), nested(100_000)],
    ...['1e300', '1e999', '-1', '0.5', '"1"', 'null', nested(100_000)].map(
      (version) => `{"version":${version},"changeId":"a"}`,
    ),
    `{"version":1,"changeId":${nested(100_000)}}`,
  ];
  texts.forEach((text) => {
    const { document, revision } = parseStoredDocument(text);
    t.is(document, undefined, text.slice(0, 40));
    t.is(revision, undefined, text.slice(0, 40));
  });
  // An invalid document of a newer program version still has its revision.
  const newer = parseStoredDocument(`{"version":1,"changeId":"a","defaults":${nested(100_000)}}`);
  t.is(newer.document, undefined);
  t.like(newer.revision, { version: 1, changeId: 'a' });
});
