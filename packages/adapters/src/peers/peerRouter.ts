import { initTRPC } from '@trpc/server';
import { fleetDocumentSchema } from '@camphorbarrow/core';
import type { PeerApi } from './PeerApi.js';
import { toWireHost } from '../platform/toWireHost.js';
import { crashReportSchema } from './crashReportSchema.js';
import { claimQuerySchema } from './claimQuerySchema.js';
import { heartbeatSchema } from './heartbeatSchema.js';
import { relayedOrderSchema } from './relayedOrderSchema.js';

const trpc = initTRPC.context<{ api: PeerApi }>().create();

/** Procedures between entry hosts (docs/peers.md). */
export const peerRouter = trpc.router({
  heartbeat: trpc.procedure
    .input(heartbeatSchema)
    .mutation(({ ctx, input }) => ctx.api.receiveHeartbeat(input)),
  fetchConfig: trpc.procedure.query(({ ctx }) => ctx.api.currentConfig() ?? null),
  pushConfig: trpc.procedure
    .input(fleetDocumentSchema)
    .mutation(({ ctx, input }) => ctx.api.adoptConfig(input)),
  reportCrash: trpc.procedure
    .input(crashReportSchema)
    .mutation(({ ctx, input }) => ctx.api.receiveCrash(input)),
  burnCounters: trpc.procedure.query(({ ctx }) => ctx.api.burnCounters()),
  fetchServers: trpc.procedure.query(({ ctx }) => ctx.api.servers().map(toWireHost)),
  relayOrder: trpc.procedure
    .input(relayedOrderSchema)
    .mutation(({ ctx, input }) => ctx.api.relayOrder(input)),
  orderOutcome: trpc.procedure
    .input(claimQuerySchema)
    .query(({ ctx, input }) => ctx.api.orderOutcome(input)),
});

export type PeerRouter = typeof peerRouter;
