import test from 'ava';
import fc from 'fast-check';
import { AttemptBrokenError } from '../../src/errors/AttemptBrokenError.js';
import { BackendFailedError } from '../../src/errors/BackendFailedError.js';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { NoServerError } from '../../src/errors/NoServerError.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { RequestError } from '../../src/errors/RequestError.js';
import { TruncatedStreamError } from '../../src/errors/TruncatedStreamError.js';
import type { InferenceAnswer } from '../../src/gateway/InferenceAnswer.js';
import type { InferenceGateway } from '../../src/gateway/createInferenceGateway.js';
import { createSpillGateway } from '../../src/gateway/createSpillGateway.js';
import { asId } from '../../src/ids/asId.js';
import type { ForwardAnswer, ForwardAttempt } from '../../src/ports/ForwardClient.js';
import type { InferenceRequest } from '../../src/requests/InferenceRequest.js';
import { createSpillDecider } from '../../src/routing/spill/createSpillDecider.js';
import { spillWhenItPays } from '../../src/routing/spill/spillWhenItPays.js';
import { createSeededRandom } from '../../src/time/createSeededRandom.js';
import { createRequest } from '../routing/fixtures.js';
import { createLocal, createRegion } from '../routing/spill/fixtures.js';

const silentLog = { info: () => {}, warn: () => {}, error: () => {} };
const noMetrics = {
  increment: () => {},
  gauge: () => {},
  timingMs: () => {},
  close: async () => {},
};
const localResponse: InferenceAnswer = { kind: 'plain', statusCode: 200, body: 'local' };
const peerResponse: ForwardAnswer = { kind: 'plain', statusCode: 200, body: 'peer' };

async function* streamOf(events: readonly string[]): AsyncGenerator<string, void> {
  yield* events;
}

function refusal(code: string, outcome: 'not-run' | 'unknown'): ForwardAnswer {
  const rest = { statusCode: 503, message: code, retryAfterMs: undefined, details: {} };
  return { kind: 'refused', code, outcome, ...rest };
}

interface Setup {
  readonly localMs?: number;
  readonly local?: () => Promise<InferenceAnswer>;
  readonly regions?: readonly string[];
  readonly forward: (attempt: ForwardAttempt, signal: AbortSignal) => Promise<ForwardAnswer>;
}

interface TestGateway {
  readonly gateway: InferenceGateway;
  readonly attempts: ForwardAttempt[];
}

function createTestGateway(setup: Setup): TestGateway {
  const attempts: ForwardAttempt[] = [];
  const names = setup.regions ?? ['costa', 'sierra-norte'];
  const gateway = createSpillGateway({
    clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} },
    random: createSeededRandom(7),
    log: silentLog,
    metrics: noMetrics,
    hostId: asId('sur-1'),
    local: { handle: setup.local ?? (async () => localResponse) },
    forwardClient: {
      start: async (attempt, signal) => {
        attempts.push(attempt);
        return setup.forward(attempt, signal);
      },
      close: async () => {},
    },
    decider: createSpillDecider({
      policy: spillWhenItPays,
      regions: () =>
        names.map((name) => createRegion({ regionId: asId(name), peerUrls: [`http://${name}`] })),
      fleetHostCount: () => 3,
    }),
    estimateLocal: () => createLocal(setup.localMs ?? 30_000),
  });
  return { gateway, attempts };
}

const handle = (
  subject: TestGateway,
  changes: Partial<InferenceRequest> = {},
): Promise<InferenceAnswer> =>
  subject.gateway.handle(createRequest(changes), new AbortController().signal);

test('a forwarded request contains this host, the customer and the remaining time', async (t) => {
  const subject = createTestGateway({ forward: async () => peerResponse });
  t.is(await handle(subject), peerResponse);
  t.is(subject.attempts.length, 1);
  t.like(subject.attempts[0], { path: ['sur-1'], customerId: 'workshop', remainingMs: 60_000 });
});

test('a request with a home region or a path is never forwarded, even if it fails locally', async (t) => {
  const homeRegionId = fc.option(fc.constantFrom('sierra-sur', 'costa'), { nil: undefined });
  const path = fc.array(fc.constantFrom('a', 'sur-1'), { maxLength: 3 });
  await fc.assert(
    fc.asyncProperty(homeRegionId, path, fc.boolean(), async (home, hosts, fails) => {
      fc.pre(home !== undefined || hosts.length > 0);
      const subject = createTestGateway({
        localMs: Infinity,
        forward: async () => peerResponse,
        local: async () => {
          if (fails) {
            throw new NoServerError('none');
          }
          return localResponse;
        },
      });
      const changes = { homeRegionId: home && asId<never>(home), path: hosts.map(asId<never>) };
      await handle(subject, changes).catch((error: unknown) => {
        t.true(error instanceof NoServerError);
      });
      t.is(subject.attempts.length, 0);
    }),
    { seed: 20_261_204 },
  );
});

test('a request is served elsewhere when a peer is unreachable or rejects it', async (t) => {
  const unreachable = createTestGateway({
    forward: async () => {
      throw new ConnectFailedError('refused');
    },
  });
  t.is(await handle(unreachable), localResponse);
  t.is(unreachable.attempts.length, 2);
  const overloaded = createTestGateway({ forward: async () => refusal('overloaded', 'not-run') });
  t.is(await handle(overloaded), localResponse);
  const draining = createTestGateway({
    forward: async ({ regionId }) =>
      regionId === asId('costa') ? refusal('draining', 'not-run') : peerResponse,
  });
  t.is(await handle(draining), peerResponse);
});

test('a forwarded request that may have run is not retried and not reported as "not-run"', async (t) => {
  const broken = createTestGateway({
    forward: async () => {
      throw new AttemptBrokenError('reset');
    },
  });
  const error = await t.throwsAsync(handle(broken), { instanceOf: RequestError });
  t.is(error.outcome, 'unknown');
  t.is(broken.attempts.length, 1);
  const unknown = createTestGateway({ forward: async () => refusal('backend-failed', 'unknown') });
  t.is((await t.throwsAsync(handle(unknown), { instanceOf: RequestError })).outcome, 'unknown');
  t.is(unknown.attempts.length, 1);
});

test('an error caused by the request itself is returned to the caller without another attempt', async (t) => {
  for (const code of ['wrong-region', 'request-quarantined']) {
    const subject = createTestGateway({ forward: async () => refusal(code, 'not-run') });
    const error = await t.throwsAsync(handle(subject), { instanceOf: RequestError });
    t.like(error, { code, outcome: 'not-run' });
    t.is(subject.attempts.length, 1);
  }
});

test('a request that did not run in this region for lack of capacity is forwarded', async (t) => {
  const errors = [
    new NoServerError('none'),
    new OverloadedError('full'),
    new BackendFailedError('refused connections', { props: { outcome: 'not-run' } }),
  ];
  for (const error of errors) {
    const local = (): Promise<never> => Promise.reject(error);
    const subject = createTestGateway({ localMs: 0, forward: async () => peerResponse, local });
    t.is(await handle(subject), peerResponse);
  }
});

test('a request that may have run in this region is not forwarded', async (t) => {
  const error = new BackendFailedError('broken');
  const local = (): Promise<never> => Promise.reject(error);
  const subject = createTestGateway({ localMs: 0, forward: async () => peerResponse, local });
  t.is(await t.throwsAsync(handle(subject)), error);
  t.is(subject.attempts.length, 0);
});

test('a truncated forwarded stream is rejected', async (t) => {
  const subject = createTestGateway({
    forward: async () => ({ kind: 'stream', events: streamOf(['{"choices":[]}']) }),
  });
  const response = await handle(subject);
  const read = async (): Promise<void> => {
    for await (const data of response.kind === 'stream' ? response.events : []) {
      void data;
    }
  };
  await t.throwsAsync(read(), { instanceOf: TruncatedStreamError });
});

test('the forward is cancelled without another attempt when the caller disconnects', async (t) => {
  const caller = new AbortController();
  const subject = createTestGateway({
    forward: async (_attempt, signal) => {
      caller.abort();
      throw new AttemptBrokenError(`aborted: ${signal.aborted}`);
    },
    local: async () => t.fail('served locally') as never,
  });
  await t.throwsAsync(subject.gateway.handle(createRequest(), caller.signal), {
    any: true,
    instanceOf: DOMException,
    name: 'AbortError',
  });
  t.is(subject.attempts.length, 1);
});
