import test from 'ava';
import fc from 'fast-check';
import { createHash } from 'node:crypto';
import { createFleetDocument } from '../../src/config/createFleetDocument.js';
import { fleetDocumentSchema } from '../../src/config/fleetDocumentSchema.js';
import { RequestError } from '../../src/errors/RequestError.js';
import { asId } from '../../src/ids/asId.js';
import { createPermitCodec } from '../../src/orders/createPermitCodec.js';
import { createRequestContextReader } from '../../src/requests/createRequestContextReader.js';
import { headerNames } from '../../src/requests/headerNames.js';
import { parseInferenceBody } from '../../src/requests/parseInferenceBody.js';

const RUNS = { seed: 20_261, numRuns: 1_000 };
const MARKER = 'pelican-jug-7731';

/**
 * Whether `read` returns a value or throws a typed error with a short message that does not
 * contain the marker.
 */
function readsOrRejects(read: () => unknown, statusCodes: readonly number[] = []): boolean {
  try {
    read();
    return true;
  } catch (error) {
    return (
      error instanceof RequestError &&
      error.outcome === 'not-run' &&
      ((error.statusCode >= 400 && error.statusCode < 500) ||
        statusCodes.includes(error.statusCode)) &&
      !error.message.includes(MARKER) &&
      error.message.length < 1_000
    );
  }
}

const text = fc.oneof(
  fc.string({ unit: 'binary' }),
  fc.constantFrom('', ' ', MARKER, `Bearer ${MARKER}`, 'x'.repeat(20_000), '99999999', '-1', '1e3'),
  fc.constantFrom('urgent', 'costa', 'constructor', '__proto__', 'Bearer key', 'é', 'a,b', 'sur-1'),
);
const headers = fc.dictionary(
  fc.constantFrom(...Object.values(headerNames)),
  fc.oneof(text, fc.array(text, { maxLength: 3 })),
);
const routes = fc.constantFrom('chat/completions' as const, 'completions' as const);

const reader = createRequestContextReader({
  clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} },
  hostId: asId('costa-1'),
  regionId: asId('costa'),
  configuration: () =>
    createFleetDocument(
      fleetDocumentSchema.parse({
        version: 1,
        changeId: 'initial',
        defaults: {
          customers: {
            workshop: { keySha256: createHash('sha256').update('key').digest('hex') },
          },
        },
      }),
    ),
  knownRegions: () => new Set([asId('costa')]),
  entryHostUrls: () => [],
});

// Guards against untyped exceptions and against error messages that quote the prompt.
test('any inference body is parsed or rejected with a typed error', (t) => {
  const fields = fc.record(
    {
      model: fc.oneof(fc.constant(MARKER), fc.jsonValue()),
      messages: fc.oneof(
        fc.array(fc.record({ role: fc.jsonValue(), content: fc.jsonValue() })),
        fc.jsonValue(),
      ),
      prompt: fc.oneof(fc.constant([MARKER, 1]), fc.jsonValue()),
      stream: fc.jsonValue(),
      max_tokens: fc.jsonValue(),
    },
    { requiredKeys: [] },
  );
  const body = fc.oneof(
    text,
    fc.json(),
    fields.map((value) => JSON.stringify(value)),
    fields.map((value) => `${MARKER}${JSON.stringify(value)}`),
  );
  t.notThrows(() =>
    fc.assert(
      fc.property(routes, body, (route, value) =>
        readsOrRejects(() => parseInferenceBody(route, value)),
      ),
      RUNS,
    ),
  );
});

test('a body with deep nesting or very many problems is rejected with a short typed error', (t) => {
  const deep = `${'['.repeat(50_000)}${']'.repeat(50_000)}`;
  const bodies = [
    `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":${deep}}]}]}`,
    `{"model":"m","messages":[${Array.from({ length: 10_000 }, () => '1').join(',')}]}`,
  ];
  bodies.forEach((body) => {
    t.true(readsOrRejects(() => parseInferenceBody('chat/completions', body)));
    t.throws(() => parseInferenceBody('chat/completions', body), { name: 'InvalidBodyError' });
  });
});

// Guards against inherited property names such as "constructor" being accepted as customers.
test('any headers yield a request context or a typed error that quotes no header value', (t) => {
  t.notThrows(() =>
    fc.assert(
      fc.property(headers, (value) =>
        readsOrRejects(() => reader.readCallerRequest({ authorization: 'Bearer key', ...value })),
      ),
      RUNS,
    ),
  );
  t.notThrows(() =>
    fc.assert(
      fc.property(headers, (value) =>
        readsOrRejects(() => reader.readForwardedRequest(value), [508]),
      ),
      RUNS,
    ),
  );
  ['constructor', '__proto__', 'toString'].forEach((customer) => {
    const forwarded = {
      [headerNames.path]: 'sur-1',
      [headerNames.targetRegion]: 'costa',
      [headerNames.requestId]: 'r',
      [headerNames.customer]: customer,
    };
    t.throws(() => reader.readForwardedRequest(forwarded), { name: 'UnauthenticatedError' });
  });
});

test('any text that is not an issued permit is rejected, and an issued permit can be read', (t) => {
  const codec = createPermitCodec({
    recordKey: MARKER,
    self: { hostId: asId('costa-1.a'), incarnation: asId('0'.repeat(36)), regionId: asId('costa') },
  });
  const workshop = asId<Parameters<typeof codec.issue>[0]>('workshop');
  const issued = codec.issue(workshop, 1_000);
  t.like(codec.read(issued, workshop), { hostId: 'costa-1.a', expiresAtMs: 1_000 });
  const forged = fc.oneof(
    text,
    fc
      .tuple(fc.nat({ max: issued.length - 1 }), fc.string({ unit: 'binary', maxLength: 3 }))
      .map(([at, part]) => `${issued.slice(0, at)}${part}${issued.slice(at + 1)}`),
  );
  const isRejected = (key: string): boolean =>
    readsOrRejects(() => codec.read(key, workshop)) &&
    t.throws(() => codec.read(key, workshop)) !== undefined;
  t.notThrows(() =>
    fc.assert(
      fc.property(forged, (key) => key === issued || isRejected(key)),
      RUNS,
    ),
  );
});
