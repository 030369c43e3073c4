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

const silent = { info: () => {}, warn: () => {}, error: () => {} };
const noMetrics = {
  increment: () => {},
  gauge: () => {},
  timingMs: () => {},
  close: async () => {},
};
const localAnswer: InferenceAnswer = { kind: 'plain', statusCode: 200, body: 'local' };
const peerAnswer: ForwardAnswer = { kind: 'plain', statusCode: 200, body: 'peer' };

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

interface World {
  readonly gateway: InferenceGateway;
  readonly attempts: ForwardAttempt[];
}

function createWorld(setup: Setup): World {
  const attempts: ForwardAttempt[] = [];
  const names = setup.regions ?? ['costa', 'sierra-norte'];
  const gateway = createSpillGateway({
    clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} },
    random: createSeededRandom(7),
    log: silent,
    metrics: noMetrics,
    hostId: asId('sur-1'),
    local: { handle: setup.local ?? (async () => localAnswer) },
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

const handle = (world: World, changes: Partial<InferenceRequest> = {}): Promise<InferenceAnswer> =>
  world.gateway.handle(createRequest(changes), new AbortController().signal);

test('a forward names this host, the customer and the remaining time', async (t) => {
  const world = createWorld({ forward: async () => peerAnswer });
  t.is(await handle(world), peerAnswer);
  t.is(world.attempts.length, 1);
  t.like(world.attempts[0], { path: ['sur-1'], customerId: 'workshop', remainingMs: 60_000 });
});

test('a request with a home region or a path is never forwarded, even when it fails here', async (t) => {
  const homeRegionId = fc.option(fc.constantFrom('sierra-sur', 'costa'), { nil: undefined });
  const path = fc.array(fc.constantFrom('a', 'sur-1'), { maxLength: 3 });
  await fc.assert(
    fc.asyncProperty(homeRegionId, path, fc.boolean(), async (home, hosts, fails) => {
      fc.pre(home !== undefined || hosts.length > 0);
      const world = createWorld({
        localMs: Infinity,
        forward: async () => peerAnswer,
        local: async () => {
          if (fails) {
            throw new NoServerError('none');
          }
          return localAnswer;
        },
      });
      const changes = { homeRegionId: home && asId<never>(home), path: hosts.map(asId<never>) };
      await handle(world, changes).catch((error: unknown) => {
        t.true(error instanceof NoServerError);
      });
      t.is(world.attempts.length, 0);
    }),
    { seed: 20_261_204 },
  );
});

test('a peer that was not reached or refused does not lose the request', async (t) => {
  const unreachable = createWorld({
    forward: async () => {
      throw new ConnectFailedError('refused');
    },
  });
  t.is(await handle(unreachable), localAnswer);
  t.is(unreachable.attempts.length, 2);
  const full = createWorld({ forward: async () => refusal('overloaded', 'not-run') });
  t.is(await handle(full), localAnswer);
  const second = createWorld({
    forward: async ({ regionId }) =>
      regionId === asId('costa') ? refusal('draining', 'not-run') : peerAnswer,
  });
  t.is(await handle(second), peerAnswer);
});

test('a forward that may have run is not repeated and not reported as not run', async (t) => {
  const broken = createWorld({
    forward: async () => {
      throw new AttemptBrokenError('reset');
    },
  });
  const error = await t.throwsAsync(handle(broken), { instanceOf: RequestError });
  t.is(error.outcome, 'unknown');
  t.is(broken.attempts.length, 1);
  const unknown = createWorld({ forward: async () => refusal('backend-failed', 'unknown') });
  t.is((await t.throwsAsync(handle(unknown), { instanceOf: RequestError })).outcome, 'unknown');
  t.is(unknown.attempts.length, 1);
});

test('a refusal over the request itself goes to the caller and to no other region', async (t) => {
  for (const code of ['wrong-region', 'request-quarantined']) {
    const world = createWorld({ forward: async () => refusal(code, 'not-run') });
    const error = await t.throwsAsync(handle(world), { instanceOf: RequestError });
    t.like(error, { code, outcome: 'not-run' });
    t.is(world.attempts.length, 1);
  }
});

test('a request that the own region could not run goes to another region', async (t) => {
  const refusals = [
    new NoServerError('none'),
    new OverloadedError('full'),
    new BackendFailedError('refused connections', { props: { outcome: 'not-run' } }),
  ];
  for (const error of refusals) {
    const local = (): Promise<never> => Promise.reject(error);
    const world = createWorld({ localMs: 0, forward: async () => peerAnswer, local });
    t.is(await handle(world), peerAnswer);
  }
});

test('a request that may have run in the own region goes nowhere else', async (t) => {
  const error = new BackendFailedError('broken');
  const local = (): Promise<never> => Promise.reject(error);
  const world = createWorld({ localMs: 0, forward: async () => peerAnswer, local });
  t.is(await t.throwsAsync(handle(world)), error);
  t.is(world.attempts.length, 0);
});

test('a truncated forwarded stream never passes for a whole one', async (t) => {
  const world = createWorld({
    forward: async () => ({ kind: 'stream', events: streamOf(['{"choices":[]}']) }),
  });
  const answer = await handle(world);
  const read = async (): Promise<void> => {
    for await (const data of answer.kind === 'stream' ? answer.events : []) {
      void data;
    }
  };
  await t.throwsAsync(read(), { instanceOf: TruncatedStreamError });
});

test('a caller that leaves cancels the forward and starts no other attempt', async (t) => {
  const leaving = new AbortController();
  const world = createWorld({
    forward: async (_attempt, signal) => {
      leaving.abort();
      throw new AttemptBrokenError(`aborted: ${signal.aborted}`);
    },
    local: async () => t.fail('served locally') as never,
  });
  await t.throwsAsync(world.gateway.handle(createRequest(), leaving.signal), {
    name: 'AbortError',
  });
  t.is(world.attempts.length, 1);
});
