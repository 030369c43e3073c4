import test from 'ava';
import { createOutputLengthEstimator } from '../../src/index.js';
import type { OutputQuery } from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';

function queryOf(expectedOutputTokens: number | undefined): OutputQuery {
  return {
    route: buildRoute(),
    service: buildService({ tokensPerEvent: 6 }),
    metadata: buildRequestMetadata({ expectedOutputTokens }),
  };
}

function learnedBook() {
  const book = createOutputLengthEstimator();
  for (let answers = 0; answers < 100; answers += 1) {
    book.recordResponse(buildRoute(), 25);
  }
  return book;
}

test('an estimate is all that is known before the first answer, up to the largest output', (t) => {
  const book = createOutputLengthEstimator();
  t.is(book.expectedEvents(queryOf(60)), 10);
  t.is(book.expectedEvents(queryOf(9_000)), 100);
  t.is(book.expectedEvents(queryOf(undefined)), 50);
});

// Taken at their word, callers with the largest estimates were refused four times as often as
// others, though half of their answers were of ordinary length.
test('extreme estimates are drawn towards what is typical of the route', (t) => {
  const book = learnedBook();
  t.is(Math.round(book.expectedEvents(queryOf(600))), 50);
  t.is(Math.round(book.expectedEvents(queryOf(24))), 10);
  t.is(Math.round(book.expectedEvents(queryOf(undefined))), 25);
  t.is(Math.round(book.typicalEvents(queryOf(600))), 25);
});

test('a service without tokens has no events to expect', (t) => {
  const query = { ...queryOf(60), service: buildService({ kvCapacityTokens: undefined }) };
  t.is(learnedBook().expectedEvents(query), 0);
  t.is(learnedBook().typicalEvents(query), 0);
});
