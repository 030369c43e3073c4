import test from 'ava';
import { createDispatchQueue } from '../../src/dispatch/createDispatchQueue.js';
import { createServiceGateway } from '../../src/gateway/createServiceGateway.js';
import { createServiceRequest } from '../support/createServiceRequest.js';

const response = { statusCode: 200, contentType: undefined, body: 'confirmed' };

function setUp() {
  let executed = 0;
  const gateway = createServiceGateway({
    dispatchRepeatable: async () => response,
    orders: {
      async execute() {
        executed += 1;
        return response;
      },
    },
    dispatchQueue: createDispatchQueue(),
  });
  return { gateway, executed: () => executed };
}

test('an order whose caller left in the turn in which it was read is not started', async (t) => {
  const { gateway, executed } = setUp();
  const caller = new AbortController();
  const result = gateway.handle(createServiceRequest(), caller.signal);
  setImmediate(() => caller.abort());
  await t.throwsAsync(result, { any: true, instanceOf: DOMException, name: 'AbortError' });
  t.is(executed(), 0);
});

test('an order whose caller is there is executed', async (t) => {
  const { gateway, executed } = setUp();
  t.is(await gateway.handle(createServiceRequest(), new AbortController().signal), response);
  t.is(executed(), 1);
});
