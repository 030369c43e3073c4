import type { CallerApi, PeerApi } from '@camphorbarrow/adapters';
import {
  DrainingError,
  OutcomeUnknownError,
  serializeRequestError,
  headerNames,
} from '@camphorbarrow/core';
import type { RequestContextReader, OrderExecutor, ExecutorIdentity } from '@camphorbarrow/core';

export interface OrderApiOptions {
  readonly self: ExecutorIdentity;
  readonly orders: OrderExecutor;
  readonly readForwardedRequest: RequestContextReader['readForwardedRequest'];
  readonly isDraining: () => boolean;
}

export type OrderApi = Pick<CallerApi, 'issueOrderPermits'> &
  Pick<PeerApi, 'relayOrder' | 'orderOutcome'>;

/** Connects the execution of orders to the listeners for callers and for peers. */
export function createOrderApi(options: OrderApiOptions): OrderApi {
  const { orders, self } = options;
  return {
    issueOrderPermits(requestContext, count) {
      // A permit is valid only while its issuer runs, so a host that is about to stop issues none.
      if (options.isDraining()) {
        throw new DrainingError('The entry host is shutting down; get permits from another one.');
      }
      return orders.issuePermits(requestContext.customerId, count);
    },
    async relayOrder(order) {
      try {
        if (order.regionId !== self.regionId) {
          throw new OutcomeUnknownError('Orders are relayed only inside their region.');
        }
        const requestContext = options.readForwardedRequest({
          [headerNames.customer]: order.customerId,
          [headerNames.path]: order.fromHostId,
          [headerNames.targetRegion]: order.regionId,
          [headerNames.requestId]: order.requestId,
          [headerNames.homeRegion]: order.homeRegionId,
          [headerNames.deadline]: order.deadlineMs?.toString(),
          [headerNames.idempotencyKey]: order.permit,
        });
        const { serviceName, method, path, contentType, body } = order;
        return await orders.executeRelayed({
          context: requestContext,
          serviceName,
          method,
          path,
          contentType,
          body,
        });
      } catch (cause) {
        return { kind: 'refusal', error: serializeRequestError(cause) };
      }
    },
    orderOutcome: orders.claimStatus,
  };
}
