import { OverloadedError, createRejections } from '@camphorbarrow/core';
import type { Exchange } from '../exchange/Exchange.js';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { ServedRequest } from '../exchange/ServedRequest.js';
import { requestCost } from './requestCost.js';

const createAllowanceError = createRejections(
  () =>
    new OverloadedError('The allowance of the customer is used up.', {
      props: { code: 'allowance-exceeded' },
    }),
);

/**
 * Serves a request within the allowance of its customer. The host that took a relayed request from
 * its caller has counted it already. A request that no server has run gets its cost back.
 *
 * @throws OverloadedError when the allowance has no room for the request
 */
export async function withAllowance(
  context: GatewayContext,
  exchange: Exchange,
  serve: () => Promise<ServedRequest>,
): Promise<void> {
  const { customer, responseWriter } = exchange;
  const isCounted = exchange.relayedBy === undefined && !responseWriter.disconnected.aborted;
  if (customer?.allowance === undefined || !isCounted) {
    await serve();
    return;
  }
  const cost = requestCost(customer.allowance, exchange.metadata);
  const decision = await context.allowances.take(customer, cost);
  if (decision.kind === 'rejected') {
    const { share } = decision;
    context.metrics.increment('allowance_rejections', { customer: customer.id, share });
    throw createAllowanceError({
      retryAfterMs: decision.retryAfterMs,
      details: { customer: customer.id, cost, unit: customer.allowance.unit, share },
    });
  }
  let served: ServedRequest = { mayHaveRun: true };
  try {
    served = await serve();
  } finally {
    if (!served.mayHaveRun) {
      decision.refund();
    }
  }
}
